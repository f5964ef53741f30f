# SPDX-License-Identifier: BSD-3-Clause
"""Versions of different eras are never confused."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from turnward.rows import (
    HistoryUnavailableError,
    RowsUnavailableError,
    RowVersion,
    StoreEras,
    VersionConflictError,
)

ERAS = st.integers(0, 10_000)
NUMBERS = st.integers(0, 2**48 - 1)


@given(ERAS, NUMBERS, ERAS, NUMBERS)
def test_versions_are_ordered_by_era_then_number(era, number, other_era, other_number):
    version, other = RowVersion.of(era, number), RowVersion.of(other_era, other_number)
    assert (version < other) == ((era, number) < (other_era, other_number))
    assert (version == other) == ((era, number) == (other_era, other_number))
    assert (version.era, version.number) == (era, number)


def test_packed_version_cannot_be_encoded():
    with pytest.raises(TypeError):
        msgspec.json.encode(RowVersion.of(1, 2))


def test_version_of_another_era_is_rejected_in_conditions_and_feeds():
    eras = StoreEras()
    eras.observe_era(3)
    known = eras.version(40)
    assert eras.expected_number(known) == eras.after_number(known) == 40
    eras.observe_era(4)
    with pytest.raises(VersionConflictError):
        eras.expected_number(known)
    with pytest.raises(HistoryUnavailableError):
        eras.after_number(known)
    assert eras.expected_number(0) == 0


def test_response_of_an_earlier_era_is_rejected():
    eras = StoreEras()
    eras.observe_era(4)
    with pytest.raises(RowsUnavailableError):
        eras.observe_era(3)
    assert eras.current == 4


def test_first_observed_era_is_not_a_rollback():
    eras = StoreEras()
    observed = []
    eras.listen(observed.append)
    for era in (7, 7, 8, 8, 10):
        eras.observe_era(era)
    assert observed == [8, 10]
