# SPDX-License-Identifier: BSD-3-Clause
"""Recovers a crashed router: bills its runs and returns tokens known to be unspent."""

from enum import StrEnum

import msgspec

from turnward.budgets import (
    Bill,
    BillRow,
    BillWriter,
    GrantRow,
    grant_key,
    grants_prefix,
)
from turnward.budgets.rows import budget_key
from turnward.claims import ClaimRow, ClaimState, claim_key
from turnward.endpoints import EndpointError, EngineClientBase, RunState
from turnward.events import EventLog
from turnward.fleet import RouterRegistry, RouterRow, RouterState, instance_of, router_key
from turnward.peers.book import RecordBook
from turnward.peers.errors import PeerError
from turnward.peers.link import PeersBase
from turnward.peers.messages import (
    HandOver,
    HandOverAck,
    RecordState,
    RunRecord,
    stored_records_prefix,
)
from turnward.store import (
    Add,
    Committed,
    Delete,
    FieldIs,
    OutcomeUnknownError,
    Put,
    TableBase,
    Transaction,
    VersionIs,
)

__all__ = ["Recoverer", "RecoveryState"]


class RecoveryState(StrEnum):
    """State of a recovery."""

    WAITING_FOR_HOLDERS = "waiting_for_holders"
    WAITING_FOR_ENDPOINTS = "waiting_for_endpoints"
    CLOSED = "closed"
    CLOSED_IN_DOUBT = "closed_in_doubt"


class _CollectedRecords(msgspec.Struct):
    """Records of a fenced router, and the holders that are unreachable or lost."""

    records: dict[str, RunRecord]
    unreachable_holders: list[str]
    lost_holders: list[str]


class Recoverer:
    """Recovers fenced incarnations; every step may be repeated.

    Parameters
    ----------
    table : TableBase
        The shared store's table.
    registry : RouterRegistry
        The router rows.
    peers : PeersBase
        Sends requests to the other holders.
    book : RecordBook
        Records that this router holds.
    engines : EngineClientBase
        Asks endpoints for the status of a run.
    endpoint_url : callable
        Returns the URL of an endpoint by name, or None if it is not configured.
    is_engine : callable
        Returns whether an endpoint, by name, is a model engine.
    events : EventLog
        Receives the events of recoveries.
    """

    def __init__(
        self,
        table: TableBase,
        registry: RouterRegistry,
        peers: PeersBase,
        book: RecordBook,
        engines: EngineClientBase,
        endpoint_url,
        is_engine,
        events: EventLog,
    ):
        self._table = table
        self._peers = peers
        self._book = book
        self._engines = engines
        self._endpoint_url = endpoint_url
        self._is_engine = is_engine
        self._events = events
        self._registry = registry
        self._settled: dict[str, set[str]] = {}

    async def step(
        self,
        row: RouterRow,
        own_incarnation: str,
        rows: dict[str, RouterRow],
        listed_instances: set[str] | None,
    ) -> RecoveryState:
        """Advance a fenced router's recovery as far as currently possible.

        Parameters
        ----------
        row : RouterRow
            The fenced router's row, read after fencing.
        own_incarnation : str
            This router's incarnation, which is the recoverer.
        rows : dict
            All router rows.
        listed_instances : set of str or None
            The platform's live instances; None if the list is not available.
        """
        collected = await self._collect_records(row, own_incarnation, rows, listed_instances)
        if collected.unreachable_holders:
            return RecoveryState.WAITING_FOR_HOLDERS
        writer = BillWriter(self._table, own_incarnation)
        waiting = False
        settled = self._settled.setdefault(row.incarnation, set())
        for record in collected.records.values():
            if record.run_id in settled:
                continue
            used_tokens = await self._used_tokens(record)
            if used_tokens is None:
                waiting = True
                continue
            if used_tokens == 0 and record.repeatable and self._is_engine(record.endpoint):
                # The run is known not to have happened; a bill would block that of a retry.
                settled.add(record.run_id)
                self._emit("recovery.not_run", record, row.incarnation)
                continue
            self._emit("recovery.record", record, row.incarnation)
            writer.add(self._bill(record, row.incarnation, used_tokens))
        await self._write(writer, row)
        if waiting:
            return RecoveryState.WAITING_FOR_ENDPOINTS
        return await self._close(row, own_incarnation, bool(collected.lost_holders))

    async def _collect_records(
        self, row: RouterRow, own_incarnation: str, rows, listed_instances
    ) -> _CollectedRecords:
        collected = _CollectedRecords({}, [], [])
        for holder in row.buddies:
            if holder == own_incarnation:
                records = self._book.close(row.incarnation)
                answer = HandOverAck(records, True)
            else:
                answer = await self._ask_holder(holder, row.incarnation, rows)
            if answer is not None and answer.was_holder:
                _merge(collected.records, answer.records)
            elif answer is not None or _is_unlisted(holder, listed_instances):
                collected.lost_holders.append(holder)
            else:
                collected.unreachable_holders.append(holder)
        _merge(collected.records, self._book.close(row.incarnation))
        _merge(collected.records, await self._stored_records(row.incarnation))
        return collected

    async def _ask_holder(self, holder: str, fenced: str, rows) -> HandOverAck | None:
        """Ask the process that was ``holder``, under its current incarnation, for records."""
        instance = instance_of(holder)
        for row in rows.values():
            if row.instance != instance or not row.writable:
                continue
            try:
                answer = await self._peers.ask(
                    row.peers_address, row.incarnation, HandOver(fenced, holder)
                )
            except PeerError:
                return None
            return answer if isinstance(answer, HandOverAck) else None
        return None

    async def _stored_records(self, incarnation: str) -> list[RunRecord]:
        rows = await self._table.scan_all(stored_records_prefix(incarnation))
        return [msgspec.convert(row.value, RunRecord) for row in rows]

    async def _used_tokens(self, record: RunRecord) -> int | None:
        """Return the tokens known to be used, or None if the engine must be asked again.

        Nothing is known of an open call of a plain service, or of a run on an
        endpoint that is no longer configured, so these are billed at 0.
        """
        if record.state is RecordState.CLOSED:
            return record.used_tokens
        url = self._endpoint_url(record.endpoint)
        if url is None or not self._is_engine(record.endpoint):
            return 0
        try:
            run_status = await self._engines.run_status(url, record.run_id)
            unread = run_status.state is RunState.RUNNING and run_status.reader_gone
            if unread or run_status.state is RunState.NEVER_SEEN:
                # The fenced router may resume and send a run that the engine has not seen;
                # cancelling makes the engine reject it.
                run_status = await self._engines.cancel(url, record.run_id)
        except EndpointError:
            return None
        if run_status.state is RunState.RUNNING:
            return None
        return min(run_status.used_tokens, record.reserved_tokens)

    def _emit(self, kind: str, record: RunRecord, incarnation: str) -> None:
        """Emit an event that shows the recovered record of a run."""
        self._events.emit(
            kind,
            request_id=record.request_id,
            workspace=record.workspace,
            endpoint=record.endpoint,
            run_id=record.run_id,
            held_as=record.state.name.lower(),
            of=incarnation,
        )

    def _bill(self, record: RunRecord, incarnation: str, used_tokens: int) -> Bill:
        row = BillRow(
            record.request_id,
            record.run_id,
            record.workspace,
            record.budget,
            used_tokens,
            incarnation,
            record.endpoint,
            record.fingerprint,
        )
        if record.repeatable:
            return Bill(row)
        claim = ClaimRow(
            record.request_id,
            record.workspace,
            incarnation,
            record.run_id,
            record.fingerprint,
            ClaimState.UNKNOWN,
        )
        key = claim_key(record.workspace, record.request_id)
        return Bill(row, (Put(key, msgspec.to_builtins(claim)),))

    async def _write(self, writer: BillWriter, row: RouterRow) -> None:
        outcome = await writer.flush()
        settled = self._settled[row.incarnation]
        settled.update(bill.row.run_id for bill, _ in outcome.duplicates)
        for bill in outcome.written:
            settled.add(bill.row.run_id)
            self._events.emit(
                "recovery.billed",
                request_id=bill.row.request_id,
                workspace=bill.row.workspace,
                endpoint=bill.row.endpoint,
                tokens=bill.row.tokens,
                of=row.incarnation,
            )
        if writer.pending:
            raise OutcomeUnknownError("the outcome of writing a recovery's bills is unknown")

    async def _close(
        self, row: RouterRow, own_incarnation: str, holder_lost: bool
    ) -> RecoveryState:
        in_doubt = 0
        for grant in await self._table.scan_all(grants_prefix(row.incarnation)):
            in_doubt += await self._close_grant(grant, row, own_incarnation, holder_lost)
        await self._registry.close_recovery(row.incarnation, in_doubt > 0)
        self._book.forget(row.incarnation)
        self._settled.pop(row.incarnation, None)
        self._events.emit("recovery.closed", of=row.incarnation, in_doubt_tokens=in_doubt)
        return RecoveryState.CLOSED_IN_DOUBT if in_doubt else RecoveryState.CLOSED

    async def _close_grant(
        self, stored_row, row: RouterRow, own_incarnation: str, holder_lost: bool
    ) -> int:
        grant = msgspec.convert(stored_row.value, GrantRow)
        unsettled = grant.granted_tokens - grant.settled_tokens
        in_doubt = unsettled if holder_lost else 0
        key = grant_key(row.incarnation, grant.budget)
        budget = budget_key(grant.budget)
        checks = (
            VersionIs(key, stored_row.version),
            FieldIs(router_key(row.incarnation), "state", RouterState.FENCED.value),
            FieldIs(router_key(row.incarnation), "recoverer", own_incarnation),
        )
        writes = [
            Add(budget, "ungranted_tokens", unsettled - in_doubt),
            Add(budget, "spent_tokens", grant.settled_tokens),
        ]
        if in_doubt:
            remaining_grant = msgspec.structs.replace(
                grant, granted_tokens=in_doubt, settled_tokens=0, in_doubt_tokens=in_doubt
            )
            writes.append(Put(key, msgspec.to_builtins(remaining_grant)))
        else:
            writes.append(Delete(key))
        result = await self._table.transact(Transaction(checks, tuple(writes)))
        if not isinstance(result, Committed):
            raise OutcomeUnknownError(f"grant {key} changed while it was being closed")
        return in_doubt


def _is_unlisted(holder: str, listed_instances: set[str] | None) -> bool:
    return listed_instances is not None and instance_of(holder) not in listed_instances


def _merge(records: dict[str, RunRecord], new_records) -> None:
    for record in new_records:
        existing = records.get(record.run_id)
        if existing is None or record.state > existing.state:
            records[record.run_id] = record
