# SPDX-License-Identifier: BSD-3-Clause
"""A router's view of the endpoints: requests in flight, failures and load reports."""

from turnward.endpoints import LoadReport
from turnward.lifecycle import StateMachine
from turnward.resources import Endpoint

__all__ = ["EndpointView", "EndpointViews"]

#: Time in which the share of load of a joining endpoint rises to its full value.
SLOW_START_S = 5.0
#: Consecutive failures after which an endpoint is suspect.
FAILURES_TO_EJECT = 3
#: Time after which a suspect endpoint without load reports is tried again.
SUSPECT_RETRY_S = 5.0
MAX_SUSPECT_SHARE = 0.5


class EndpointView:
    """The state of an endpoint, as seen by this router.

    Attributes
    ----------
    in_flight : int
        Number of this router's requests in flight to the endpoint.
    mean_service_s : float
        Exponential moving average of its service time.
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
        """Whether new requests may be sent to the endpoint."""
        return self.machine.state in ("joining", "ready") and not self.endpoint.drained

    def share(self, now_s: float) -> float:
        """Return the share of its full load that it may take, which rises in slow start."""
        if self.machine.state == "ready":
            return 1.0
        return min(1.0, 0.2 + 0.8 * (now_s - self.joined_s) / SLOW_START_S)


class EndpointViews:
    """The endpoints of all pools, updated from configuration, responses and load reports."""

    def __init__(self):
        self._views: dict[str, EndpointView] = {}
        self._pools: dict[str, list[EndpointView]] = {}

    def set_endpoints(self, endpoints: list[Endpoint], now_s: float) -> None:
        """Replace the configured endpoints; those with an unchanged URL keep their state."""
        configured = {endpoint.name: endpoint for endpoint in endpoints}
        for name in list(self._views):
            if name not in configured:
                self._views.pop(name).machine.fire("removed")
        for name, endpoint in configured.items():
            view = self._views.get(name)
            if view is None or view.endpoint.url != endpoint.url:
                self._views[name] = EndpointView(endpoint, now_s)
            else:
                view.endpoint = endpoint
        self._pools = {}
        for view in self._views.values():
            self._pools.setdefault(view.endpoint.pool, []).append(view)

    def get(self, name: str) -> EndpointView | None:
        """Return the view of an endpoint by name."""
        return self._views.get(name)

    def all(self) -> list[EndpointView]:
        """Return all views."""
        return list(self._views.values())

    def pool(self, pool: str) -> list[EndpointView]:
        """Return the views of a pool."""
        return self._pools.get(pool, [])

    def candidates(self, pool: str) -> list[EndpointView]:
        """Return the views of a pool that may get new requests."""
        return [view for view in self.pool(pool) if view.takes_work]

    def sent(self, view: EndpointView) -> None:
        """Record that a request was sent."""
        view.in_flight += 1

    def ended(self, view: EndpointView, ok: bool, service_s: float, now_s: float) -> None:
        """Record the end of a request; consecutive failures make the endpoint suspect."""
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
        """Readmit a suspect endpoint that has no load reports, after ``SUSPECT_RETRY_S``."""
        if now_s - view.ejected_s >= SUSPECT_RETRY_S and view.machine.fire("answered"):
            view.joined_s = now_s
            view.failures = 0

    def end_slow_start(self, view: EndpointView, now_s: float) -> None:
        """End the slow start after ``SLOW_START_S``."""
        if now_s - view.joined_s >= SLOW_START_S:
            view.machine.fire("warmed")

    def report_received(self, view: EndpointView, report: LoadReport, now_s: float) -> None:
        """Store a load report, and update the state of the endpoint."""
        view.report = report
        view.reported_s = now_s
        if report.leaving:
            view.machine.fire("left")
        elif view.machine.fire("answered") or view.machine.fire("returned"):
            view.joined_s = now_s
            view.failures = 0

    def report_failed(self, view: EndpointView, now_s: float) -> None:
        """Record that an endpoint did not respond to a load request."""
        view.failures += 1
        if view.failures >= FAILURES_TO_EJECT and self._may_eject(view):
            self._eject(view, now_s)

    def _may_eject(self, view: EndpointView) -> bool:
        pool = self.pool(view.endpoint.pool)
        suspect = sum(1 for other in pool if other.machine.state == "suspect")
        return suspect + 1 <= max(1, MAX_SUSPECT_SHARE * len(pool))
