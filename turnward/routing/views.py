# SPDX-License-Identifier: BSD-3-Clause
"""What one router knows of the endpoints."""

from turnward.endpoints import LoadReport
from turnward.lifecycle import StateMachine
from turnward.resources import Endpoint

__all__ = ["EndpointView", "EndpointViews"]

#: Seconds in which a joining endpoint rises to its full share.
SLOW_START_S = 5.0
#: Failures in a row after which an endpoint is suspect.
FAILURES_TO_EJECT = 3
#: Seconds after which a suspect endpoint that reports no load is tried again.
FORGIVE_S = 5.0
#: Largest share of a pool's endpoints that may be suspect.
EJECT_SHARE = 0.5


class EndpointView:
    """One endpoint as this router sees it.

    Attributes
    ----------
    in_flight : int
        This router's own requests on it.
    mean_service_s : float
        Moving mean of the time its answers took.
    """

    __slots__ = (
        "ejected_s",
        "endpoint",
        "failures",
        "in_flight",
        "joined_s",
        "machine",
        "mean_service_s",
        "report",
        "reported_s",
    )

    def __init__(self, endpoint: Endpoint, now_s: float):
        self.endpoint = endpoint
        self.machine = StateMachine("endpoint")
        self.in_flight = 0
        self.failures = 0
        self.joined_s = now_s
        self.ejected_s = now_s
        self.report: LoadReport | None = None
        self.reported_s = now_s
        self.mean_service_s = 0.0

    @property
    def name(self) -> str:
        """Name of the endpoint."""
        return self.endpoint.name

    @property
    def takes_work(self) -> bool:
        """Whether new requests may go there."""
        return self.machine.state in ("joining", "ready") and not self.endpoint.drained

    def share(self, now_s: float) -> float:
        """Return the part of its full load that it may take, for slow start."""
        if self.machine.state == "ready":
            return 1.0
        return min(1.0, 0.2 + 0.8 * (now_s - self.joined_s) / SLOW_START_S)


class EndpointViews:
    """The endpoints of all pools, kept up with configuration, answers and reports."""

    def __init__(self):
        self._views: dict[str, EndpointView] = {}
        self._pools: dict[str, list[EndpointView]] = {}

    def set_endpoints(self, endpoints: list[Endpoint], now_s: float) -> None:
        """Take in the configured endpoints."""
        wanted = {endpoint.name: endpoint for endpoint in endpoints}
        for name in list(self._views):
            if name not in wanted:
                self._views.pop(name).machine.fire("removed")
        for name, endpoint in wanted.items():
            view = self._views.get(name)
            if view is None or view.endpoint.url != endpoint.url:
                self._views[name] = EndpointView(endpoint, now_s)
            else:
                view.endpoint = endpoint
        self._pools = {}
        for view in self._views.values():
            self._pools.setdefault(view.endpoint.pool, []).append(view)

    def get(self, name: str) -> EndpointView | None:
        """Return a view by the endpoint's name."""
        return self._views.get(name)

    def all(self) -> list[EndpointView]:
        """Return all views."""
        return list(self._views.values())

    def pool(self, pool: str) -> list[EndpointView]:
        """Return the views of a pool."""
        return self._pools.get(pool, [])

    def candidates(self, pool: str) -> list[EndpointView]:
        """Return the views of a pool that take new work."""
        return [view for view in self.pool(pool) if view.takes_work]

    def sent(self, view: EndpointView) -> None:
        """Note a request sent."""
        view.in_flight += 1

    def ended(self, view: EndpointView, ok: bool, service_s: float, now_s: float) -> None:
        """Note a request's end; failures in a row make the endpoint suspect."""
        view.in_flight -= 1
        if ok:
            view.failures = 0
            view.mean_service_s += 0.1 * (service_s - view.mean_service_s)
            self.end_slow_start(view, now_s)
            return
        view.failures += 1
        if view.failures >= FAILURES_TO_EJECT and self._may_eject(view):
            self._eject(view, now_s)

    def _eject(self, view: EndpointView, now_s: float) -> None:
        if view.machine.fire("failed"):
            view.ejected_s = now_s

    def retry_suspect(self, view: EndpointView, now_s: float) -> None:
        """Let a suspect endpoint that reports no load try again after a while."""
        if now_s - view.ejected_s >= FORGIVE_S and view.machine.fire("answered"):
            view.joined_s = now_s
            view.failures = 0

    def end_slow_start(self, view: EndpointView, now_s: float) -> None:
        """End the slow start once its time is over."""
        if now_s - view.joined_s >= SLOW_START_S:
            view.machine.fire("warmed")

    def report_received(self, view: EndpointView, report: LoadReport, now_s: float) -> None:
        """Take in a load report."""
        view.report = report
        view.reported_s = now_s
        if report.leaving:
            view.machine.fire("left")
        elif view.machine.fire("answered") or view.machine.fire("returned"):
            view.joined_s = now_s
            view.failures = 0

    def report_failed(self, view: EndpointView, now_s: float) -> None:
        """Note that an endpoint did not answer a load question."""
        view.failures += 1
        if view.failures >= FAILURES_TO_EJECT and self._may_eject(view):
            self._eject(view, now_s)

    def _may_eject(self, view: EndpointView) -> bool:
        pool = self.pool(view.endpoint.pool)
        suspect = sum(1 for other in pool if other.machine.state == "suspect")
        return suspect + 1 <= max(1, EJECT_SHARE * len(pool))
