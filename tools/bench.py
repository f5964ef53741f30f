# SPDX-License-Identifier: BSD-3-Clause
"""Benchmarks routing and budget decisions, and writes tables and plots to docs/measurements.

Replays are deterministic: the same commit gives the same results. The cost of a
decision is timed, so it is reported as a median and as a ratio to the
least-in-flight policy.
"""

import sys
import time
from pathlib import Path
from statistics import median

import msgspec

from tools.markdown import table
from turnward.budgets import GrantLedger, SizingRule
from turnward.replay import (
    BUDGET_SCHEMES,
    GENERATORS,
    BudgetScenario,
    ReplayOptions,
    replay,
    replay_budget,
)
from turnward.resources import Endpoint
from turnward.routing import POLICIES, EndpointView, RouteRequest

__all__ = ["main"]

OUTPUT_FOLDER = Path("docs/measurements")
LOADS = (0.5, 0.8, 0.95, 1.2)
OUTAGES_S = (0, 10, 30, 60, 150)
HORIZONS_S = (5, 20, 60, 120, 300)
FILLS = (2.0, 1.05, 0.9)
SKEWS = ((0.25, False), (0.7, False), (0.7, True))
REPEATS = 15
RESERVATIONS_PER_REPEAT = 200


def routing_page() -> str:
    """Return the page with waits, refusals and prefix hits of each policy at each load."""
    rows = []
    for name, generate in GENERATORS.items():
        for load in LOADS:
            trace = generate(load=load)
            for policy, make in POLICIES.items():
                report = replay(trace, policy, make)
                rows.append(_routing_row(name, load, policy, report))
    head = ["trace", "load", "policy", "mean first token s", "prefix hits"]
    head += ["urgent p50/p95/p99 s", "others p50/p95/p99 s", "refused"]
    return "\n\n".join(
        [
            "# Routing under load",
            "Made by `make bench`; every run of a trace gives the same figures. Urgent is the\n"
            "class of the lowest rank. All policies run behind the same admission.",
            table(head, rows),
            "## Faults and admission",
            _fault_table(),
        ]
    )


def _routing_row(name, load, policy, report) -> list[str]:
    urgent, other = _split_classes(report)
    return [
        name,
        f"{load:.0%}",
        policy,
        f"{report.first_token_mean_s:.3f}",
        f"{report.prefix_hit_share:.2f}",
        _wait_percentiles(urgent),
        _wait_percentiles(other),
        str(urgent.refused + other.refused),
    ]


def _split_classes(report):
    names = {"till": 0, "newsroom": 0}
    urgent = next(entry for name, entry in report.classes.items() if name in names)
    other = next(entry for name, entry in report.classes.items() if name not in names)
    return urgent, other


def _wait_percentiles(entry) -> str:
    return f"{entry.wait_p50_s:.3f}/{entry.wait_p95_s:.2f}/{entry.wait_p99_s:.2f}"


def _fault_table() -> str:
    trace = GENERATORS["saturday-burst"](load=0.6)
    cases = {
        "one engine 5 times slower, reports 2 s late": ReplayOptions(
            slow_engine="summary-0", report_lag_s=2.0
        ),
        "engines out for 5 s, retry budget": ReplayOptions(outage_s=(10.0, 15.0)),
        "engines out for 5 s, retries without limit": ReplayOptions(
            outage_s=(10.0, 15.0), retry_share=-1.0
        ),
        "first engine leaves at 10 s, reports 2 s late": ReplayOptions(
            drain_at_s=10.0, report_lag_s=2.0
        ),
        "no admission": ReplayOptions(admission=False),
    }
    rows = []
    for case, options in cases.items():
        for policy in ("score", "least_in_flight", "round_robin"):
            report = replay(trace, policy, POLICIES[policy], options)
            urgent, other = _split_classes(report)
            rows.append(
                [
                    case,
                    policy,
                    f"{report.first_token_mean_s:.3f}",
                    _wait_percentiles(urgent),
                    str(urgent.refused + other.refused),
                    f"{report.attempts / len(trace.requests):.2f}",
                    f"{report.last_new_work_s:.2f}",
                ]
            )
    head = ["case (saturday-burst, 60%)", "policy", "mean first token s"]
    head += [
        "urgent p50/p95/p99 s",
        "refused",
        "attempts per request",
        "first engine's last work s",
    ]
    return table(head, rows)


def budget_page() -> str:
    """Return the page with false refusals and overspend of each budget scheme."""
    rows = []
    for limit_ratio in FILLS:
        for skew, shift in SKEWS:
            for outage_s in OUTAGES_S:
                scenario = BudgetScenario(
                    limit_ratio=limit_ratio, skew=skew, shift=shift, outage_s=outage_s
                )
                rows.append(_budget_row(scenario))
    horizon_rows = []
    for horizon_s in HORIZONS_S:
        row = [str(horizon_s)]
        for outage_s in OUTAGES_S:
            scenario = BudgetScenario(horizon_s=horizon_s, outage_s=outage_s, skew=0.7)
            row.append(str(replay_budget(scenario, "grants").false_refusals))
        horizon_rows.append(row)
    _plot_horizons(horizon_rows)
    head = ["limit / demand", "skew", "shifts", "outage s"]
    head += [f"{name}: false / true refusals" for name in BUDGET_SCHEMES] + ["overspend"]
    return "\n\n".join(
        [
            "# Budgets under an outage of the store",
            "Made by `make bench`. 4 routers, 4,000 requests in 400 s; the outage begins at\n"
            "200 s. A refusal is false when the budget had the tokens. Where the skewed share\n"
            "moves to another router as the outage begins, no scheme can know it.",
            table(head, rows),
            "## False refusals by horizon (rows, s) and outage (columns, s); skew 0.7",
            table(["horizon"] + [str(outage_s) for outage_s in OUTAGES_S], horizon_rows),
            "![False refusals by horizon](horizon.png)",
        ]
    )


def _budget_row(scenario: BudgetScenario) -> list[str]:
    reports = [replay_budget(scenario, scheme) for scheme in BUDGET_SCHEMES]
    cells = [f"{report.false_refusals} / {report.true_refusals}" for report in reports]
    overspend = max(report.overspent_tokens for report in reports)
    return [
        f"{scenario.limit_ratio:g}",
        f"{scenario.skew:g}",
        "yes" if scenario.shift else "no",
        f"{scenario.outage_s:g}",
        *cells,
        str(overspend),
    ]


def _plot_horizons(rows: list[list[str]]) -> None:
    import matplotlib as mpl

    mpl.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(6, 4))
    for row in rows:
        axes.plot(OUTAGES_S, [int(cell) for cell in row[1:]], marker="o", label=f"{row[0]} s")
    axes.set_xlabel("outage of the store, s")
    axes.set_ylabel("false refusals of 4,000")
    axes.legend(title="horizon")
    figure.tight_layout()
    figure.savefig(OUTPUT_FOLDER / "horizon.png", dpi=80, metadata={"Software": None})


def cost_page() -> str:
    """Return the page with the cost of a decision by number of endpoints and of budgets."""
    rows = []
    for count in (10, 100, 1_000):
        views = [_view(number) for number in range(count)]
        least_in_flight_us = _choice_us("least_in_flight", views)
        score_us = _choice_us("score", views)
        rows.append(
            [
                str(count),
                f"{score_us:.0f}",
                f"{least_in_flight_us:.0f}",
                f"{score_us / least_in_flight_us:.1f}",
            ]
        )
    budget_rows = []
    for count in (1_000, 10_000, 230_000):
        reserve_us, plan_ms = _ledger_costs(count)
        budget_rows.append([f"{count:,}", f"{reserve_us:.1f}", f"{plan_ms:.1f}"])
    return "\n\n".join(
        [
            "# Cost of a decision",
            f"Made by `make bench`; medians of {REPEATS} repeats on one machine. A plan looks\n"
            "at every budget that holds tokens, once a second; empty ones are dropped after a\n"
            "minute.",
            table(["endpoints", "score us", "least in flight us", "ratio"], rows),
            table(
                ["budgets held", "reserve and settle us", "plan of takes and returns ms"],
                budget_rows,
            ),
        ]
    )


def _view(number: int) -> EndpointView:
    endpoint = Endpoint(name=f"endpoint-{number}", pool="p", url="", zone="a")
    return EndpointView(endpoint, 0.0)


def _choice_us(policy: str, views: list[EndpointView]) -> float:
    chooser = POLICIES[policy]()
    request = RouteRequest("p", "a", "prefix", 400)

    def choose():
        chooser.choose(request, views, 10.0)

    return _median_us(choose, max(5, 20_000 // len(views) // 10))


def _median_us(action, count: int) -> float:
    samples = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        for _ in range(count):
            action()
        samples.append((time.perf_counter() - started) / count * 1e6)
    return median(samples)


def _ledger_costs(count: int) -> tuple[float, float]:
    ledger = GrantLedger(SizingRule())
    for number in range(count):
        ledger.add(f"budget-{number}", 10_000)

    def reserve():
        reservation = ledger.reserve("budget-1", 10, 1.0).ok
        ledger.settle(reservation, 0)

    def plan():
        ledger.plan_grants(1.0)
        ledger.plan_refreshes(1.0)
        ledger.plan_returns(1.0)

    return _median_us(reserve, RESERVATIONS_PER_REPEAT), _median_us(plan, 1) / 1_000


def main() -> int:
    """Write every page and the replay reports."""
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    for name, make in (("routing", routing_page), ("budgets", budget_page), ("cost", cost_page)):
        (OUTPUT_FOLDER / f"{name}.md").write_text(make() + "\n")
        print(f"bench: wrote {OUTPUT_FOLDER / name}.md", flush=True)
    reports = {
        name: msgspec.to_builtins(replay(generate(), "score", POLICIES["score"]))
        for name, generate in GENERATORS.items()
    }
    (OUTPUT_FOLDER / "stated-outcomes.json").write_bytes(
        msgspec.json.format(msgspec.json.encode(reports), indent=2) + b"\n"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
