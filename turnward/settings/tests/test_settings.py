# SPDX-License-Identifier: BSD-3-Clause
"""Invalid settings and resources are reported as errors, without exceptions."""

from hypothesis import given, settings
from hypothesis import strategies as st

from turnward.resources import KINDS, parse_resources
from turnward.settings import RouterSettings, convert_checked

VALUES = st.none() | st.integers() | st.text(max_size=5) | st.lists(st.integers(), max_size=2)


@settings(max_examples=100, derandomize=True, database=None, deadline=None)
@given(raw=st.dictionaries(st.sampled_from(RouterSettings.__struct_fields__), VALUES))
def test_invalid_settings_are_reported_without_exceptions(raw):
    value, faults = convert_checked(raw, RouterSettings)
    assert value is None
    assert faults


@settings(max_examples=100, derandomize=True, database=None, deadline=None)
@given(
    raw=st.dictionaries(
        st.sampled_from([*KINDS, "others"]),
        VALUES | st.lists(st.dictionaries(st.text(max_size=4), VALUES, max_size=3), max_size=2),
        min_size=1,
    )
)
def test_invalid_resources_are_reported_without_exceptions(raw):
    resources, faults = parse_resources(raw, "file")
    assert faults or not any(raw.values())
    assert resources.by_kind.keys() == KINDS.keys()
