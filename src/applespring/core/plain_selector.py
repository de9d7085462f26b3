"""Choice of an upstream of a plain pool by load, health and failure domain.

A plain pool answers requests of routes that are not `RouteKind.STREAMING`; for
streams, `EngineSelector` chooses the engine.
"""

from collections.abc import Iterable, Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.pause import FailurePause

# A call into another failure domain costs as much as this many more requests
# for each slot of the upstream.
CROSS_DOMAIN_WEIGHT = 0.5
# Pause after a failure, doubled with each further one in a row.
FAILED_PAUSE_S = 0.3
FAILED_PAUSE_MAX_S = 5.0
# Weight of the newest call in the moving average of an upstream's call time.
MEAN_TIME_WEIGHT = 0.2
# Assumed mean call time of an upstream that has not answered yet.
INITIAL_MEAN_S = 0.05


class _UpstreamLoad:
    __slots__ = ("running", "mean_s", "pause")

    def __init__(self) -> None:
        self.running = 0
        self.mean_s = INITIAL_MEAN_S
        self.pause = FailurePause(FAILED_PAUSE_S, FAILED_PAUSE_MAX_S)


class PlainSelector:
    """Tracks requests, mean call times and pauses of plain pools' upstreams."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[str, _UpstreamLoad] = {}

    def choose(
        self,
        upstreams: Sequence[ListedUpstream],
        failure_domain: str,
        tried: Iterable[str],
        now: float,
    ) -> ListedUpstream | None:
        """Returns the upstream to try next, or None without any.

        Args:
            upstreams: Upstreams that accept new work.
            failure_domain: Failure domain of this instance.
            tried: Names of upstreams to avoid, unless all have been tried.
            now: Current time.
        """
        tried = set(tried)
        untried = [u for u in upstreams if u.name not in tried] or upstreams
        return min(
            untried,
            key=lambda u: self._cost(u, failure_domain, now),
            default=None,
        )

    def _cost(
        self, upstream: ListedUpstream, failure_domain: str, now: float
    ) -> tuple:
        load = self._loads.get(upstream.name)
        if load is None:
            load = self._loads[upstream.name] = _UpstreamLoad()
        cross = upstream.failure_domain != failure_domain
        utilization = load.running / max(1, upstream.slots)
        cost = load.mean_s * (1.0 + utilization + CROSS_DOMAIN_WEIGHT * cross)
        return (now < load.pause.until, cost, upstream.name)

    def mean_s(self, upstreams: Sequence[ListedUpstream]) -> float:
        """Returns the shortest mean call time of these upstreams."""
        loads = [self._loads.get(upstream.name) for upstream in upstreams]
        return min((x.mean_s for x in loads if x), default=INITIAL_MEAN_S)

    def start_request(self, name: str) -> None:
        """Counts a request sent to an upstream."""
        self._loads.setdefault(name, _UpstreamLoad()).running += 1

    def end_request(
        self, name: str, now: float, took_s: float, failed: bool
    ) -> None:
        """Removes an ended request from the load and updates the mean time.

        Args:
            name: The upstream.
            now: Current time.
            took_s: Time of the request.
            failed: Whether it failed by a fault of the upstream, which is then
                paused.
        """
        load = self._loads.setdefault(name, _UpstreamLoad())
        load.running = max(0, load.running - 1)
        load.mean_s += MEAN_TIME_WEIGHT * (took_s - load.mean_s)
        if failed:
            load.pause.fail(now)
        else:
            load.pause.succeed()

    def cancel_request(self, name: str) -> None:
        """Removes a request that its upstream did not take from the load."""
        load = self._loads.setdefault(name, _UpstreamLoad())
        load.running = max(0, load.running - 1)

    def restart(self, name: str) -> None:
        """Discards what was learned of an upstream before it was restarted."""
        load = self._loads.get(name)
        if load is not None:
            running = load.running
            load = self._loads[name] = _UpstreamLoad()
            load.running = running

    def remove(self, name: str) -> None:
        """Discards the state of a removed upstream unless it has requests."""
        load = self._loads.get(name)
        if load is not None and not load.running:
            del self._loads[name]
