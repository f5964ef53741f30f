# SPDX-License-Identifier: BSD-3-Clause
"""One request's way: admitted, sent to an endpoint, answered.

What an answer may claim is decided here: ``not run`` is said only when no byte
was sent, or the endpoint said so itself.
"""

from collections.abc import Callable

import msgspec
from twisted.internet import defer

from turnward.admission import AdmissionRule
from turnward.gateway.attempt import EndpointAttempt
from turnward.gateway.availability import UnavailableReason
from turnward.gateway.choice import EndpointBook, EndpointChoice
from turnward.gateway.configuration import Route, Workspace
from turnward.gateway.dialect import Dialect
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.outcomes import NOT_RUN_STATUSES, NoRetryReason, Outcome, Reason
from turnward.gateway.pool_admission import PoolAdmission
from turnward.gateway.prepaid import BudgetRefusal, PrepaidAccounts
from turnward.gateway.progress import StreamProgress
from turnward.gateway.prompts import Prompt, parse_prompt_parts
from turnward.gateway.retries import RetryBudgetRule, RetryBudgetShare
from turnward.gateway.retry_after import RetryAfterEstimator
from turnward.gateway.state import FleetState
from turnward.hashing import fingerprint
from turnward.http1 import (
    ExchangeFailure,
    FailureCause,
    HeaderList,
    InboundRequest,
    encode_request_head,
    end_to_end,
    header_value,
    header_values,
)
from turnward.ledger import Reservation
from turnward.quarantine import Quarantine, Verdict

__all__ = ["Forwarder", "ForwardedRequest", "ForwardingRules"]

#: Bytes of a request's body kept for another send.
_REPLAY_LIMIT_BYTES = 262_144
#: How a connection ends whose endpoint's process ended.
_ENDED_WITH_CONNECTION = frozenset((FailureCause.CLOSED, FailureCause.RESET))
#: Hexadecimal digits that tell contents apart: 64 bits.
_CONTENT_DIGITS = 16
#: Endpoints tried in vain, with nothing sent, before a request is refused.
_ENDPOINTS_LIMIT = 6
#: Why a request has no endpoint; told more exactly where the whole pool takes no work.
_ENDPOINT_REASONS = frozenset((Reason.NO_ENDPOINT, Reason.ENDPOINTS_FULL))
#: Least time left that is worth a send, in seconds.
_LEAST_SEND_S = 0.02


class ForwardingRules(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the forwarder.

    Attributes
    ----------
    looks_for_others : bool
        Whether a repeat is used up only where another endpoint takes work.
    stale_after_s : float
        Age of the last confirmation of the configuration above which a missing
        route or key is not taken for the caller's fault.
    """

    repeats: RetryBudgetRule = RetryBudgetRule()
    looks_for_others: bool = True
    stale_after_s: float = 3.0
    retry_after_s: float = 0.25
    admission: AdmissionRule = AdmissionRule()


class Forwarder:
    """What all requests share.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    dialect : Dialect
        Names on the wire.
    rules : ForwardingRules
        Bounds.
    state : FleetState
        Configuration and endpoints.
    endpoints : EndpointBook
        The choice of endpoints.
    accounts : PrepaidAccounts or None
        Tokens of workspaces.
    quarantine : Quarantine
        Knows which contents end the endpoints that run them.
    live_routers : callable
        How many routers may live.
    log, metrics
        Told of each request.
    draw : random.Random
        Draws among weighted pools.

    Attributes
    ----------
    refusing : bool
        Set late in a planned stop: what comes now could not end in time.
    """

    def __init__(
        self,
        reactor,
        dialect: Dialect,
        rules: ForwardingRules,
        state: FleetState,
        endpoints: EndpointBook,
        accounts: PrepaidAccounts | None,
        quarantine: Quarantine,
        live_routers: Callable[[], int],
        log,
        metrics,
        draw,
    ):
        self.reactor = reactor
        self.dialect = dialect
        self.rules = rules
        self.state = state
        self.endpoints = endpoints
        self.accounts = accounts
        self.quarantine = quarantine
        self.live_routers = live_routers
        self.log = log
        self.metrics = metrics
        self.draw = draw
        self.never_forwarded = dialect.never_forwarded
        self.refuses_new_requests = False
        self.open_requests: set[ForwardedRequest] = set()
        self._allowances: dict[str, RetryBudgetShare] = {}
        self.entry = PoolAdmission(rules.admission, state, endpoints)
        self.return_times = RetryAfterEstimator(
            reactor.seconds, endpoints, draw, rules.retry_after_s
        )

    def handle(self, request: InboundRequest) -> None:
        """Take a request."""
        ForwardedRequest(self, request).start()

    def note_endpoint_ended(self, record: EndpointRecord) -> None:
        """Note that an endpoint may have ended: what was given up there just before is suspect.

        Else a request whose callers leave before it ends the engine would never be known.
        """
        for run in record.abandoned.take(self.reactor.seconds()):
            self.quarantine.record_abort(run.content, record.incarnation, run.sent_s)

    def retry_budget(self, pool: str) -> RetryBudgetShare:
        """Return this router's part of the budget of repeats towards a pool."""
        retry_budget = self._allowances.get(pool)
        if retry_budget is None:
            retry_budget = RetryBudgetShare(self.rules.repeats, self.reactor.seconds)
            self._allowances[pool] = retry_budget
        return retry_budget


class ForwardedRequest:
    """One request under way."""

    def __init__(self, forwarder: Forwarder, request: InboundRequest):
        self._forwarder = forwarder
        self._request = request
        self._started_s = request.received_s
        self._route: Route | None = None
        self._workspace: Workspace | None = None
        self._pool = ""
        self._prompt = Prompt()
        self._request_id = b""
        self._content = ""
        self._deadline_s = 0.0
        self._reservation = None
        self._repeat_reservations: list[Reservation] = []
        self._waiting: defer.Deferred | None = None
        self._timer = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._replayable = True
        self._chunks_out = False
        self._attempt: EndpointAttempt | None = None
        self._attempts = 0
        self._tried: set[str] = set()
        self._may_have_run = False
        self._excess_s = 0.0
        self._on_trial = False
        self._progress = StreamProgress()
        self._over = False

    # Admission.

    def start(self) -> None:
        """Check the request and begin."""
        forwarder = self._forwarder
        dialect = forwarder.dialect
        request = self._request
        ids = header_values(request.headers, dialect.request_id)
        hosts = header_values(request.headers, b"host")
        if len(ids) == 1:
            self._request_id = ids[0]
        if len(ids) != 1 or not ids[0] or len(hosts) != 1 or not request.target.startswith(b"/"):
            self._refuse(400, Reason.BAD_REQUEST)
            return
        if forwarder.refuses_new_requests:
            self._refuse(503, Reason.STOPPING)
            return
        if not forwarder.state.complete:
            self._refuse(503, Reason.NO_CONFIGURATION)
            return
        if self._find_route(hosts[0]) and self._find_workspace() and self._read_limits():
            request.on_gone = self._caller_gone
            forwarder.open_requests.add(self)
            self._reserve()

    def _find_route(self, host: bytes) -> bool:
        path = self._request.target.partition(b"?")[0].decode("latin-1")
        name = host.decode("latin-1").partition(":")[0]
        self._route = self._forwarder.state.routes.find(name, path)
        if self._route is None:
            self._refuse_unknown(404, Reason.NO_ROUTE)
            return False
        return True

    def _find_workspace(self) -> bool:
        routes = self._forwarder.state.routes
        if self._route.public or not routes.configuration.needs_keys:
            return True
        values = header_values(self._request.headers, b"authorization")
        scheme, _, key = values[0].partition(b" ") if len(values) == 1 else (b"", b"", b"")
        if scheme.lower() == self._forwarder.dialect.key_scheme.lower():
            self._workspace = routes.workspace_for_key(key.strip().decode("latin-1"))
        if self._workspace is None:
            self._refuse_unknown(401, Reason.NO_KEY)
            return False
        return True

    def _refuse_unknown(self, status: int, reason: Reason) -> None:
        """Refuse what no configuration known here allows; a newer one may."""
        forwarder = self._forwarder
        if forwarder.state.unconfirmed_for_s() > forwarder.rules.stale_after_s:
            self._refuse(503, Reason.STALE_CONFIGURATION)
        else:
            self._refuse(status, reason)

    def _read_limits(self) -> bool:
        headers = self._request.headers
        dialect = self._forwarder.dialect
        limit_s = self._route.time_limit_s
        deadline = header_value(headers, dialect.deadline_ms)
        if deadline is not None:
            try:
                limit_s = min(limit_s, float(deadline) / 1_000)
            except ValueError:
                self._refuse(400, Reason.BAD_REQUEST)
                return False
        self._deadline_s = self._started_s + limit_s
        count = header_value(headers, dialect.token_count)
        if count is None:
            return True
        tokens, _, output = count.partition(b",")
        if not tokens.strip().isdigit() or not output.strip().isdigit():
            self._refuse(400, Reason.BAD_REQUEST)
            return False
        parts = header_value(headers, dialect.prompt_parts) or b""
        self._prompt = Prompt(int(tokens), int(output), parse_prompt_parts(parts.decode("latin-1")))
        return True

    def _reserve(self) -> None:
        self._timer = self._forwarder.reactor.callLater(
            max(0.0, self._deadline_s - self._now_s()), self.time_over
        )
        workspace = self._workspace
        accounts = self._forwarder.accounts
        tokens = self._prompt.tokens + self._prompt.output_tokens
        if accounts is None or workspace is None or workspace.prepaid_tokens is None or not tokens:
            self._gather_body()
            return
        may_run_again = self._route.allows_rerun and self._route.attempts > 1
        ahead = self._prompt.output_tokens if may_run_again else 0
        answer = accounts.reserve(workspace.name, tokens, self.priority, ahead)
        if isinstance(answer, defer.Deferred):
            self._waiting = answer
            answer.addCallback(self._reserved)
        else:
            self._reserved(answer)

    def _reserved(self, answer) -> None:
        self._waiting = None
        if isinstance(answer, BudgetRefusal):
            if self._over:
                return
            if answer is BudgetRefusal.EXHAUSTED:
                self._refuse(402, Reason.BUDGET_EXHAUSTED)
            else:
                self._refuse(503, Reason.BUDGET_UNREACHABLE)
            return
        self._reservation = answer
        if self._over:
            self._settle(0)
            return
        self._gather_body()

    # The body.

    def _gather_body(self) -> None:
        self._request.attach(self._body_received, self._body_ended)

    def _body_received(self, data: bytes) -> None:
        if self._over:
            return
        self._body_bytes += len(data)
        if self._attempt is not None and not self._replayable:
            self._attempt.send_body(data)
            return
        self._body.append(data)
        if self._body_bytes > _REPLAY_LIMIT_BYTES and self._attempt is None:
            self._replayable = False
            self._dispatch()

    def _body_ended(self) -> None:
        if self._over:
            return
        if self._attempt is None and self._replayable:
            self._dispatch()
        elif self._attempt is not None:
            self._attempt.send_body_end()

    # Sending.

    def _dispatch(self) -> None:
        """Send to an endpoint, or answer that the request has not run."""
        forwarder = self._forwarder
        if self._deadline_s - self._now_s() < _LEAST_SEND_S:
            self.time_over()
            return
        if not self._pool:
            self._pool = self._route.choose_pool(forwarder.draw)
            self._content = self._read_content()
            if self._is_held_back():
                return
            forwarder.retry_budget(self._pool).note_request()
        routes = forwarder.state.routes
        pool = routes.pools.get(self._pool)
        choice = forwarder.endpoints.choose(
            self._pool,
            self._prompt,
            pool.engine if pool is not None else None,
            self._tried,
            routes.pause_targets_s.get(self._pool),
        )
        if choice is None:
            self._give_up(Reason.NO_ENDPOINT)
            return
        record = choice.record
        if not self._tried:
            excess_s = forwarder.entry.excess_s(self._pool, self.priority, choice)
            if excess_s:
                self._refuse_overload(choice, excess_s)
                return
        self._tried.add(record.incarnation)
        forwarder.log.event(
            "attempt.chosen",
            request=self._request_id.decode("latin-1"),
            content=self._content,
            route=self._route.name,
            workspace=self._workspace.name if self._workspace is not None else "",
            pool=self._pool,
            endpoint=record.incarnation,
            cost_ms=choice.cost_ms,
            candidates=choice.candidates,
            queue_ms=choice.queue_ms,
            in_flight=record.in_flight,
            prompt_tokens=self._prompt.tokens,
            kept_tokens=choice.cached_tokens,
            endpoints=forwarder.state.endpoints_version,
            left_s=round(self._deadline_s - self._now_s(), 3),
        )
        self._attempt = EndpointAttempt(self, record)
        self._attempt.start()

    def _read_content(self) -> str:
        """Return what tells the request's content from another's, whichever id it came under.

        Of a body that is not kept whole, as much counts as is kept. Its length doesn't: the same
        body may come with a length or in chunks.
        """
        request = self._request
        caller = self._workspace.name.encode() if self._workspace is not None else b""
        body = b"".join(self._body)[:_REPLAY_LIMIT_BYTES]
        return fingerprint(request.method, request.target, caller, body)[:_CONTENT_DIGITS]

    def request_head(self, record: EndpointRecord) -> bytes:
        """Return the head for an endpoint, with the time that is left."""
        forwarder = self._forwarder
        dialect = forwarder.dialect
        request = self._request
        headers = end_to_end(request.headers, forwarder.never_forwarded)
        last_id = self._progress.last_id
        if last_id is not None:
            headers = [item for item in headers if item[0] != dialect.last_event_id]
            headers.append((dialect.last_event_id, last_id))
        left_ms = max(1, int((self._deadline_s - self._now_s()) * 1_000))
        headers.append((dialect.deadline_ms, b"%d" % left_ms))
        headers.append((dialect.expected_endpoint, record.endpoint_id.encode()))
        headers.append((dialect.priority, b"%d" % self.priority))
        if self._workspace is not None:
            headers.append((dialect.workspace, self._workspace.name.encode()))
        headers.extend(self._framing())
        return encode_request_head(request.method, request.target, headers)

    def _framing(self) -> HeaderList:
        """Return the header that tells the body's length; decided anew for each send."""
        request = self._request
        self._chunks_out = False
        if request.body_complete:
            # All of it is still here: it is sent with the head.
            if self._body_bytes or request.method in (b"POST", b"PUT", b"PATCH"):
                return [(b"content-length", b"%d" % self._body_bytes)]
            return []
        if request.declared_length is not None:
            return [(b"content-length", b"%d" % request.declared_length)]
        self._chunks_out = True
        return [(b"transfer-encoding", b"chunked")]

    @property
    def priority(self) -> int:
        """Urgency, 0 to 9; the workspace's goes before the route's."""
        own = self._workspace.priority if self._workspace is not None else None
        return max(0, min(9, self._route.priority if own is None else own))

    @property
    def body(self) -> list[bytes]:
        """What is gathered of the body."""
        return self._body

    @property
    def body_in_chunks(self) -> bool:
        """Whether the body goes on in chunks as it comes."""
        return self._chunks_out

    # Answers of attempts.

    def attempt_not_run(self, attempt: "EndpointAttempt", status: int, reason: Reason) -> None:
        """Note that an endpoint did not run the request."""
        self._end_attempt(attempt, "not_run", status=status)
        if self._may_go_on(repeat=attempt.sent, ran=False):
            self._dispatch()
        else:
            self._give_up(reason)

    def attempt_held(self, attempt: "EndpointAttempt", hold: UnavailableReason) -> None:
        """Note that an endpoint said, before anything was sent, that it is to be sent nothing."""
        self._attempt_unsent(attempt, "held", hold=hold)

    def _attempt_unsent(self, attempt: "EndpointAttempt", how: str, **fields) -> None:
        """Go on elsewhere after an attempt of which no byte left."""
        self._end_attempt(attempt, how, **fields)
        if self._may_go_on(repeat=False, ran=False):
            self._dispatch()
        else:
            self._give_up(Reason.NO_ENDPOINT)

    def attempt_failed(self, attempt: "EndpointAttempt", failure: ExchangeFailure) -> None:
        """Note that an attempt ended without a whole answer."""
        if failure.cause in _ENDED_WITH_CONNECTION or failure.cause is FailureCause.CONNECT:
            self._forwarder.note_endpoint_ended(attempt.record)
        if not failure.sent:
            self._attempt_unsent(attempt, "unreachable", cause=failure.cause)
            return
        if failure.cause in _ENDED_WITH_CONNECTION:
            # It may be this content that ends the endpoints that run it: told to all routers,
            # since it comes again at any of them, under another id.
            forwarder = self._forwarder
            forwarder.quarantine.record_abort(
                self._content, attempt.record.incarnation, attempt.sent_s
            )
        self._may_have_run = True
        self._end_attempt(attempt, "lost", cause=failure.cause, answered=failure.answered)
        if self._may_go_on(repeat=True, ran=True):
            self._dispatch()
        elif self._request.head_sent:
            self._cut(Reason.ENDPOINT_LOST)
        else:
            self._fail(502, Reason.ENDPOINT_LOST)

    def attempt_bad(self, attempt: "EndpointAttempt", reason: Reason) -> None:
        """Note an answer that must not be passed on."""
        self._may_have_run = True
        self._end_attempt(attempt, "bad_answer")
        if self._may_go_on(repeat=True, ran=True):
            self._dispatch()
        elif self._request.head_sent:
            self._cut(reason)
        else:
            self._fail(502, reason)

    def may_retry_error(self) -> bool:
        """Tell whether an endpoint's error may be answered by another endpoint."""
        return self._bar_to_send(repeat=True, ran=True) is None

    def retry_error(self, attempt: "EndpointAttempt", status: int) -> bool:
        """Send an errored request elsewhere; False when that is not allowed any more."""
        self._forwarder.quarantine.record_response(self._content, success=False)
        if not self._may_go_on(repeat=True, ran=True):
            return False
        self._may_have_run = True
        self._end_attempt(attempt, "error", status=status)
        self._dispatch()
        return True

    def _may_go_on(self, repeat: bool, ran: bool) -> bool:
        """Tell whether another endpoint is tried; what it needs is taken then."""
        bar = self._bar_to_send(repeat, ran)
        if bar is None and repeat:
            bar = self._take_repeat(ran)
        if bar is None:
            return True
        self._forwarder.log.failure(
            "attempt.not_repeated",
            request=self._request_id.decode("latin-1"),
            route=self._route.name,
            pool=self._pool,
            why=bar,
            attempts=self._attempts,
            attempts_allowed=self._route.attempts,
            left_s=round(self._deadline_s - self._now_s(), 3),
        )
        return False

    def _bar_to_send(self, repeat: bool, ran: bool) -> NoRetryReason | None:
        """Return what rules out another endpoint, None if nothing known does."""
        if self._over:
            return NoRetryReason.OVER
        if not self._replayable:
            return NoRetryReason.BODY_NOT_KEPT
        if ran and not self._route.allows_rerun:
            return NoRetryReason.RUNS_ONCE
        if self._request.head_sent and not self.resumes:
            return NoRetryReason.ANSWER_BEGUN
        if self._deadline_s - self._now_s() < _LEAST_SEND_S:
            return NoRetryReason.TIME
        if not repeat and len(self._tried) >= _ENDPOINTS_LIMIT:
            return NoRetryReason.ENDPOINTS_TRIED
        if repeat and self._attempts >= self._route.attempts:
            return NoRetryReason.ATTEMPTS
        if self._forwarder.quarantine.is_quarantined(self._content):
            return NoRetryReason.HELD_BACK
        forwarder = self._forwarder
        looks = forwarder.rules.looks_for_others
        if looks and not forwarder.endpoints.has_other(self._pool, self._tried):
            return NoRetryReason.NO_OTHER_ENDPOINT
        return None

    def _take_repeat(self, ran: bool) -> NoRetryReason | None:
        """Take what a repeat uses up, or return what there is too little of."""
        if ran and not self._reserve_repeat():
            return NoRetryReason.TOKENS
        forwarder = self._forwarder
        if not forwarder.retry_budget(self._pool).take(forwarder.live_routers()):
            return NoRetryReason.REPEAT_BUDGET
        return None

    def _reserve_repeat(self) -> bool:
        """Set aside what another run may make; the one before may go on for nobody."""
        if self._reservation is None or not self._prompt.output_tokens:
            return True
        accounts = self._forwarder.accounts
        reservation = accounts.reserve_now(self._workspace.name, self._prompt.output_tokens)
        if reservation is None:
            return False
        self._repeat_reservations.append(reservation)
        return True

    @property
    def may_still_send(self) -> bool:
        """Whether a send is worth while; the process may have stood still since it was decided."""
        return not self._over and self._deadline_s - self._now_s() >= _LEAST_SEND_S

    def note_sent(self) -> None:
        """Count an endpoint that the request is sent to."""
        self._attempts += 1

    def _end_attempt(self, attempt: "EndpointAttempt", how: str, **fields) -> None:
        self._attempt = None
        attempt.over = True
        self._forwarder.log.failure(
            "attempt.failed",
            request=self._request_id.decode("latin-1"),
            content=self._content,
            route=self._route.name,
            pool=self._pool,
            endpoint=attempt.record.incarnation,
            how=how,
            sent=attempt.sent,
            reused=attempt.reused,
            attempt=self._attempts,
            events=self._progress.events,
            left_s=round(self._deadline_s - self._now_s(), 3),
            **fields,
        )
        self._forwarder.metrics.attempts_failed.labels(self._pool, how).inc()

    # Answers to the caller.

    @property
    def streams(self) -> bool:
        """Whether the answer is an event stream."""
        return self._route.streams

    @property
    def resumes(self) -> bool:
        """Whether a broken stream may be taken up elsewhere."""
        return self._route.streams and self._route.resumable

    @property
    def head_sent(self) -> bool:
        """Whether the caller has the answer's head."""
        return self._request.head_sent

    def answer_head(self, status: int, headers: HeaderList, length: int | None) -> None:
        """Pass an answer's head on."""
        self._request.on_pause = self._pause
        self._request.on_resume = self._resume
        self._request.start(status, end_to_end(headers), length)

    def answer_body(self, data: bytes) -> None:
        """Pass a part of an answer's body on."""
        self._request.write(data)

    def continues(self, first_id: bytes | None) -> bool:
        """Tell whether an event may follow the last one passed on."""
        return self._progress.may_continue_with(first_id)

    def note_events(self, count: int, last_id: bytes | None) -> None:
        """Count events passed on."""
        self._progress.note(count, last_id, self._now_s())

    def answer_ended(self, attempt: "EndpointAttempt", status: int) -> None:
        """End a whole answer."""
        self._attempt = None
        attempt.over = True
        self._forwarder.quarantine.record_response(self._content, success=status < 400)
        self._request.finish()
        used = None
        if status < 300 and not self._may_have_run:
            used = self._prompt.tokens + self._progress.events * self._event_tokens()
        outcome = Outcome.SERVED if status < 400 else Outcome.ENDPOINT_ERROR
        self._end(outcome, status, used_tokens=used, endpoint=attempt.record.incarnation)

    def _event_tokens(self) -> int:
        pool = self._forwarder.state.routes.pools.get(self._pool)
        engine = pool.engine if pool is not None else None
        return engine.event_tokens if engine is not None else self._prompt.output_tokens

    def _give_up(self, reason: Reason) -> None:
        """Answer a request that no endpoint ran on the last attempt."""
        if self._may_have_run:
            if self._request.head_sent:
                self._cut(reason)
            else:
                self._fail(502, reason)
        else:
            self._refuse(503, self._shortage_or(reason))

    def _shortage_or(self, reason: Reason) -> Reason:
        """Return why the whole pool takes no work; the reason given if some endpoint does."""
        if reason not in _ENDPOINT_REASONS:
            return reason
        shortage = self._forwarder.endpoints.shortage(self._pool)
        return shortage.reason if shortage is not None else reason

    def _refuse(self, status: int, reason: Reason, **fields) -> None:
        """Answer a request that has not run and will not; the line of its end tells the fields."""
        headers = []
        if status in NOT_RUN_STATUSES:
            headers.append((b"retry-after", b"%g" % self._retry_after_s(reason)))
        self._answer_problem(status, reason, headers)
        self._end(Outcome.REFUSED, status, reason=reason, used_tokens=0, **fields)

    def _is_held_back(self) -> bool:
        """Refuse a request whose content ends, or may end, the endpoints that run it."""
        quarantine = self._forwarder.quarantine
        if not quarantine.is_quarantined(self._content):
            return False
        self._on_trial = quarantine.begin_trial(self._content)
        if self._on_trial:
            self._forwarder.log.belief(
                "content.tried",
                request=self._request_id.decode("latin-1"),
                content=self._content,
                pool=self._pool,
            )
            return False
        sure = quarantine.verdict(self._content) is Verdict.CONFIRMED
        reason = Reason.CRASHES_ENDPOINTS if sure else Reason.MAY_CRASH_ENDPOINTS
        self._forwarder.metrics.requests_quarantined.labels(self._pool, reason).inc()
        self._refuse(503, reason)
        return True

    def _refuse_overload(self, choice: EndpointChoice, excess_s: float) -> None:
        """Refuse a request for which all endpoints have too long a queue."""
        self._excess_s = excess_s
        self._forwarder.metrics.requests_overloaded.labels(self._pool).inc()
        over_ms = round(excess_s * 1_000, 1)
        self._refuse(503, Reason.OVERLOADED, queue_ms=choice.queue_ms, over_ms=over_ms)

    def _retry_after_s(self, reason: Reason) -> float:
        """Return when another try may be served."""
        forwarder = self._forwarder
        if reason in (Reason.CRASHES_ENDPOINTS, Reason.MAY_CRASH_ENDPOINTS):
            return round(forwarder.quarantine.quarantine_left_s(self._content), 1)
        return forwarder.return_times.retry_after_s(reason, self._pool, self._excess_s)

    def _fail(self, status: int, reason: Reason) -> None:
        """Answer a request that may have run."""
        self._answer_problem(status, reason, [])
        self._end(Outcome.UNKNOWN, status, reason=reason)

    def _answer_problem(self, status: int, reason: Reason, headers: HeaderList) -> None:
        headers = [*headers, (b"content-type", b"application/json")]
        if self._request_id:
            headers.append((self._forwarder.dialect.request_id, self._request_id))
        body = msgspec.json.encode({"error": reason})
        self._request.answer(status, headers, body)

    def _cut(self, reason: Reason) -> None:
        self._request.abort()
        self._end(Outcome.CUT, None, reason=reason)

    def time_over(self) -> None:
        """End a request whose time is up."""
        if self._over:
            return
        attempt, self._attempt = self._attempt, None
        sent = attempt is not None and attempt.sent
        if attempt is not None:
            attempt.cancel()
        if self._request.head_sent:
            self._cut(Reason.TIME_LIMIT)
        elif sent or self._may_have_run:
            self._answer_problem(504, Reason.TIME_LIMIT, [])
            self._end(Outcome.TIME_LIMIT, 504, reason=Reason.TIME_LIMIT)
        else:
            self._refuse(503, Reason.TIME_LIMIT)

    def _caller_gone(self) -> None:
        attempt, self._attempt = self._attempt, None
        sent = attempt is not None and attempt.sent
        if attempt is not None:
            attempt.cancel()
        used = None if sent or self._may_have_run else 0
        self._end(Outcome.CALLER_GONE, None, used_tokens=used)

    def end_at_stop(self) -> None:
        """End at once, at the end of a planned stop."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            self._may_have_run = self._may_have_run or attempt.sent
            attempt.cancel()
        self._give_up(Reason.STOPPING)

    # Flow control.

    def _pause(self) -> None:
        if self._attempt is not None:
            self._attempt.pause()

    def _resume(self) -> None:
        if self._attempt is not None:
            self._attempt.resume()

    def pause_body(self) -> None:
        """Hold the caller's body back."""
        self._request.pause_body()

    def resume_body(self) -> None:
        """Let the caller send its body on."""
        self._request.resume_body()

    # The end.

    def _end(self, outcome: Outcome, status: int | None, used_tokens=None, **fields) -> None:
        if self._over:
            return
        self._over = True
        forwarder = self._forwarder
        forwarder.open_requests.discard(self)
        if self._on_trial:
            forwarder.quarantine.end_trial(self._content)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        tokens = self._settle(used_tokens)
        self._body = []
        took_s = self._now_s() - self._started_s
        route = self._route.name if self._route is not None else ""
        self._count(outcome, took_s)
        write = forwarder.log.event if outcome is Outcome.SERVED else forwarder.log.failure
        progress = self._progress
        first = progress.first_s
        write(
            "request.ended",
            request=self._request_id.decode("latin-1"),
            content=self._content,
            route=route,
            workspace=self._workspace.name if self._workspace is not None else "",
            pool=self._pool,
            outcome=outcome,
            status=status,
            took_ms=round(took_s * 1_000, 1),
            first_event_ms=round((first - self._started_s) * 1_000, 1) if first else None,
            longest_pause_ms=round(progress.longest_pause_s * 1_000, 1) if first else None,
            attempts=self._attempts,
            events=self._progress.events,
            prompt_tokens=self._prompt.tokens,
            output_tokens=self._prompt.output_tokens,
            tokens=tokens,
            configuration=forwarder.state.configuration_version,
            endpoints=forwarder.state.endpoints_version,
            unconfirmed_s=round(min(1e6, forwarder.state.unconfirmed_for_s()), 2),
            **fields,
        )

    def _count(self, outcome: Outcome, took_s: float) -> None:
        metrics = self._forwarder.metrics
        metrics.requests.labels(self._pool, outcome).inc()
        metrics.request_seconds.labels(self._pool).observe(took_s)
        if self._progress.first_s is not None:
            first_s = self._progress.first_s - self._started_s
            metrics.first_event_seconds.labels(self._pool).observe(first_s)

    def _settle(self, used_tokens: int | None) -> int:
        """Close the reservation; what may have been used but isn't known counts whole."""
        reservation, self._reservation = self._reservation, None
        for repeat in self._repeat_reservations:
            self._forwarder.accounts.settle(repeat, repeat.tokens)
        if reservation is None:
            return 0
        used = reservation.tokens if used_tokens is None else used_tokens
        self._forwarder.accounts.settle(reservation, used)
        return min(used, reservation.tokens)

    def _now_s(self) -> float:
        return self._forwarder.reactor.seconds()

    # Used by attempts.

    @property
    def forwarder(self) -> Forwarder:
        """What all requests share."""
        return self._forwarder

    @property
    def request_id(self) -> bytes:
        """The request's id."""
        return self._request_id

    @property
    def content(self) -> str:
        """What tells the request's content from another's."""
        return self._content

    @property
    def prompt(self) -> Prompt:
        """What is known of the prompt."""
        return self._prompt

    @property
    def method(self) -> bytes:
        """The request's method."""
        return self._request.method

    @property
    def body_complete(self) -> bool:
        """Whether the whole body is in."""
        return self._request.body_complete

    @property
    def must_run_once(self) -> bool:
        """Whether a second run is ruled out."""
        return not self._route.allows_rerun
