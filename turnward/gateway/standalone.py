# SPDX-License-Identifier: BSD-3-Clause
"""Standalone gateway: rows stored in the transactional table, resources read from a file.

The table has no change feed, so changes are polled for, and no clock, so the grants of a crashed
gateway stay spent. A removed row keeps its key with an empty value: the sum of the row versions
then rises with every write and serves as the version of the whole table.
"""

import base64
from pathlib import Path

import msgspec
from twisted.internet import task

from turnward.gateway.configuration import Configuration, EndpointEntry
from turnward.gateway.process import SourcesBase
from turnward.gateway.table_listeners import ConfigurationListener, EndpointsListener
from turnward.rows import (
    RowKey,
    RowOutcomeUnknownError,
    RowsUnavailableError,
    StoredRow,
    TableChanges,
    VersionConflictError,
    VersionedStoreBase,
)
from turnward.settings import SettingsError, convert_checked, parse_address, read_toml
from turnward.store import (
    Absent,
    Committed,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Put,
    Row,
    TableBase,
    Transaction,
    VersionIs,
)

__all__ = ["GatewayResources", "StandaloneSources", "TableRows", "load_gateway_resources"]

CONFIGURATION_TABLE = "configuration"
ENDPOINTS_TABLE = "endpoints"
CONFIGURATION_KEY = "all"
ZONE_ORDER_PREFIX = "drained/"
_POLL_S = 0.5
_CONFIGURATION_WAIT_S = 2.0
_ENDPOINTS_WAIT_S = 4.0


class TableRows(VersionedStoreBase):
    """Versioned rows stored in the transactional table.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    table : TableBase
        The platform's table.
    """

    def __init__(self, reactor, table: TableBase):
        self._reactor = reactor
        self._table = table

    def time_floor_s(self):
        """See ``VersionedStoreBase.time_floor_s``; the table has no clock."""
        return

    async def read_row(self, key):
        """See ``VersionedStoreBase.read_row``."""
        rows = await self._read(self._table.read([_row_name(key)]))
        row = rows.get(_row_name(key))
        return _stored_row(key, row) if row is not None else StoredRow(key, b"", 0)

    async def read_table(self, table, part=""):
        """See ``VersionedStoreBase.read_table``."""
        prefix = _row_name(RowKey(table, part, ""))
        rows = await self._read(self._table.scan_all(prefix))
        stored = tuple(
            _stored_row(RowKey(table, part, row.key[len(prefix) :]), row) for row in rows
        )
        version = sum(row.version for row in stored)
        return TableChanges(tuple(row for row in stored if not row.gone), version)

    async def transact(self, transaction):
        """See ``VersionedStoreBase.transact``."""
        checks = []
        writes = []
        for change in transaction.changes:
            name = _row_name(change.key)
            version = change.expected_version
            checks.append(VersionIs(name, version) if version else Absent(name))
            writes.append(Put(name, {"value": base64.b64encode(change.value).decode()}))
        writes.extend(Put(_row_name(key), {"value": None}) for key in transaction.removals)
        try:
            result = await self._table.transact(Transaction(tuple(checks), tuple(writes)))
        except OutcomeUnknownError as failure:
            raise RowOutcomeUnknownError(str(failure)) from failure
        except PlatformUnavailableError as failure:
            raise RowsUnavailableError(str(failure)) from failure
        if not isinstance(result, Committed):
            raise VersionConflictError("a row does not have the expected version")
        return max((change.expected_version for change in transaction.changes), default=0) + 1

    async def changes(self, table, after_version, wait_s):
        """See ``VersionedStoreBase.changes``; returns all rows when any has changed."""
        deadline_s = self._reactor.seconds() + wait_s
        prefix = _row_name(RowKey(table, "", ""))
        while True:
            rows = await self._read(self._table.scan_all(prefix))
            stored = [_stored_row(RowKey(table, "", row.key[len(prefix) :]), row) for row in rows]
            version = sum(row.version for row in stored)
            if version > after_version:
                return TableChanges(tuple(stored), version)
            if self._reactor.seconds() >= deadline_s:
                return TableChanges((), version)
            await task.deferLater(self._reactor, _POLL_S)

    async def _read(self, operation):
        try:
            return await operation
        except (OutcomeUnknownError, PlatformUnavailableError) as failure:
            raise RowsUnavailableError(str(failure)) from failure


def _row_name(key: RowKey) -> str:
    return f"rows/{key.table}/{key.part}/{key.key}"


def _stored_row(key: RowKey, row: Row) -> StoredRow:
    value = row.value["value"]
    if value is None:
        return StoredRow(key, b"", row.version, gone=True)
    return StoredRow(key, base64.b64decode(value), row.version)


class StandaloneSources(SourcesBase):
    """Sources that read what ``turnward gateway_apply`` writes."""

    def feeds(self, state):
        """See ``SourcesBase.feeds``."""
        configuration = ConfigurationListener(
            state, CONFIGURATION_KEY, ZONE_ORDER_PREFIX, _decode_configuration
        )
        endpoints = EndpointsListener(state, _decode_endpoint)
        return [
            (CONFIGURATION_TABLE, _CONFIGURATION_WAIT_S, configuration),
            (ENDPOINTS_TABLE, _ENDPOINTS_WAIT_S, endpoints),
        ]


def _decode_configuration(value: bytes) -> Configuration:
    return msgspec.json.decode(value, type=Configuration)


def _decode_endpoint(row: StoredRow) -> EndpointEntry:
    return msgspec.json.decode(row.value, type=EndpointEntry).check()


class GatewayResources(msgspec.Struct, forbid_unknown_fields=True):
    """Contents of a resource file: a configuration and its endpoints."""

    configuration: Configuration
    endpoints: tuple[EndpointEntry, ...] = ()

    def faults(self) -> list[str]:
        """Return errors that the types do not rule out."""
        messages = []
        pools = {pool.name for pool in self.configuration.pools}
        for route in self.configuration.routes:
            prefix = route.path_prefix
            if not (prefix.startswith("/") and prefix.endswith("/")):
                messages.append(
                    f"routes.{route.name}.path_prefix: expected /.../, found {prefix!r}"
                )
            messages.extend(
                f"routes.{route.name}.pools: expected one of {', '.join(sorted(pools))}, "
                f"found {share.pool!r}"
                for share in route.pools
                if share.pool not in pools
            )
        messages.extend(
            f"endpoints.{entry.endpoint_id}.address: expected IP:port, found {entry.address!r}"
            for entry in self.endpoints
            if parse_address(entry.address) is None
        )
        return messages

    def rows(self) -> list[tuple[RowKey, bytes]]:
        """Return the keys and values of the rows to write."""
        key = RowKey(CONFIGURATION_TABLE, "", CONFIGURATION_KEY)
        rows = [(key, msgspec.json.encode(self.configuration))]
        rows.extend(
            (RowKey(ENDPOINTS_TABLE, "", entry.endpoint_id), msgspec.json.encode(entry))
            for entry in self.endpoints
        )
        return rows


def load_gateway_resources(path: str | Path) -> GatewayResources:
    """Read and check a resource file.

    Raises
    ------
    SettingsError
        If the file has errors; the message names the file and lists all of them.
    """
    resources, faults = convert_checked(read_toml(str(path)), GatewayResources)
    if faults:
        raise SettingsError([f"{path}: {fault}" for fault in faults])
    return resources
