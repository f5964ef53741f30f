# SPDX-License-Identifier: BSD-3-Clause
"""The part of a forwarded request that concerns its event stream, and where the stream began."""

from abc import abstractmethod
from collections.abc import Callable

from turnward.gateway.choice import EndpointChoice
from turnward.gateway.configuration import Route, Workspace
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.outcomes import Reason
from turnward.gateway.progress import StreamProgress
from turnward.gateway.prompts import Prompt
from turnward.gateway.relay_note import RelayNote
from turnward.gateway.relayable_request import RelayableRequest
from turnward.gateway.streams import StreamEvents
from turnward.gateway.version_keeper import StreamOrigin
from turnward.http1 import header_value
from turnward.software_versions import StreamKey, key_draw, stream_key

__all__ = ["ResumableRequest"]


class ResumableRequest(RelayableRequest):
    """A request whose response may be a stream that began earlier, here or at another router.

    Parameters
    ----------
    forwarder : Forwarder
        The forwarder.
    request : InboundRequest
        The caller's request, or that of the router that relays it.
    note : RelayNote or None
        What came with a relayed request; None if a caller sent it here.
    """

    def __init__(self, forwarder, request, note: RelayNote | None):
        super().__init__(forwarder, request, note)
        self._route: Route | None = None
        self._workspace: Workspace | None = None
        self._prompt = Prompt()
        self._request_id = b""
        self._progress = StreamProgress()
        #: Software version that began the stream; empty if not known.
        self._stream_version = note.version if note is not None else ""

    @property
    def streams(self) -> bool:
        """Whether the response is an event stream."""
        return self._route.streams

    @property
    def resumable(self) -> bool:
        """Whether an interrupted stream may be resumed at another endpoint."""
        return self._route.streams and self._route.resumable

    @property
    def stream_fields(self) -> dict[str, str | float]:
        """Fields of log lines, where known: the request that began the stream, and its version.

        With the age of the endpoints' table, if it decides where the stream goes on.
        """
        resumes = header_value(self._request.headers, self._forwarder.dialect.resumes) or b""
        fields = {"resumes": resumes.decode("latin-1"), "version": self._stream_version}
        fields = {name: value for name, value in fields.items() if value}
        if self.continues:
            fields["endpoints_age_s"] = round(self._forwarder.state.endpoints_age_s(), 3)
        return fields

    def _note_resumption(self) -> None:
        """Have the next event follow the last one that the caller has, if it says so."""
        last_id = header_value(self._request.headers, self._forwarder.dialect.last_event_id)
        if self.resumable and last_id is not None:
            self._progress = StreamProgress.resumed_after(last_id)

    def may_continue_with(self, events: StreamEvents) -> bool:
        """Return whether events may follow the last one forwarded."""
        return self._progress.may_continue_with(events)

    def note_events(self, events: StreamEvents) -> None:
        """Count forwarded events; the first one decides which endpoints may continue the stream."""
        if not self._progress.events and not self._attempt.is_relay:
            self._note_first_event(self._attempt.record)
        self._progress.note(events, self._forwarder.reactor.seconds())

    def _note_first_event(self, record: EndpointRecord) -> None:
        versions = self._forwarder.versions
        if self.resumable and not self._resumed_by_caller:
            self._stream_version = versions.note_first_event(self._stream_key, record)
            return
        if self.resumable and self._stream_version:
            versions.note_resumed(self._stream_key, record, self._stream_version)
        self._stream_version = self._stream_version or record.entry.version

    def _note_whole(self) -> None:
        """Record that the answer has ended whole."""
        if self.resumable:
            self._forwarder.versions.note_whole(self._stream_key)

    def _last_event_id(self) -> bytes | None:
        return self._progress.last_id

    # Where the stream goes on.

    def _draw_pool(self) -> float:
        """Return what selects the pool of a divided route; the same for a stream's requests."""
        if self.resumable:
            return key_draw(self._stream_key)
        return self._forwarder.rng.random()

    @property
    def _resumed_by_caller(self) -> bool:
        """Whether the caller has events of the stream from an earlier request."""
        headers = self._request.headers
        return header_value(headers, self._forwarder.dialect.last_event_id) is not None

    @property
    def _stream_key(self) -> StreamKey:
        """Key of the stream, by the request that brought its first event."""
        resumes = header_value(self._request.headers, self._forwarder.dialect.resumes)
        workspace = self._workspace.name if self._workspace is not None else ""
        return stream_key(workspace, resumes or self._request_id)

    @property
    def continues(self) -> bool:
        """Whether the caller has events that the next one must fit to."""
        if self._route is None or not self._route.streams:
            return False
        return self._progress.events > 0 or self._resumed_by_caller

    @property
    def bound_version(self) -> str:
        """See ``RelayableRequest.bound_version``."""
        version = self._stream_version
        bound = version and self.continues and self._forwarder.versions.binds(self.pool, version)
        return version if bound else ""

    @property
    def _excluded(self) -> set[str]:
        """Endpoints that must not be tried: those that were, and those of other versions."""
        version = self.bound_version
        if not version:
            return self._tried
        return self._tried | self._forwarder.versions.unfit(self.pool, version)

    def _choose_endpoint(self) -> EndpointChoice | None:
        """Return the endpoint to try next; None if none accepts the request."""
        forwarder = self._forwarder
        pool = forwarder.state.routes.pools.get(self.pool)
        traits = pool.engine if pool is not None else None
        pause_target_s = forwarder.state.routes.pause_targets_s.get(self.pool)
        excluded = self._excluded
        choose = forwarder.endpoints.choose
        if self.resumable and not self.continues:
            avoided = excluded | forwarder.versions.unpreferred(self.pool)
            choice = choose(self.pool, self._prompt, traits, avoided, pause_target_s)
            if choice is not None or avoided == excluded:
                return choice
        return choose(self.pool, self._prompt, traits, excluded, pause_target_s)

    def _with_version(self, proceed: Callable[[], None]) -> None:
        """Call ``proceed`` once it is known where the stream may go on, if it has begun."""
        if not self.continues:
            proceed()
            return
        asked_s = self._forwarder.reactor.seconds()

        def log_origin(origin: StreamOrigin) -> None:
            if origin.searched:
                self._log_origin(origin.version, asked_s)

        def ready(origin: StreamOrigin) -> None:
            log_origin(origin)
            if not origin.may_go_on:
                may_turn_up = origin.may_turn_up
                self._give_up(Reason.VERSION_UNKNOWN if may_turn_up else Reason.VERSION_LOST)
                return
            self._stream_version = origin.version
            proceed()

        versions = self._forwarder.versions
        known = versions.ready_to_continue(self.pool, self._stream_key, self._stream_version)
        known.addCallback(self._turns.wait(ready, log_origin))

    def _log_origin(self, version: str, asked_s: float) -> None:
        waited_s = self._forwarder.reactor.seconds() - asked_s
        self._forwarder.metrics.streams_resumed.labels(
            self.pool, "known" if version else "unknown"
        ).inc()
        self._forwarder.log.event(
            "stream.origin",
            request=self._request_id.decode("latin-1"),
            pool=self.pool,
            own=self._progress.events > 0,
            waited_ms=round(waited_s * 1_000, 1),
            **{**self.stream_fields, "version": version},
        )

    @property
    def _no_endpoint_reason(self) -> Reason:
        """Why no endpoint was found."""
        version = self.bound_version
        versions = self._forwarder.versions
        if not version or versions.has(self.pool, version):
            return Reason.NO_ENDPOINT
        has_left = versions.has_left(self.pool, version)
        return Reason.VERSION_GONE if has_left else Reason.NO_SAME_VERSION

    @abstractmethod
    def _give_up(self, reason: Reason) -> None:
        """End a request that the last endpoint did not run."""
