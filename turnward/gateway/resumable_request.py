# SPDX-License-Identifier: BSD-3-Clause
"""The part of a forwarded request that concerns its event stream, and where the stream began."""

from turnward.gateway.configuration import Route
from turnward.gateway.progress import StreamProgress
from turnward.gateway.relay_note import RelayNote
from turnward.gateway.relayable_request import RelayableRequest
from turnward.http1 import header_value

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
        self._progress = StreamProgress()
        self._stream_version = ""

    @property
    def streams(self) -> bool:
        """Whether the response is an event stream."""
        return self._route.streams

    @property
    def resumable(self) -> bool:
        """Whether an interrupted stream may be resumed at another endpoint."""
        return self._route.streams and self._route.resumable

    @property
    def stream_fields(self) -> dict[str, str]:
        """Fields of log lines, where known: the request that began the stream, and its version."""
        resumes = header_value(self._request.headers, self._forwarder.dialect.resumes) or b""
        fields = {"resumes": resumes.decode("latin-1"), "version": self._stream_version}
        return {name: value for name, value in fields.items() if value}

    def may_continue_with(self, first_id: bytes | None) -> bool:
        """Return whether an event may follow the last one forwarded."""
        return self._progress.may_continue_with(first_id)

    def note_events(self, count: int, last_id: bytes | None) -> None:
        """Count forwarded events."""
        attempt = self._attempt
        if not self._progress.events and not attempt.is_relay:
            self._stream_version = attempt.record.entry.version
        self._progress.note(count, last_id, self._forwarder.reactor.seconds())

    def _last_event_id(self) -> bytes | None:
        return self._progress.last_id
