"""Choice of an upstream of a plain pool by load, health and place."""

from collections.abc import Iterable, Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.pause import FailurePause

# A call in another failure domain counts like this many more requests.
CROSS_DOMAIN_WEIGHT = 0.5
# Pause after a failure, doubled with each further one in a row.
FAILED_PAUSE_S = 0.3
FAILED_PAUSE_MAX_S = 5.0
# Weight of the newest call in the mean time of an upstream.
MEAN_TIME_WEIGHT = 0.2
# Mean time of an upstream that has not answered yet.
INITIAL_MEAN_S = 0.05


class _UpstreamLoad:
    __slots__ = ("running", "mean_s", "pause")

    def __init__(self) -> None:
        self.running = 0
        self.mean_s = INITIAL_MEAN_S
        self.pause = FailurePause(FAILED_PAUSE_S, FAILED_PAUSE_MAX_S)


class PlainSelector:
    """Requests, mean times and pauses of the upstreams of plain pools."""

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
        """Returns the upstream to try next, or None without any."""
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

    def start_request(self, name: str) -> None:
        """Notes a request sent to an upstream."""
        self._loads.setdefault(name, _UpstreamLoad()).running += 1

    def end_request(
        self, name: str, now: float, took_s: float, failed: bool
    ) -> None:
        """Notes the end of a request; `failed` is the upstream's fault."""
        load = self._loads.setdefault(name, _UpstreamLoad())
        load.running = max(0, load.running - 1)
        load.mean_s += MEAN_TIME_WEIGHT * (took_s - load.mean_s)
        if failed:
            load.pause.fail(now)
        else:
            load.pause.succeed()

    def remove(self, name: str) -> None:
        """Drops an upstream that is gone."""
        load = self._loads.get(name)
        if load is not None and not load.running:
            del self._loads[name]
