# SPDX-License-Identifier: BSD-3-Clause
"""The demo: the whole path on loopback, under load, checked from the outside.

The closing line's figures come from the platform's table and the endpoints' own
counts. With ``--kill`` one router is killed in the middle.
"""

import argparse
import http.client
import itertools
import sys
import threading
import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import msgspec
import uuid6

from tools.local_fleet import LocalFleet, http_call

__all__ = ["Audit", "Caller", "main"]

CHATS = 90
BOOKINGS = 90
SMALL_BUDGET_CHATS = 60
WORKERS = 24
KILL_AFTER_S = 1.0
MAX_ATTEMPTS = 40


class Caller:
    """Sends requests as a caller would: retries at the next router with the same request id."""

    def __init__(self, fleet: LocalFleet):
        self._urls = [router.callers_url for router in fleet.routers]
        self._next_router = itertools.count()

    def send(self, workspace: str, path: str, body: bytes, request_id: str):
        """Send until a final response; return outcome, reason and body."""
        headers = {
            "Authorization": f"Bearer {workspace}-key",
            "Idempotency-Key": request_id,
            "Content-Type": "application/json",
        }
        for _ in range(MAX_ATTEMPTS):
            url = self._urls[next(self._next_router) % len(self._urls)]
            try:
                status, response_headers, response_body = http_call(
                    "POST", url + path, body, headers
                )
            except (OSError, http.client.HTTPException):
                time.sleep(0.05)
                continue
            if status == 200 and _is_complete(response_headers, response_body):
                return "ran", "", response_body
            if status == 200:
                continue
            problem = msgspec.json.decode(response_body)
            if "retry_after_s" not in problem:
                return problem["outcome"], problem["reason"], response_body
            time.sleep(min(0.3, problem["retry_after_s"]))
        return "unanswered", "", b""


def _is_complete(headers, response_body: bytes) -> bool:
    if headers.get("Content-Type") == "text/event-stream":
        return response_body.endswith(b"data: [DONE]\n\n")
    return bool(response_body)


class Audit:
    """Compares the bills in the platform's table with the endpoints' own counts."""

    def __init__(self, fleet: LocalFleet, engine_ports: list[int], service_port: int):
        self._fleet = fleet
        self._engine_ports = engine_ports
        self._service_port = service_port

    def bills(self) -> list[dict]:
        """Return the bill rows."""
        return [row["value"] for row in self._fleet.scan("bill/")]

    def engine_runs(self) -> dict[str, int]:
        """Return the tokens of each run id, as counted by the engines."""
        runs = {}
        for port in self._engine_ports:
            counts = http_call("GET", f"http://127.0.0.1:{port}/counts")[2]
            runs.update(msgspec.json.decode(counts)["runs"])
        return runs

    def service_calls(self) -> Counter:
        """Return the number of runs of each request id, as counted by the service."""
        calls = http_call("GET", f"http://127.0.0.1:{self._service_port}/calls")[2]
        return Counter(call["request_id"] for call in msgspec.json.decode(calls))

    def overspent_tokens(self) -> int:
        """Return the tokens billed beyond the budgets' limits."""
        limits = {
            row["key"].removeprefix("budget/"): row["value"]["limit_tokens"]
            for row in self._fleet.scan("budget/")
        }
        spent: Counter = Counter()
        for bill in self.bills():
            spent[bill["budget"]] += bill["tokens"]
        return sum(max(0, spent[budget] - limit) for budget, limit in limits.items())

    def doubled(self) -> int:
        """Return the number of ids that services ran, plus those billed, more than once."""
        bills = Counter(bill["request_id"].partition("~")[0] for bill in self.bills())
        runs = self.service_calls()
        return sum(1 for count in [*runs.values(), *bills.values()] if count > 1)

    def lost(self, answered: set[str]) -> int:
        """Return the number of answered or run requests with no bill or a wrong one."""
        bills = {bill["request_id"]: bill for bill in self.bills()}
        runs = self.engine_runs()
        unbilled = (answered | set(self.service_calls())) - set(bills)
        wrong = [
            bill
            for bill in bills.values()
            if bill["run_id"] in runs and runs[bill["run_id"]] != bill["tokens"]
        ]
        return len(unbilled) + len(wrong)


def _mixed_requests():
    """Return workspace, path and body of each request of the mixed load."""
    chat_path = "/v1/chat/completions"
    load = []
    for number in range(CHATS):
        workspace, model = (
            ("bakeries", "draft"), ("opticians", "draft"), ("sport-one", "summary")
        )[number % 3]  # fmt: skip
        body = {
            "model": model,
            "messages": [
                {"role": "system", "content": f"You write for {workspace}."},
                {"role": "user", "content": f"question {number} " * 5},
            ],
            "max_tokens": 20 + number % 30,
            "stream": number % 2 == 0,
        }
        load.append((workspace, chat_path, msgspec.json.encode(body)))
    for number in range(BOOKINGS):
        workspace, path = (("bakeries", "/services/points/bookings"),
                           ("sport-one", "/services/results/scores"))[number % 2]  # fmt: skip
        load.append((workspace, path, msgspec.json.encode({"number": number})))
    load.sort(key=lambda item: hash_order(item[2]))
    return load


def hash_order(body: bytes) -> str:
    """Return a sort key that shuffles the load deterministically."""
    return uuid.uuid5(uuid.NAMESPACE_OID, body.decode()).hex


def _run_small_budget(caller: Caller) -> Counter:
    """Send requests that together exceed one budget; return the count of each outcome."""
    outcomes: Counter = Counter()
    body = {
        "model": "summary",
        "messages": [{"role": "user", "content": "who scored?"}],
        "max_tokens": 60,
    }
    encoded = msgspec.json.encode(body)
    path = "/v1/chat/completions"
    with ThreadPoolExecutor(WORKERS) as pool:
        futures = [
            pool.submit(caller.send, "sport-two", path, encoded, str(uuid6.uuid7()))
            for _ in range(SMALL_BUDGET_CHATS)
        ]
        for future in futures:
            outcome, reason, _ = future.result()
            outcomes[reason or outcome] += 1
    return outcomes


def _run_mixed(caller: Caller) -> dict[str, str]:
    """Send the mixed load; return the outcome of each request id."""
    outcomes = {}
    with ThreadPoolExecutor(WORKERS) as pool:
        futures = {}
        for workspace, path, body in _mixed_requests():
            request_id = str(uuid6.uuid7())
            future = pool.submit(caller.send, workspace, path, body, request_id)
            futures[future] = request_id
            time.sleep(0.01)
        for future, request_id in futures.items():
            outcomes[request_id] = future.result()[0]
    return outcomes


def _start(fleet: LocalFleet) -> Audit:
    fleet.start_platform()
    engines = [fleet.start_engine("engine-1"), fleet.start_engine("engine-2")]
    service = fleet.start_service("service-1")
    for number, zone in enumerate(("ost-a", "ost-b", "ost-c"), start=1):
        fleet.start_router(f"entry-{number}", zone)
    fleet.wait_ready()
    ports = {"9101": engines[0], "9102": engines[1], "9103": service}
    for path in ("examples/treuepunkt.toml", "examples/fellesstilling.toml"):
        fleet.apply_file(fleet.routers[0], path, ports)
    fleet.wait_until(lambda: _all_ready(fleet))
    return Audit(fleet, engines, service)


def _all_ready(fleet: LocalFleet) -> bool:
    for router in fleet.routers:
        status = fleet.operator(router, "GET", "/fleet")[1]
        ready = [entry for entry in status["routers"] if entry["status"]]
        if status["revision"] == 0 or status["in_force"] < len(fleet.routers):
            return False
        if any(len(entry["buddies"]) < 2 for entry in ready):
            return False
    return True


def main() -> int:
    """Run the demo; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kill", action="store_true", help="kill one router in the middle")
    parser.add_argument("--keep", default="", help="write the time line to this file")
    arguments = parser.parse_args()
    with LocalFleet() as fleet:
        audit = _start(fleet)
        caller = Caller(fleet)
        if arguments.kill:
            threading.Timer(KILL_AFTER_S, fleet.kill, [fleet.routers[2]]).start()
        outcomes = _run_mixed(caller)
        small_outcomes = _run_small_budget(caller)
        print(f"demo: small budget: {dict(sorted(small_outcomes.items()))}")
        status = _report(fleet, audit, outcomes)
        if arguments.keep:
            events = fleet.operator(fleet.routers[0], "GET", "/events")[1]
            with open(arguments.keep, "wb") as target:
                target.write(msgspec.json.encode(events))
        return status


def _report(fleet: LocalFleet, audit: Audit, outcomes: dict[str, str]) -> int:
    answered = {name for name, outcome in outcomes.items() if outcome in ("ran", "unknown")}

    def settled():
        billed = {bill["request_id"] for bill in audit.bills()}
        return answered <= billed and audit.lost(answered) == 0

    try:
        fleet.wait_until(settled, 15.0)
    except TimeoutError:
        print(f"demo: bills are not settled; logs in {fleet.folder}", file=sys.stderr)
    billed = {bill["request_id"] for bill in audit.bills()} & set(outcomes)
    outcome_counts = Counter(outcomes.values())
    overspent, doubled, lost = audit.overspent_tokens(), audit.doubled(), audit.lost(answered)
    print(f"demo: outcomes: {dict(sorted(outcome_counts.items()))}")
    print(
        f"demo: requests={len(outcomes)} answered={len(answered)} billed={len(billed)} "
        f"overspent_tokens={overspent} doubled={doubled} lost={lost}"
    )
    counts_agree = len(outcomes) == len(answered) == len(billed)
    return 0 if counts_agree and not (overspent or doubled or lost) else 1


if __name__ == "__main__":
    sys.exit(main())
