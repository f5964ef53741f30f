# SPDX-License-Identifier: BSD-3-Clause
"""The standalone gateway: rows in the table, resource files and settings."""

from pathlib import Path

import msgspec
import pytest
from twisted.internet import defer, task

from turnward.gateway import GatewayMetrics, GatewaySettings, load_gateway_settings
from turnward.gateway.standalone import TableRows, load_gateway_resources
from turnward.rows import (
    RowChange,
    RowKey,
    RowOutcomeUnknownError,
    RowsUnavailableError,
    VersionConflictError,
    VersionedTransaction,
)
from turnward.settings import SettingsError
from turnward.store import MemoryTable, OutcomeUnknownError, PlatformUnavailableError

KEY = RowKey("mine", "part", "row")
EXAMPLE = "examples/gateway-resources.toml"


class Setup:
    def __init__(self, table=None):
        self.clock = task.Clock()
        self.table = table or MemoryTable()
        self.rows = TableRows(self.clock, self.table)

    def run(self, coroutine, seconds=5.0):
        outcome = []
        defer.ensureDeferred(coroutine).addBoth(outcome.append)
        while not outcome and seconds > 0:
            self.clock.advance(0.1)
            seconds -= 0.1
        if hasattr(outcome[0], "raiseException"):
            outcome[0].raiseException()
        return outcome[0]

    def write(self, value, expected, key=KEY):
        change = RowChange(key, value, expected)
        return self.run(self.rows.transact(VersionedTransaction((change,))))


def test_row_writes_check_versions():
    setup = Setup()
    version = setup.write(b"one", 0)
    row = setup.run(setup.rows.read_row(KEY))
    assert (row.value, row.version) == (b"one", version)
    assert setup.write(b"two", version) == version + 1
    with pytest.raises(VersionConflictError):
        setup.write(b"three", version)


def test_removed_row_is_reported_and_raises_version():
    setup = Setup()
    key = RowKey("mine", "", "a")
    setup.write(b"1", 0, key)
    before = setup.run(setup.rows.read_table("mine"))
    setup.run(setup.rows.transact(VersionedTransaction((), removals=(key,))))
    changes = setup.run(setup.rows.changes("mine", before.version, 1.0))
    assert [(row.key, row.gone) for row in changes.rows] == [(key, True)]
    assert setup.run(setup.rows.changes("mine", changes.version, 1.0)).rows == ()


class FailingTable(MemoryTable):
    def __init__(self, error):
        super().__init__()
        self.error = error

    async def read(self, keys):
        raise self.error

    async def transact(self, transaction):
        raise self.error


@pytest.mark.parametrize(
    ("error", "raised"),
    [
        (PlatformUnavailableError("down"), RowsUnavailableError),
        (OutcomeUnknownError("lost"), RowOutcomeUnknownError),
    ],
)
def test_table_errors_are_translated(error, raised):
    setup = Setup(FailingTable(error))
    with pytest.raises(raised):
        setup.write(b"x", 0)
    with pytest.raises(RowsUnavailableError):
        setup.run(setup.rows.read_row(KEY))


def test_examples_are_valid():
    resources = load_gateway_resources(EXAMPLE)
    assert {row[0].table for row in resources.rows()} == {"configuration", "endpoints"}
    assert load_gateway_settings("examples/gateway.toml").node == "gateway-1"


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (('path_prefix = "/bookings/"', 'path_prefix = "bookings"'), "path_prefix: expected /.../"),
        (('{ pool = "points" }', '{ pool = "point" }'), "found 'point'"),
        (('address = "127.0.0.1:8080"', 'address = "here"'), "address: expected IP:port"),
        (("version = 1", 'version = "one"'), "configuration.version: expected `int`"),
        (("[[endpoints]]", "[[endpoint]]"), "endpoint: expected one of"),
    ],
)
def test_resource_errors_are_reported(change, message, tmp_path):
    with open(EXAMPLE) as file:
        text = file.read()
    assert change[0] in text
    path = tmp_path / "resources.toml"
    path.write_text(text.replace(*change))
    with pytest.raises(SettingsError, match="resources.toml") as caught:
        load_gateway_resources(path)
    assert message in str(caught.value)


def test_configuration_round_trips_through_its_row():
    configuration = load_gateway_resources(EXAMPLE).configuration
    encoded = msgspec.json.encode(configuration)
    assert msgspec.json.decode(encoded, type=type(configuration)) == configuration


def test_page_names_every_setting_and_metric():
    page = Path("docs/operators/gateway.md").read_text()
    for key in GatewaySettings.__struct_fields__:
        assert f"`{key}`" in page
    text = GatewayMetrics().text().decode()
    names = {line.split()[2] for line in text.splitlines() if line.startswith("# TYPE")}
    for name in names - {name for name in names if name.endswith("_created")}:
        assert f"`{name}`" in page
