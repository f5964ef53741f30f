# SPDX-License-Identifier: BSD-3-Clause
"""The two quarantines of a router, of whole contents and of prompt parts, and their rows."""

import random
from collections.abc import Callable
from collections.abc import Set as AbstractSet
from functools import partial

from turnward.gateway.choice import EndpointBook
from turnward.gateway.crash_evidence import CrashEvidence, may_be_network
from turnward.gateway.quarantine_rows import QUARANTINE_TABLE, QuarantineRows
from turnward.gateway.unreadable_rows import UnreadableRows
from turnward.quarantine import PartQuarantine, Quarantine, QuarantineChange, QuarantineRule
from turnward.rows import VersionedStoreBase

__all__ = ["Quarantines"]

#: Tables of parts that are sure by the runs that had begun, and by all lost runs.
_BEGUN_PARTS_TABLE = "quarantined_parts"
_LOST_PARTS_TABLE = "quarantined_lost_parts"
#: Time in which a peer that knows everything quarantined tells of it, one content in each message.
_TOLD_WITHIN_S = 1.0
#: Longest time for which a router that lacks nothing else awaits the rows. If it is too short, a
#: slow store costs endpoints; if it is too long, one that is away costs requests.
_ROWS_WAIT_S = 5.0


class Quarantines:
    """Keeps both quarantines consistent with each other, logged and stored.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    rule : QuarantineRule
        When and for how long a content or a part is quarantined.
    rank_of : callable
        Returns this router's rank among those that try what a given endpoint aborted first.
    endpoints : EndpointBook
        The known endpoints.
    store : VersionedStoreBase
        Holds the rows.
    unreadable_rows : UnreadableRows
        Records rows that can't be decoded.
    rng : random.Random
        Draws the delays of retries.
    log
        Where changed verdicts are recorded.

    Attributes
    ----------
    contents : Quarantine
        Quarantine of whole contents.
    parts : PartQuarantine
        Quarantine of prompt parts.
    crashes : CrashEvidence
        Gets the runs that are lost with endpoints.
    on_part_held : callable
        Called when a part is quarantined.
    """

    def __init__(
        self,
        reactor,
        rule: QuarantineRule,
        rank_of: Callable[[str], int],
        endpoints: EndpointBook,
        store: VersionedStoreBase,
        unreadable_rows: UnreadableRows,
        rng: random.Random,
        log,
    ):
        self._clock = reactor.seconds
        self._log = log
        self._told_since_s: float | None = None
        self.contents = Quarantine(self._clock, rule, self._content_changed, rank_of)
        self.parts = PartQuarantine(
            self._clock, rule, self._part_changed, rank_of, partial(may_be_network, endpoints)
        )
        self.crashes = CrashEvidence(reactor, self.parts)
        self.on_part_held: Callable[[], None] = _ignore
        self._rows, self._begun_rows, self._lost_rows = (
            QuarantineRows(reactor, store, evidence, unreadable_rows, rng, table)
            for evidence, table in (
                (self.contents, QUARANTINE_TABLE),
                (self.parts.begun, _BEGUN_PARTS_TABLE),
                (self.parts.lost, _LOST_PARTS_TABLE),
            )
        )

    def start(self) -> None:
        """Read what routers have stored so far."""
        for rows in self._all_rows:
            rows.start()

    def note_told(self) -> None:
        """Record that a peer which knows everything quarantined tells of it."""
        if self._told_since_s is None:
            self._told_since_s = self._clock()

    @property
    def known(self) -> bool:
        """Whether everything quarantined before this start was read, or told by a peer."""
        if all(rows.read for rows in self._all_rows):
            return True
        told_since_s = self._told_since_s
        return told_since_s is not None and self._clock() - told_since_s >= _TOLD_WITHIN_S

    def is_awaited(self, since_s: float) -> bool:
        """Return whether requests have to wait for what was quarantined before this start.

        Parameters
        ----------
        since_s : float
            When everything else that is needed to serve requests became known.
        """
        return not self.known and self._clock() - since_s < _ROWS_WAIT_S

    @property
    def _all_rows(self) -> tuple[QuarantineRows, ...]:
        return self._rows, self._begun_rows, self._lost_rows

    def handle_rollback(self) -> None:
        """Write rows again that the rollback of the store may have lost."""
        for rows in self._all_rows:
            rows.handle_rollback()

    def record_live_incarnations(self, live: AbstractSet[str], reachable_since_s: float) -> None:
        """Drop evidence from endpoints that survived, and on contents that a part explains."""
        for evidence in (self.contents, self.parts.begun, self.parts.lost):
            evidence.record_live_incarnations(live, reachable_since_s)
        self.parts.drop_explained()
        self._drop_explained_contents()

    def _drop_explained_contents(self) -> None:
        crashed = self.parts.confirmed_endpoints
        if crashed:
            self.contents.drop_aborts_at(crashed, self._clock())

    def _content_changed(self, change: QuarantineChange) -> None:
        """Log and store that a content has been quarantined or released."""
        self._rows.handle_change(change)
        if not change.quarantined:
            self._log.belief("content.cleared", content=change.content, own=change.local)
            return
        self._log.belief(
            "content.held",
            content=change.content,
            verdict=change.verdict,
            endpoints=change.endpoints,
            own=change.local,
            held_s=round(self.contents.quarantine_left_s(change.content), 1),
        )

    def _part_changed(self, change: QuarantineChange) -> None:
        """Log and store that a part has been quarantined or released."""
        for rows in (self._begun_rows, self._lost_rows):
            rows.handle_change(change)
        if not change.quarantined:
            self._log.belief("part.cleared", part=change.content, own=change.local)
            return
        self._log.belief(
            "part.held",
            part=change.content,
            verdict=change.verdict,
            endpoints=change.endpoints,
            own=change.local,
        )
        self._drop_explained_contents()
        self.on_part_held()


def _ignore() -> None:
    """Default for the callback."""
