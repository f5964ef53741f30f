# SPDX-License-Identifier: BSD-3-Clause
"""Any settings file is either loaded or rejected with an error that names the problem."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turnward.gateway.settings import GatewaySettings, load_gateway_settings
from turnward.settings import SettingsError

VALID_SETTINGS = {
    "node": "entry-1",
    "zone": "ost-a",
    "callers_address": "10.0.0.1:8000",
    "ready_address": "10.0.0.1:8001",
    "store_address": "10.0.0.9:8002",
    "peers_port": 7000,
}
KEYS = sorted(field.name for field in msgspec.structs.fields(GatewaySettings))
VALUES = st.one_of(
    st.text(max_size=20),
    st.integers(-(2**63), 2**63 - 1),
    st.floats(allow_nan=True, allow_infinity=True),
    st.booleans(),
    st.lists(st.text(max_size=10), max_size=3),
)


def load(path, content):
    path.write_bytes(content)
    return load_gateway_settings(str(path))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_invalid_file_content_raises_an_error_with_the_path(tmp_path_factory, content):
    path = tmp_path_factory.mktemp("s") / "node.toml"
    with pytest.raises(SettingsError) as raised:
        load(path, content)
    assert str(path) in str(raised.value)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.dictionaries(st.sampled_from(KEYS), VALUES, min_size=1, max_size=4))
def test_any_value_is_accepted_or_named_in_the_error(tmp_path_factory, changes):
    path = tmp_path_factory.mktemp("s") / "node.toml"
    try:
        loaded = load(path, msgspec.toml.encode({**VALID_SETTINGS, **changes}))
    except SettingsError as failure:
        assert any(key in str(failure) for key in changes)
    else:
        assert not loaded.faults()


@pytest.mark.parametrize("missing", sorted(VALID_SETTINGS))
def test_missing_key_is_named_in_the_error(tmp_path, missing):
    values = {key: value for key, value in VALID_SETTINGS.items() if key != missing}
    with pytest.raises(SettingsError, match=missing):
        load(tmp_path / "node.toml", msgspec.toml.encode(values))


def test_unknown_keys_are_ignored(tmp_path):
    loaded = load(
        tmp_path / "node.toml", msgspec.toml.encode({**VALID_SETTINGS, "from_the_future": 1})
    )
    assert loaded.node == "entry-1"


@pytest.mark.parametrize(
    "key", ["stop_limit_s", "repeat_window_s", "repeat_ratio", "link_mbit_per_s"]
)
@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0])
def test_invalid_numbers_are_named_in_the_error(tmp_path, key, value):
    with pytest.raises(SettingsError, match=key):
        load(tmp_path / "node.toml", msgspec.toml.encode({**VALID_SETTINGS, key: value}))
