# SPDX-License-Identifier: BSD-3-Clause
"""Recovers a dead router: fences it, settles its runs, returns what is proved unspent."""

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
    """How far a recovery is."""

    WAITING_FOR_HOLDERS = "waiting_for_holders"
    WAITING_FOR_ENDPOINTS = "waiting_for_endpoints"
    CLOSED = "closed"
    CLOSED_IN_DOUBT = "closed_in_doubt"


class _Gathered(msgspec.Struct):
    """Records of a fenced router, and whether a holder of some was lost."""

    records: dict[str, RunRecord]
    unreachable: list[str]
    lost: list[str]


class Recoverer:
    """Recovers one fenced incarnation at a time; every step may be repeated.

    Parameters
    ----------
    table : TableBase
        The platform's table.
    registry : RouterRegistry
        The router rows.
    peers : PeersBase
        Asks the other holders.
    book : RecordBook
        Records this router holds.
    engines : EngineClientBase
        Asks endpoints for their account of a run.
    endpoint_url : callable
        Gives the URL of an endpoint's name, or None when it is not configured.
    is_engine : callable
        Tells whether an endpoint is a model engine.
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
        self, row: RouterRow, own: str, rows: dict[str, RouterRow], listed: set[str] | None
    ) -> RecoveryState:
        """Take a fenced router's recovery as far as it goes now.

        Parameters
        ----------
        row : RouterRow
            The fenced row, read after the fence.
        own : str
            This router's incarnation, which holds the duty.
        rows : dict
            All router rows.
        listed : set of str or None
            The platform's live instances; None when the list is not to be had.
        """
        gathered = await self._gather(row, own, rows, listed)
        if gathered.unreachable:
            return RecoveryState.WAITING_FOR_HOLDERS
        writer = BillWriter(self._table, own)
        waiting = False
        settled = self._settled.setdefault(row.incarnation, set())
        for record in gathered.records.values():
            if record.run_id in settled:
                continue
            used_tokens = await self._used_tokens(record)
            if used_tokens is None:
                waiting = True
                continue
            if used_tokens == 0 and record.repeatable and self._is_engine(record.endpoint):
                # Proved not to have run; a bill would stand in the way of a retry's.
                settled.add(record.run_id)
                self._emit("recovery.not_run", record, row.incarnation)
                continue
            self._emit("recovery.record", record, row.incarnation)
            writer.add(self._bill(record, row.incarnation, used_tokens))
        await self._write(writer, row)
        if waiting:
            return RecoveryState.WAITING_FOR_ENDPOINTS
        return await self._close(row, own, bool(gathered.lost))

    async def _gather(self, row: RouterRow, own: str, rows, listed) -> _Gathered:
        gathered = _Gathered({}, [], [])
        for holder in row.buddies:
            if holder == own:
                records = self._book.close(row.incarnation)
                answer = HandOverAck(records, True)
            else:
                answer = await self._ask_holder(holder, row.incarnation, rows)
            if answer is not None and answer.was_holder:
                _merge(gathered.records, answer.records)
            elif answer is not None or _is_off_list(holder, listed):
                gathered.lost.append(holder)
            else:
                gathered.unreachable.append(holder)
        _merge(gathered.records, self._book.close(row.incarnation))
        _merge(gathered.records, await self._stored_records(row.incarnation))
        return gathered

    async def _ask_holder(self, holder: str, fenced: str, rows) -> HandOverAck | None:
        """Ask the process that was ``holder``; it may be another incarnation by now."""
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
        """Return the tokens that can be proved, or None when the engine must be asked again.

        Of a plain service's open call, or a run on an endpoint that is no
        longer configured, nothing can be proved, so it is billed at 0.
        """
        if record.state is RecordState.CLOSED:
            return record.used_tokens
        url = self._endpoint_url(record.endpoint)
        if url is None or not self._is_engine(record.endpoint):
            return 0
        try:
            run_status = await self._engines.run_status(url, record.run_id)
            gone = run_status.state is RunState.RUNNING and run_status.reader_gone
            if gone or run_status.state is RunState.NEVER_SEEN:
                # A frozen router may still send a run never seen; cancelled, it is refused.
                run_status = await self._engines.cancel(url, record.run_id)
        except EndpointError:
            return None
        if run_status.state is RunState.RUNNING:
            return None
        return min(run_status.used_tokens, record.reserved_tokens)

    def _emit(self, kind: str, record: RunRecord, of: str) -> None:
        """Tell on the time line what the buddies held of a run."""
        self._events.emit(
            kind,
            request_id=record.request_id,
            workspace=record.workspace,
            endpoint=record.endpoint,
            run_id=record.run_id,
            held_as=record.state.name.lower(),
            of=of,
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
        done = await writer.flush()
        settled = self._settled[row.incarnation]
        settled.update(bill.row.run_id for bill, _ in done.duplicates)
        for bill in done.written:
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
            raise OutcomeUnknownError("bills of a recovery are not settled yet")

    async def _close(self, row: RouterRow, own: str, holder_lost: bool) -> RecoveryState:
        in_doubt = 0
        for grant in await self._table.scan_all(grants_prefix(row.incarnation)):
            in_doubt += await self._close_grant(grant, row, own, holder_lost)
        await self._registry.close_recovery(row.incarnation, in_doubt > 0)
        self._book.forget(row.incarnation)
        self._settled.pop(row.incarnation, None)
        self._events.emit("recovery.closed", of=row.incarnation, in_doubt_tokens=in_doubt)
        return RecoveryState.CLOSED_IN_DOUBT if in_doubt else RecoveryState.CLOSED

    async def _close_grant(self, stored, row: RouterRow, own: str, holder_lost: bool) -> int:
        grant = msgspec.convert(stored.value, GrantRow)
        unsettled = grant.granted_tokens - grant.settled_tokens
        in_doubt = unsettled if holder_lost else 0
        key = grant_key(row.incarnation, grant.budget)
        budget = budget_key(grant.budget)
        checks = (
            VersionIs(key, stored.version),
            FieldIs(router_key(row.incarnation), "state", RouterState.FENCED.value),
            FieldIs(router_key(row.incarnation), "recoverer", own),
        )
        writes = [
            Add(budget, "ungranted_tokens", unsettled - in_doubt),
            Add(budget, "spent_tokens", grant.settled_tokens),
        ]
        if in_doubt:
            left = msgspec.structs.replace(
                grant, granted_tokens=in_doubt, settled_tokens=0, in_doubt_tokens=in_doubt
            )
            writes.append(Put(key, msgspec.to_builtins(left)))
        else:
            writes.append(Delete(key))
        result = await self._table.transact(Transaction(checks, tuple(writes)))
        if not isinstance(result, Committed):
            raise OutcomeUnknownError(f"grant {key} changed while it was closed")
        return in_doubt


def _is_off_list(holder: str, listed: set[str] | None) -> bool:
    return listed is not None and instance_of(holder) not in listed


def _merge(records: dict[str, RunRecord], more) -> None:
    for record in more:
        known = records.get(record.run_id)
        if known is None or record.state > known.state:
            records[record.run_id] = record
