# SPDX-License-Identifier: BSD-3-Clause
"""What the store's rows of a pool tell of the software versions that the pool had lately."""

from enum import StrEnum

import msgspec

from turnward.bounds import Integer, Number
from turnward.gateway.unreadable_rows import ROW_DECODE_ERRORS, UnreadableRows
from turnward.rows import RowChange, RowKey, StoredRow
from turnward.software_versions import UNNAMED_VERSION

__all__ = [
    "POOL_VERSIONS_TABLE",
    "POOL_VERSION_RECORDS_TABLE",
    "PoolVersionRecord",
    "RecordedVersions",
    "RowStanding",
    "StoredVersions",
]

#: Lists of versions, which all builds read and write.
POOL_VERSIONS_TABLE = "pool_versions"
#: The same with what they are worth, which older builds leave alone.
POOL_VERSION_RECORDS_TABLE = "pool_version_records"
#: Era of a list without a record: that of a store that was never rolled back.
_ERA_WITHOUT_RECORD = 0


class RowStanding(StrEnum):
    """Whether the recorded versions are all that may have streams."""

    #: They are all.
    COMPLETE = "complete"
    #: No router that wrote them knew the past.
    PARTIAL = "partial"
    #: A router that knew the past wrote them before the store came back from an older copy.
    OUTDATED = "outdated"
    ABSENT = "absent"
    UNREADABLE = "unreadable"


class PoolVersionRecord(msgspec.Struct, frozen=True):
    """The versions of a pool as stored, and what they are worth.

    Attributes
    ----------
    versions : tuple of str
        Names of the versions.
    era : int or None
        Era of the store in which a router that knew the past last wrote them; None if none did.
    stream_limit_s : float
        How long the streams of the pool last that may still go on; 0 if older builds wrote it.
    """

    versions: tuple[str, ...]
    era: Integer | None = None
    stream_limit_s: Number = 0.0


class RecordedVersions(msgspec.Struct, frozen=True):
    """The versions that are recorded of a pool.

    Attributes
    ----------
    versions : frozenset of str
        Those that could be read.
    standing : RowStanding
        Whether they are all.
    era : int or None
        See ``PoolVersionRecord``.
    stream_limit_s : float
        See ``PoolVersionRecord``.
    """

    versions: frozenset[str] = frozenset()
    standing: RowStanding = RowStanding.ABSENT
    era: int | None = None
    stream_limit_s: float = 0.0

    @classmethod
    def from_record(
        cls, record: PoolVersionRecord, listed: frozenset[str], store_era: int
    ) -> "RecordedVersions":
        """Return what a record and a list tell together.

        Only a list holds what older builds added, and only a record what they dropped too early.

        Parameters
        ----------
        store_era : int
            Present era of the store.
        """
        versions = listed.union(record.versions)
        standing = _standing_of(record.era, store_era)
        return cls(versions, standing, record.era, record.stream_limit_s)

    @property
    def complete(self) -> bool:
        """Whether no other versions may have streams."""
        return self.standing is RowStanding.COMPLETE

    def extended(self, versions: frozenset[str], stream_limit_s: float) -> "RecordedVersions":
        """Return what a router records that knows some versions, and nothing of the past."""
        if self.standing is RowStanding.UNREADABLE:
            return self
        absent = self.standing is RowStanding.ABSENT
        standing = RowStanding.PARTIAL if absent else self.standing
        limit_s = max(self.stream_limit_s, stream_limit_s)
        return RecordedVersions(self.versions | versions, standing, self.era, limit_s)


class StoredVersions:
    """The rows of one pool.

    Parameters
    ----------
    listed, record : StoredRow
        Rows of both tables; the record was read first, so that the list is not the older one.
    """

    __slots__ = ("_listed", "_record")

    def __init__(self, listed: StoredRow, record: StoredRow):
        self._listed = listed
        self._record = record

    @classmethod
    def by_pool(
        cls, listed: tuple[StoredRow, ...], records: tuple[StoredRow, ...]
    ) -> dict[str, "StoredVersions"]:
        """Return the rows of both tables by pool."""
        lists = {row.key.key: row for row in listed}
        notes = {row.key.key: row for row in records}
        return {
            pool: cls(
                lists.get(pool, _missing(POOL_VERSIONS_TABLE, pool)),
                notes.get(pool, _missing(POOL_VERSION_RECORDS_TABLE, pool)),
            )
            for pool in lists.keys() | notes.keys()
        }

    def decode(self, store_era: int, unreadable_rows: UnreadableRows) -> RecordedVersions:
        """Return what the rows tell in an era of the store; report one that can't be decoded."""
        try:
            listed = _decode(self._listed, list[str], unreadable_rows)
            record = _decode(self._record, PoolVersionRecord, unreadable_rows)
        except ROW_DECODE_ERRORS:
            return RecordedVersions(standing=RowStanding.UNREADABLE)
        if listed is None:
            return RecordedVersions()
        if record is None:
            record = PoolVersionRecord((), _ERA_WITHOUT_RECORD)
        # Older builds list versions that have no name as an empty one.
        named = frozenset(version or UNNAMED_VERSION for version in listed)
        return RecordedVersions.from_record(record, named, store_era)

    def changes(self, recorded: RecordedVersions) -> tuple[RowChange, ...]:
        """Return the changes that make the rows tell something else."""
        versions = sorted(recorded.versions)
        record = PoolVersionRecord(tuple(versions), recorded.era, recorded.stream_limit_s)
        return (_change(self._listed, versions), _change(self._record, record))


def _standing_of(era: int | None, store_era: int) -> RowStanding:
    """Return what versions are worth that were recorded in an era."""
    if era is None:
        return RowStanding.PARTIAL
    return RowStanding.COMPLETE if era == store_era else RowStanding.OUTDATED


def _missing(table: str, pool: str) -> StoredRow:
    return StoredRow(RowKey(table, "", pool), b"", 0)


def _decode(row: StoredRow, value_type, unreadable_rows: UnreadableRows):
    """Return the value of a row; None if there is no row."""
    if row.gone or not row.version:
        return None
    try:
        value = msgspec.json.decode(row.value, type=value_type)
    except ROW_DECODE_ERRORS as error:
        unreadable_rows.mark_unreadable(row, error)
        raise
    unreadable_rows.mark_readable(row.key)
    return value


def _change(row: StoredRow, value) -> RowChange:
    return RowChange(row.key, msgspec.json.encode(value), 0 if row.gone else row.version)
