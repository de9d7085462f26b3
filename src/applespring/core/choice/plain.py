"""Choice of an upstream of a plain pool by the expected end of the request."""

from collections.abc import Callable, Iterable, Mapping, Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.choice import even
from applespring.core.choice.cost import CostTable, RequestFeatures
from applespring.core.choice.evenness import Evenness
from applespring.core.choice.remaining import PeerWork
from applespring.core.choice.slowness import Outstanding, SlownessTable
from applespring.core.pause import FailurePause
from applespring.core.plain_selector import (
    CROSS_DOMAIN_WEIGHT,
    FAILED_PAUSE_MAX_S,
    FAILED_PAUSE_S,
)
from applespring.core.self_report import LoadReport

# Cost until the first answer of a pool. It is a unit only: until then all its
# upstreams are compared by the same cost.
UNKNOWN_COST_S = 1.0
# A request in progress is still expected to take this share of its cost, or of
# the time that it has taken if that is longer: a late one is at a slow upstream
# or dearer than expected.
LEFT_SHARE_MIN = 0.7
# A request's own work is at least this share of the time that it took, however
# long the wait for a slot was expected to be.
OWN_SHARE_MIN = 0.25
# Requests in progress whose remaining work is computed one by one, for each
# upstream; the others count in full.
LOOKED_AT = 64


class SentRequest:
    """A request in progress at an upstream.

    Attributes:
        upstream: Name of the upstream.
        features: What was known of the request.
        cost_s: Its expected cost in seconds, or None if none was known.
        expected_s: Expected time until its answer, or None.
        sent_at: When it was sent.
        work: Its entry in the table of slowness, or None.
    """

    __slots__ = (
        "upstream",
        "features",
        "cost_s",
        "expected_s",
        "sent_at",
        "work",
    )

    def __init__(
        self, upstream: str, features: RequestFeatures, sent_at: float
    ) -> None:
        self.upstream = upstream
        self.features = features
        self.cost_s: float | None = None
        self.expected_s: float | None = None
        self.sent_at = sent_at
        self.work: Outstanding | None = None


class _UpstreamLoad:
    __slots__ = ("sent", "pause")

    def __init__(self) -> None:
        self.sent: dict[SentRequest, None] = {}
        self.pause = FailurePause(FAILED_PAUSE_S, FAILED_PAUSE_MAX_S)

    def left_s(self, now: float) -> float:
        """Returns the work left of this instance's requests, in seconds."""
        left_s, sent = 0.0, self.sent
        for index, request in enumerate(sent):
            cost_s = request.cost_s or UNKNOWN_COST_S
            if index >= LOOKED_AT:
                left_s += cost_s * (len(sent) - index)
                break
            elapsed_s = now - request.sent_at
            left_s += max(
                cost_s - elapsed_s, LEFT_SHARE_MIN * max(cost_s, elapsed_s)
            )
        return left_s


class LearnedChoice:
    """Chooses by learned costs, remaining work and learned speeds.

    The expected end of a request at an upstream is the remaining work for each
    slot and the request's own cost, times the upstream's slowness. A call into
    another failure domain counts `CROSS_DOMAIN_WEIGHT` of its cost more.
    Upstreams paused after failures get requests only if there are no others.
    """

    __slots__ = (
        "slowness",
        "costs",
        "peers",
        "evenness",
        "_instance",
        "_count",
        "_loads",
    )

    def __init__(
        self, instance: str, count: Callable[[str, str], None]
    ) -> None:
        """Starts without knowledge.

        Args:
            instance: Name of this instance.
            count: Counts a choice, by pool and reason.
        """
        self.evenness = Evenness()
        self._count = count
        self.slowness = SlownessTable()
        self.costs = CostTable()
        self.peers = PeerWork()
        self._instance = instance
        self._loads: dict[str, _UpstreamLoad] = {}

    def choose(
        self,
        upstreams: Sequence[ListedUpstream],
        failure_domain: str,
        tried: Iterable[str],
        now: float,
        features: RequestFeatures,
        instances: int,
    ) -> ListedUpstream | None:
        """Returns the upstream to try next, or None without any.

        Args:
            upstreams: Upstreams that accept new work.
            failure_domain: Failure domain of this instance.
            tried: Names of upstreams to avoid, unless all have been tried.
            now: Current time.
            features: What is known of the request.
            instances: Number of reachable instances, this one included.
        """
        if not upstreams:
            return None
        tried = set(tried)
        left = [u for u in upstreams if u.name not in tried] or upstreams
        loads = self._loads
        left = [
            u
            for u in left
            if u.name not in loads or loads[u.name].pause.until <= now
        ] or left
        if tried:
            reason = "retry"
        elif len(left) < len(upstreams):
            reason = "others_failed"
        else:
            reason = "least_end" if len(left) > 1 else "only"
        self._count(features.pool, reason)
        estimate = self.costs.estimate(features, now)
        cost_s = estimate.mean_s if estimate else UNKNOWN_COST_S
        peers = self.peers
        peers.summarize(features.pool, upstreams, cost_s, now)
        seed = even.request_seed(
            self._instance, f"{features.request_id}\0{len(tried)}"
        )

        def cost(upstream: ListedUpstream) -> float:
            mean_s = peers.per_slot(upstream, now)
            load = loads.get(upstream.name)
            if load is not None:
                mean_s += load.left_s(now) / max(1, upstream.slots)
            slowness = max(
                self.slowness.slowness(upstream.identity, now),
                peers.pressure(upstream.name, now),
            )
            end_s = (mean_s + cost_s) * slowness
            if upstream.failure_domain != failure_domain:
                end_s += CROSS_DOMAIN_WEIGHT * cost_s
            return end_s

        return even.choose(
            left,
            cost,
            failure_domain=failure_domain,
            instances=instances,
            seed=seed,
        )

    def start(
        self, upstream: ListedUpstream, features: RequestFeatures, now: float
    ) -> SentRequest:
        """Records that a request is sent to an upstream."""
        load = self._loads.setdefault(upstream.name, _UpstreamLoad())
        sent = SentRequest(upstream.name, features, now)
        estimate = self.costs.estimate(features, now)
        if estimate is not None:
            sent.cost_s = estimate.mean_s
            sent.expected_s = estimate.mean_s + self._wait_s(
                upstream, estimate.mean_s, now
            )
            sent.work = self.slowness.start(
                upstream.identity, sent.expected_s, now
            )
        load.sent[sent] = None
        self.evenness.record(upstream.pool, upstream.name, now)
        return sent

    def _wait_s(
        self, upstream: ListedUpstream, cost_s: float, now: float
    ) -> float:
        """Returns the expected wait for a slot, in seconds.

        It is the remaining work for each slot above that which keeps all slots
        but one occupied.
        """
        slots = max(1, upstream.slots)
        load = self._loads.get(upstream.name)
        work_s = self.peers.told_s(upstream.name, now)
        if load is not None:
            work_s += load.left_s(now)
        return max(0.0, (work_s - (slots - 1) * cost_s) / slots)

    def end(self, sent: SentRequest, now: float, failed: bool) -> None:
        """Records that a request has ended.

        Args:
            sent: The request.
            now: Current time.
            failed: Whether it failed by a fault of the upstream, which is then
                paused.
        """
        load = self._remove(sent)
        took_s = now - sent.sent_at
        if failed:
            load.pause.fail(now)
            if sent.work is not None:
                # A timeout shows a slow upstream, an early error nothing.
                if took_s > sent.work.expected_s:
                    self.slowness.finish(sent.work, now)
                else:
                    self.slowness.discard(sent.work)
            return
        load.pause.succeed()
        if sent.work is not None:
            self.slowness.finish(sent.work, now)
        wait_s = (sent.expected_s or 0.0) - (sent.cost_s or 0.0)
        self.costs.record(
            sent.features, max(took_s - wait_s, took_s * OWN_SHARE_MIN), now
        )

    def cancel(self, sent: SentRequest) -> None:
        """Removes a request that its upstream did not take."""
        self._remove(sent)
        if sent.work is not None:
            self.slowness.discard(sent.work)

    def _remove(self, sent: SentRequest) -> _UpstreamLoad:
        load = self._loads.setdefault(sent.upstream, _UpstreamLoad())
        load.sent.pop(sent, None)
        return load

    def local_work(self, now: float) -> Mapping[str, tuple[int, float]]:
        """Returns the requests and work of this instance, by upstream.

        Upstreams without requests are left out. The work is in seconds.
        """
        return {
            name: (len(load.sent), load.left_s(now))
            for name, load in self._loads.items()
            if load.sent
        }

    def record_peer_work(
        self, sender: str, work_s: Mapping[str, float], now: float
    ) -> None:
        """Records the work in seconds that another instance has told."""
        self.peers.record(sender, work_s, now)

    def record_load(
        self, upstream: ListedUpstream, load: LoadReport, now: float
    ) -> None:
        """Records what an upstream says of its load.

        Only its speed counts: its requests are those of the instances, whose
        work is known by request.
        """
        if load.slowness_percent is not None:
            self.slowness.report(upstream.identity, load.slowness_percent, now)

    def peaks(self, now: float) -> dict[str, float]:
        """Returns the largest recent share of an upstream, see `Evenness`."""
        return self.evenness.peaks(now)

    def mean_s(
        self,
        upstreams: Sequence[ListedUpstream],
        features: RequestFeatures,
        now: float,
    ) -> float:
        """Returns the expected time of a request at the fastest of these.

        0 if no cost is known yet.
        """
        estimate = self.costs.estimate(features, now)
        if estimate is None:
            return 0.0
        return estimate.mean_s * min(
            (self.slowness.slowness(u.identity, now) for u in upstreams),
            default=1.0,
        )

    def remove(self, name: str) -> None:
        """Discards the state of a removed upstream unless it has requests."""
        self.evenness.remove(name)
        load = self._loads.get(name)
        if load is not None and not load.sent:
            del self._loads[name]

    def restart(self, name: str) -> None:
        """Discards the pause of an upstream that was started again.

        Its slowness is kept by start, and its requests end one by one.
        """
        load = self._loads.get(name)
        if load is not None:
            load.pause = FailurePause(FAILED_PAUSE_S, FAILED_PAUSE_MAX_S)
