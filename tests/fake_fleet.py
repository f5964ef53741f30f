# SPDX-License-Identifier: BSD-3-Clause
"""A fleet of real routers in one process: fakes at the interfaces, clocks moved by hand.

Only the platform, the endpoints, the links between routers and the callers'
answers are fakes; all decisions and tasks are the product's own. Each router has
a clock of its own, so that it can be frozen.
"""

import itertools
import uuid
from collections import Counter, defaultdict

import msgspec
import uuid6
from twisted.internet import defer
from twisted.internet.task import Clock

from tests.helpers import run
from turnward.callers.chat import ChatServer
from turnward.callers.problems import RefusedError
from turnward.callers.response_writers import ResponseWriterBase, send_refusal
from turnward.callers.services import ServiceRequest, ServiceServer
from turnward.endpoints import (
    EndpointError,
    EngineClientBase,
    LoadReport,
    NotRunError,
    RunState,
    RunStatus,
    RunUncertainError,
    ServiceClientBase,
)
from turnward.events import ClockBase, EventLog, HybridClock, Metrics
from turnward.http import HttpResponse
from turnward.peers.errors import PeerUnreachableError
from turnward.peers.link import PeersBase
from turnward.resources import Change, ConfigLog
from turnward.router.context import RouterContext
from turnward.router.process import RouterProcess
from turnward.settings import RouterSettings
from turnward.store import (
    FaultyTable,
    Instance,
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTable,
)

__all__ = ["FakeFleet", "FakeRouter", "Submission"]

PROMPT_TOKENS = 5
OUTPUT_TOKENS = 20
START_S = 1_000.0
STEP_S = 0.1
LIMIT_TOKENS = 2_000

_CONFIG = {
    "models": [{"name": "m", "default_output_tokens": OUTPUT_TOKENS}],
    "priority_classes": [{"name": "p", "rank": 0, "max_wait_s": 5.0}],
    "budgets": [{"name": "b", "limit_tokens": LIMIT_TOKENS}],
    "workspaces": [
        {"name": "w", "key_sha256": "a" * 64, "budget": "b", "priority_class": "p"},
    ],
    "pools": [
        {"name": "engines", "kind": "engine", "model": "m"},
        {"name": "points", "kind": "service", "tokens_per_call": 1},
    ],
    "endpoints": [
        {"name": "e1", "pool": "engines", "url": "http://127.0.0.1:1", "zone": "a", "slots": 90},
        {"name": "e2", "pool": "engines", "url": "http://127.0.0.1:2", "zone": "b", "slots": 90},
        {"name": "s1", "pool": "points", "url": "http://127.0.0.1:3", "zone": "a", "slots": 90},
    ],
}


class _RouterClock(ClockBase):
    def __init__(self, reactor: Clock):
        self._reactor = reactor

    def now_s(self):
        return START_S + self._reactor.seconds()

    def wall_s(self):
        return START_S + self._reactor.seconds()


class RecordedAnswer(ResponseWriterBase):
    """Collects what a caller would read."""

    def __init__(self):
        super().__init__()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.finished = False
        self.aborted = False
        self.gone = False

    def head(self, status, headers):
        self.status, self.headers = status, headers

    def write(self, data):
        self.body += data

    def finish(self):
        self.finished = True

    def abort(self):
        self.aborted = True

    @property
    def caller_disconnected(self):
        return self.gone


class Submission:
    """One request as a caller sent it to one router."""

    def __init__(self, router: "FakeRouter", request_id: str, repeatable: bool, body: bytes):
        self.body = body
        self.router = router
        self.request_id = request_id
        self.repeatable = repeatable
        self.answer = RecordedAnswer()
        self.first_run = 0

    @property
    def outcome(self) -> str:
        """What the caller was told; empty while it waits."""
        if not self.answer.finished:
            return ""
        return self.answer.headers.get("X-Outcome", "ran")


class FakeEndpoints:
    """The world behind the routers: every run and call, with its usage."""

    def __init__(self):
        self.open: dict[str, dict] = {}
        self.runs: dict[str, dict] = {}

    def start(self, router, run_id, request_id, kind) -> defer.Deferred:
        done: defer.Deferred = defer.Deferred()
        self.runs[run_id] = {
            "router": router.name,
            "request_id": request_id,
            "kind": kind,
            "state": RunState.RUNNING,
            "used_tokens": 0,
        }
        self.open[run_id] = {"router": router, "done": done}
        return done

    def finish(self, run_id: str, answered: bool) -> None:
        """End a run; the answer reaches a router that lives, once it is not frozen."""
        run_record = self.runs[run_id]
        run_record["state"] = RunState.FINISHED
        run_record["used_tokens"] = PROMPT_TOKENS + OUTPUT_TOKENS
        waiting = self.open.pop(run_id)
        router, done = waiting["router"], waiting["done"]
        result = answered and not router.dead
        router.deliver(lambda: _end(done, result))

    def count(self, kind: str) -> Counter:
        """Return how often each request id ran."""
        return Counter(entry["request_id"] for entry in self.runs.values() if entry["kind"] == kind)


def _end(done: defer.Deferred, answered: bool) -> None:
    if done.called:
        return
    if answered:
        done.callback(None)
    else:
        done.errback(RunUncertainError("the answer was lost"))


class _FakeEngine(EngineClientBase):
    def __init__(self, router, world: FakeEndpoints):
        self._router, self._world = router, world

    async def chat(self, url, run_id, body, on_head, on_data):
        if run_id in self._world.runs:
            raise NotRunError("cancelled before it began")
        if url in self._router.refusing_urls:
            raise NotRunError("refused")
        request_id = msgspec.json.decode(body)["messages"][0]["content"]
        await self._world.start(self._router, run_id, request_id, "engine")
        used = self._world.runs[run_id]["used_tokens"]
        head = HttpResponse(200, {})
        on_head(head)
        usage = {} if self._router.tells_no_usage else {"usage": {"total_tokens": used}}
        on_data(msgspec.json.encode({"id": run_id, **usage}))
        return head

    async def resume(self, url, run_id, start, on_data):
        raise RunUncertainError("no resume here")

    async def run_status(self, url, run_id):
        if self._router.cut_from_endpoints:
            raise EndpointError("cut")
        run_record = self._world.runs.get(run_id)
        if run_record is None:
            return RunStatus(RunState.NEVER_SEEN)
        return RunStatus(run_record["state"], run_record["used_tokens"])

    async def cancel(self, url, run_id):
        if run_id not in self._world.runs:
            self._world.runs[run_id] = {
                "router": "",
                "request_id": "",
                "kind": "tombstone",
                "state": RunState.CANCELLED,
                "used_tokens": 0,
            }
        return await self.run_status(url, run_id)

    async def load(self, url):
        return LoadReport(0, 0)


class _FakeService(ServiceClientBase):
    def __init__(self, router, world: FakeEndpoints):
        self._router, self._world = router, world

    async def call(self, url, run_id, method, path, body, headers):
        if url in self._router.refusing_urls:
            raise NotRunError("refused")
        await self._world.start(self._router, run_id, headers["Idempotency-Key"], "service")
        return HttpResponse(200, {"content-type": "text/plain"}, run_id.encode())


class _FakePeers(PeersBase):
    def __init__(self, fleet, router):
        self._fleet, self._router = fleet, router

    def listen(self, address):
        pass

    def close(self):
        pass

    async def ask(self, address, incarnation, message):
        target = self._fleet.by_address(address)
        if not self._fleet.linked(self._router, target):
            raise PeerUnreachableError("cut")
        answer = await target.process.answer_peer(self.incarnation, message)
        if target.context.peers.incarnation != incarnation:
            raise PeerUnreachableError("another incarnation")
        return answer


class FakeRouter:
    """One router with its own clock, its own view of the table and its own links."""

    def __init__(self, fleet: "FakeFleet", name: str, zone: str):
        self.name = name
        self.fleet = fleet
        self.dead = False
        self.frozen = False
        self.cut_from_endpoints = False
        self.tells_no_usage = False
        self.refusing_urls: set[str] = set()
        self._held: list = []
        self.clock = Clock()
        self.table = FaultyTable(fleet.table)
        settings = RouterSettings(
            instance=name,
            zone=zone,
            region="ost",
            callers_address="127.0.0.1:1",
            operators_address="127.0.0.1:1",
            peers_address=name,
            platform_url="",
            operator_key_sha256="0" * 64,
            grant_minimum_tokens=100,
        )
        clock = _RouterClock(self.clock)
        self.context = RouterContext(
            settings,
            self.clock,
            clock,
            self.table,
            fleet.objects,
            fleet.instance_list,
            _FakeEngine(self, fleet.world),
            _FakeService(self, fleet.world),
            EventLog(HybridClock(clock), name, zone),
            Metrics(),
        )
        self.context.peers = _FakePeers(fleet, self)
        self.process = RouterProcess(self.context)
        self._chat = ChatServer(self.context, self.process.coordinator)
        self._services = ServiceServer(self.context, self.process.coordinator)
        defer.ensureDeferred(self.process.start_tasks())

    def deliver(self, thunk) -> None:
        """Run a network event now, or when the router runs again."""
        if self.dead:
            return
        if self.frozen:
            self._held.append(thunk)
        else:
            thunk()

    def advance(self, seconds: float) -> None:
        """Let the router run for a while."""
        if not self.dead and not self.frozen:
            self.clock.advance(seconds)

    def freeze(self) -> None:
        """Stop the router's clock and hold what comes in."""
        self.frozen = True

    def thaw(self) -> None:
        """Let the router go on where it was; its clock jumps to the fleet's time."""
        self.frozen = False
        held, self._held = self._held, []
        for thunk in held:
            thunk()
        self.clock.advance(max(0.0, self.fleet.now_s - self.clock.seconds()))

    def submit(self, submission: Submission) -> None:
        """Serve a request."""
        defer.ensureDeferred(self._serve(submission))

    async def _serve(self, submission: Submission) -> None:
        workspace = self.context.config.resources.get("workspaces", "w")
        request_id, answer = submission.request_id, submission.answer
        try:
            if submission.repeatable:
                body = msgspec.json.encode(
                    {"model": "m", "messages": [{"role": "user", "content": request_id}]}
                )
                await self._chat.serve(workspace, request_id, body, answer)
            else:
                call = ServiceRequest("points", "POST", "/bookings", "text/plain", submission.body)
                await self._services.serve(workspace, request_id, call, answer)
        except RefusedError as refused:
            send_refusal(answer, refused.refusal, request_id)


class FakeFleet:
    """Three routers in three zones over one table.

    Parameters
    ----------
    routers : int
        How many.
    """

    def __init__(self, routers: int = 3):
        self._numbers = itertools.count(1)
        self._real_uuid7 = uuid6.uuid7
        uuid6.uuid7 = self._uuid7
        self.now_s = 0.0
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.instance_list = MemoryInstanceList()
        self.world = FakeEndpoints()
        self.cut_links: set[frozenset[str]] = set()
        self.submissions: list[Submission] = []
        self.seen_revisions: dict[str, int] = defaultdict(int)
        self.reverted: list[str] = []
        self._apply_config()
        self.routers: list[FakeRouter] = []
        for number in range(routers):
            self.add_router(f"r{number}", "abc"[number % 3])
        self.advance(4.0)

    def close(self) -> None:
        """Put back what was replaced for the sake of repeatable ids."""
        uuid6.uuid7 = self._real_uuid7

    def _uuid7(self) -> uuid.UUID:
        number = next(self._numbers)
        milliseconds = int(START_S * 1000)
        return uuid.UUID(int=(milliseconds << 80) | (7 << 76) | (2 << 62) | number)

    def _apply_config(self) -> None:
        changes = [
            Change(kind, entry["name"], entry)
            for kind, entries in _CONFIG.items()
            for entry in entries
        ]
        run(ConfigLog(self.table).apply(changes, START_S))

    def add_router(self, name: str, zone: str) -> FakeRouter:
        """Start a router on a new instance."""
        self.instance_list.entries[name] = Instance(name, False)
        router = FakeRouter(self, name, zone)
        router.clock.advance(self.now_s)
        self.routers.append(router)
        return router

    def by_address(self, address: str) -> FakeRouter:
        """Return the router that answers peers at an address."""
        return next(router for router in reversed(self.routers) if router.name == address)

    def linked(self, one: FakeRouter, other: FakeRouter) -> bool:
        """Tell whether a message between two routers is answered."""
        if one.dead or other.dead or other.frozen:
            return False
        return frozenset((one.name, other.name)) not in self.cut_links

    def live(self) -> list[FakeRouter]:
        """Return the routers that are not dead."""
        return [router for router in self.routers if not router.dead]

    def kill(self, router: FakeRouter) -> None:
        """End a router without warning; the platform takes it off its list."""
        router.dead = True
        self.instance_list.entries.pop(router.name, None)

    def advance(self, seconds: float) -> None:
        """Let time pass for every router that runs."""
        steps = round(seconds / STEP_S)
        for _ in range(steps):
            self.now_s += STEP_S
            for router in self.routers:
                router.advance(STEP_S)
            self._watch_revisions()

    def _watch_revisions(self) -> None:
        for router in self.routers:
            revision = router.context.config.revision
            if revision < self.seen_revisions[router.name]:
                self.reverted.append(router.name)
            self.seen_revisions[router.name] = revision

    def submit(
        self, router: FakeRouter, request_id: str, repeatable: bool, body: bytes = b"x"
    ) -> Submission:
        """Send a request to a router."""
        submission = Submission(router, request_id, repeatable, body)
        submission.first_run = len(self.world.runs)
        self.submissions.append(submission)
        router.deliver(lambda: router.submit(submission))
        return submission

    def finish_runs(self, answered: bool = True) -> None:
        """End every run that is open."""
        for run_id in list(self.world.open):
            self.world.finish(run_id, answered)

    def heal(self) -> None:
        """Mend every fault, then let the fleet settle."""
        self.cut_links.clear()
        for router in self.routers:
            router.table.down = False
            router.table.lose_answers = 0
            router.cut_from_endpoints = False
            router.refusing_urls.clear()
            if router.frozen:
                router.thaw()
        for _ in range(6):
            self.finish_runs()
            self.advance(10.0)

    def bills(self) -> list[dict]:
        """Return the bills in the table."""
        return [row.value for row in run(self.table.scan_all("bill/"))]

    def faults(self) -> list[str]:
        """Return the promises that are broken as of now."""
        return [
            *self._budget_faults(),
            *self._run_faults(),
            *[f"configuration went back at {name}" for name in self.reverted],
            *[
                f"a task of {router.name} failed"
                for router in self.routers
                if router.process.unexpected_failures()
            ],
        ]

    def _budget_faults(self) -> list[str]:
        found = []
        limit = run(self.table.read(["budget/b"]))["budget/b"].value
        billed = sum(bill["tokens"] for bill in self.bills())
        in_force = limit["limit_tokens"] + max(0, -limit["ungranted_tokens"])
        if billed > in_force:
            found.append(f"overspent: {billed} billed of {in_force}")
        grants = [row.value for row in run(self.table.scan_all("grant/"))]
        granted = sum(grant["granted_tokens"] for grant in grants)
        settled = limit["spent_tokens"] + sum(grant["settled_tokens"] for grant in grants)
        if settled != billed:
            found.append(f"settled {settled}, billed {billed}")
        total = limit["ungranted_tokens"] + limit["spent_tokens"] + granted
        if total != limit["limit_tokens"]:
            found.append(f"tokens made or lost: {total} of {limit['limit_tokens']}")
        ids = Counter(bill["request_id"].partition("~")[0] for bill in self.bills())
        found.extend(f"billed twice: {name}" for name, count in ids.items() if count > 1)
        return found

    def _run_faults(self) -> list[str]:
        counts = self.world.count("service")
        found = [f"ran twice: {name}" for name, count in counts.items() if count > 1]
        runs = list(self.world.runs.values())
        for submission in self.submissions:
            if submission.outcome != "not_run":
                continue
            later = runs[submission.first_run :]
            if any(
                entry["request_id"] == submission.request_id
                and entry["router"] == submission.router.name
                for entry in later
            ) and not self._sent_again(submission):
                found.append(f"told not run, but it ran: {submission.request_id}")
        return found

    def _sent_again(self, submission: Submission) -> bool:
        """Tell whether the same id was sent to the same router more than once."""
        same = [
            other
            for other in self.submissions
            if other.request_id == submission.request_id and other.router is submission.router
        ]
        return len(same) > 1

    def settled_faults(self) -> list[str]:
        """Return promises broken after all is healed and settled."""
        bills = {bill["request_id"]: bill for bill in self.bills()}
        found = self.faults()
        for submission in self.submissions:
            if submission.outcome == "ran" and submission.request_id not in bills:
                found.append(f"answered, not billed: {submission.request_id}")
        for entry in self.world.runs.values():
            used = entry["kind"] == "service" or entry["used_tokens"]
            if used and entry["request_id"] not in bills:
                found.append(f"ran, not billed: {entry['request_id']}")
        for bill in bills.values():
            run_record = self.world.runs.get(bill["run_id"])
            engine_run = run_record is not None and run_record["kind"] == "engine"
            if engine_run and bill["tokens"] != run_record["used_tokens"]:
                found.append(f"billed wrongly: {bill['request_id']}")
        return found
