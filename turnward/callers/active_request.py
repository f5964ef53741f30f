# SPDX-License-Identifier: BSD-3-Clause
"""The state of one request while the router processes it."""

import msgspec

from turnward.budgets import Reservation
from turnward.peers.messages import RunRecord
from turnward.resources import Workspace
from turnward.routing import EndpointView, Ticket

__all__ = ["ActiveRequest", "UncertainRun"]


class UncertainRun(msgspec.Struct, frozen=True):
    """An attempt without a complete response; it may have run."""

    view: EndpointView
    run_id: str
    record: RunRecord


class ActiveRequest:
    """The state of one request while the router processes it.

    Attributes
    ----------
    run_id : str
        Id of the current attempt at an endpoint.
    record : RunRecord or None
        Record of the current attempt, replicated to a buddy router or stored in the table.
    uncertain_run : UncertainRun or None
        An earlier attempt that may have run.
    stored_record_key : str
        Key of the record in the table, if it was stored there; else empty.
    core : RouterCore
        State of the router's incarnation that reserved the tokens and bills them.
    """

    __slots__ = (
        "admitted_s",
        "core",
        "fingerprint",
        "pool",
        "priority_class",
        "record",
        "repeatable",
        "request_id",
        "uncertain_run",
        "reservation",
        "run_id",
        "started_s",
        "stored_record_key",
        "ticket",
        "tried",
        "view",
        "attempt_sent_s",
        "workspace",
    )

    def __init__(
        self, workspace: Workspace, request_id, fingerprint, pool, priority_class, repeatable
    ):
        self.workspace = workspace
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.pool = pool
        self.priority_class = priority_class
        self.repeatable = repeatable
        self.reservation: Reservation | None = None
        self.record: RunRecord | None = None
        self.ticket: Ticket | None = None
        self.view: EndpointView | None = None
        self.core = None
        self.run_id = ""
        self.stored_record_key = ""
        self.uncertain_run: UncertainRun | None = None
        self.started_s = 0.0
        self.admitted_s = 0.0
        self.attempt_sent_s = 0.0
        self.tried: set[str] = set()
