"""The upstreams of a gate's pool: state, capacity, estimates, ejection."""

import math
import random
import statistics
from collections.abc import Iterable

from applespring.core.balance import SelectionContext, candidates, is_eligible
from applespring.core.errors import FailureKind
from applespring.core.fleet import Pool, Upstream
from applespring.core.health import (
    EJECT_FAILURE_RATIO,
    PROBE_INTERVAL_S,
    HealthState,
    is_slow,
    may_eject,
)
from applespring.core.latency import LatencyEstimate
from applespring.core.pool_upstream import PoolUpstream
from applespring.core.prefix import PrefixIndex
from applespring.core.ticket import Grant, LoadReport, Ticket

REFRESH_INTERVAL_S = 0.25
# Bounds the reserve at this multiple of the mean: rare, very long calls must
# not make the gate refuse every ordinary one.
RESERVE_MAX_FACTOR = 2.5
# The median of fewer upstreams does not show which of them is the outlier.
MIN_COMPARABLE_UPSTREAMS = 3
# Decayed weight of about three recent samples; with fewer, a few ordinary long
# calls would make their upstream an outlier.
MIN_SAMPLE_WEIGHT = 2.4


class PoolUpstreams:
    """Upstreams of a pool with the capacity and latency of the whole pool.

    "Local" calls are those of this instance.

    Attributes:
        by_name: Upstream name to its state.
        context: Inputs of the load-balancing policy besides the candidates.
        in_flight: Local calls in flight at the upstreams configured now.
        capacity: Limit of `in_flight`. Calls in flight at ejected, stalled or
            unusable upstreams raise it, so that they take no capacity from
            the others.
        available: Whether any upstream may receive calls.
        mean_s: Expected seconds of a call.
        reserve_s: Seconds before its due time by which a call must start.
        headroom: Fraction of the gap between the mean and the high quantile
            that `reserve_s` includes, 0 to 1.
    """

    __slots__ = (
        "by_name",
        "context",
        "in_flight",
        "capacity",
        "available",
        "mean_s",
        "reserve_s",
        "headroom",
        "_running",
        "_latency",
        "_share",
        "_expected_s",
        "_refresh_at",
    )

    def __init__(
        self,
        pool: Pool,
        failure_domain: str,
        rng: random.Random,
        prefixes: PrefixIndex,
    ) -> None:
        self.by_name = {
            config.name: PoolUpstream(config, pool.expected_s)
            for config in pool.upstreams
        }
        self.context = SelectionContext(rng, prefixes, failure_domain)
        self.in_flight = 0
        self.capacity = 0
        self.available = False
        self.mean_s = pool.expected_s
        self.reserve_s = pool.expected_s
        self.headroom = 1.0
        self._running: dict[Grant, PoolUpstream] = {}
        self._latency = LatencyEstimate(pool.expected_s)
        self._share = 1.0
        self._expected_s = pool.expected_s
        self._refresh_at = -math.inf

    def replace(self, pool: Pool, now: float) -> None:
        """Applies a new configuration.

        Upstreams of the same name, address and failure domain keep their
        state; the others begin slow start without prefix blocks.
        """
        previous = self.by_name
        self.by_name = {}
        prefixes = self.context.prefixes
        for config in pool.upstreams:
            upstream = previous.get(config.name)
            if upstream is None or not _same_location(upstream.config, config):
                upstream = PoolUpstream(config, pool.expected_s)
                upstream.health.begin_slow_start(now)
                prefixes.remove_upstream(config.name)
            elif upstream.config.slots != config.slots:
                upstream.limit.set_slots(config.slots)
            upstream.config = config
            upstream.limit.set_share(self._share)
            self.by_name[config.name] = upstream
        for name in previous.keys() - self.by_name.keys():
            prefixes.remove_upstream(name)
        self._expected_s = pool.expected_s
        self._latency.set_prior(pool.expected_s)
        self.in_flight = sum(len(u.running) for u in self.by_name.values())
        self._refresh_at = -math.inf

    def set_usable(self, names: Iterable[str], now: float) -> None:
        """Sets the names of the upstreams that may receive new calls.

        An upstream that becomes usable begins slow start. Omitting an upstream
        also clears its "leaving" state.
        """
        usable = frozenset(names)
        for name, upstream in self.by_name.items():
            if name not in usable:
                upstream.usable = False
                upstream.leaving = False
            elif not upstream.usable:
                upstream.usable = True
                upstream.health.begin_slow_start(now)
        self._refresh_at = -math.inf

    def set_share(self, fraction: float) -> None:
        """Sets the fraction of the slots for this instance, clamped to 0..1."""
        self._share = min(1.0, max(0.0, fraction))
        for upstream in self.by_name.values():
            upstream.limit.set_share(self._share)
        self._refresh_at = -math.inf

    def record_report(self, name: str, report: LoadReport, now: float) -> None:
        """Applies an upstream's load report; ignores unknown upstreams."""
        upstream = self.by_name.get(name)
        if upstream is not None:
            slots = upstream.limit.slots
            upstream.apply_report(report, now)
            if upstream.leaving or upstream.limit.slots != slots:
                self._refresh_at = -math.inf

    def expected_s(self, now: float) -> float:
        """Returns the expected seconds of a call, its queue wait excluded."""
        return self._latency.mean(now)

    def has_eligible(self, ticket: Ticket) -> bool:
        """Returns whether any upstream is eligible, ejected ones included."""
        domain = self.context.failure_domain
        return any(
            is_eligible(upstream, ticket, domain)
            for upstream in self.by_name.values()
        )

    def has_active_eligible(self, ticket: Ticket) -> bool:
        """Returns whether any upstream is eligible and not ejected."""
        domain = self.context.failure_domain
        return any(
            upstream.active and is_eligible(upstream, ticket, domain)
            for upstream in self.by_name.values()
        )

    def find_startable(self, managed: bool) -> list[PoolUpstream]:
        """Returns the upstreams that may start a call now.

        Without `managed`, limits and health do not apply and all may.
        """
        if not managed:
            return list(self.by_name.values())
        return [u for u in self.by_name.values() if u.can_start_call()]

    def find_candidates(
        self,
        ticket: Ticket,
        managed: bool,
        startable: list[PoolUpstream],
        now: float,
    ) -> list[PoolUpstream]:
        """Returns the upstreams among which the policy may choose now.

        Args:
            ticket: The call that needs an upstream.
            managed: Whether limits, health and the preference for the local
                failure domain apply.
            startable: The upstreams of `find_startable`.
            now: Current time in seconds.
        """
        if not managed:
            domain = self.context.failure_domain
            return [u for u in startable if is_eligible(u, ticket, domain)]
        return candidates(
            startable, self.by_name.values(), ticket, self.context, now
        )

    def start(
        self, ticket: Ticket, upstream: PoolUpstream, now: float
    ) -> Grant:
        """Counts a call as in flight and returns its grant.

        A call to a suspect upstream is a probe and delays the next one by
        `PROBE_INTERVAL_S`.
        """
        grant = Grant(ticket, upstream.config, now)
        upstream.running[grant] = None
        if upstream.health.state(now) is HealthState.SUSPECT:
            upstream.health.next_probe_at = now + PROBE_INTERVAL_S
        self._running[grant] = upstream
        self.in_flight += 1
        if len(upstream.running) == 1:
            upstream.update(now, self.context.high_quantile_s)
        return grant

    def finish(
        self,
        grant: Grant,
        failure: FailureKind | None,
        latency_s: float,
        now: float,
    ) -> bool:
        """Ends a call and records its result.

        Returns:
            Whether the result ejected the upstream.

        Raises:
            ValueError: The grant is not in flight.
        """
        upstream = self._running.pop(grant, None)
        if upstream is None:
            raise ValueError(
                f"grant of {grant.ticket.request_id} is not in flight"
            )
        del upstream.running[grant]
        if self.by_name.get(upstream.config.name) is not upstream:
            return False
        self.in_flight -= 1
        if upstream.stalled or not upstream.active:
            self._refresh_at = -math.inf
        ejected = self._record_result(upstream, grant, failure, latency_s, now)
        upstream.update(now, self.context.high_quantile_s)
        return ejected

    def _record_result(
        self,
        upstream: PoolUpstream,
        grant: Grant,
        failure: FailureKind | None,
        latency_s: float,
        now: float,
    ) -> bool:
        if failure in (FailureKind.CANCELLED, FailureKind.WITHDRAWN):
            return False
        if grant.started_at < upstream.health.ejected_until:
            # Calls that started before the ejection must not count against
            # the upstream a second time.
            return False
        upstream.health.record_call(failure is not None)
        if failure is FailureKind.CONNECT:
            upstream.health.record_unreachable()
        if failure is not None:
            upstream.limit.on_failure(now)
            over_ratio = upstream.health.failure_ratio >= EJECT_FAILURE_RATIO
            return over_ratio and self._eject(upstream, now)
        upstream.record_success(now)
        upstream.limit.on_success(latency_s, len(upstream.running) + 1, now)
        upstream.latency.add(latency_s, now)
        if self._is_outlier(upstream, now):
            return self._eject(upstream, now)
        self._latency.add(latency_s, now)
        return False

    def next_change_at(self, now: float) -> float:
        """Returns when the choice of upstreams changes without an event.

        That is at the end of an ejection, at the next probe of a suspect
        upstream or when an upstream becomes stalled; infinity if none is due.
        """
        at = math.inf
        for upstream in self.by_name.values():
            health = upstream.health
            if now < health.ejected_until < at:
                at = health.ejected_until
            if now < health.next_probe_at < at:
                at = health.next_probe_at
            if now < upstream.stalls_at < at:
                at = upstream.stalls_at
        return at

    def ejection_remaining_s(self, now: float) -> float | None:
        """Returns the seconds until the first ejection ends.

        None if no upstream that could otherwise get calls is ejected.
        """
        ends = [
            upstream.health.ejected_until - now
            for upstream in self.by_name.values()
            if upstream.accepts_work and now < upstream.health.ejected_until
        ]
        return min(ends, default=None)

    def refresh(self, now: float) -> None:
        """Updates the estimates and the capacity, if they are outdated."""
        if now < self._refresh_at:
            return
        self.mean_s = self._latency.mean(now)
        high_quantile_s = max(self.mean_s, self._latency.high_quantile(now))
        reserve_s = min(high_quantile_s, RESERVE_MAX_FACTOR * self.mean_s)
        self.reserve_s = self.mean_s + self.headroom * (reserve_s - self.mean_s)
        self.context.high_quantile_s = high_quantile_s
        means = [
            upstream.latency.sample_mean()
            for upstream in self.by_name.values()
            if upstream.latency.weight(now) >= MIN_SAMPLE_WEIGHT
        ]
        self.context.median_s = (
            statistics.median(means)
            if len(means) >= MIN_COMPARABLE_UPSTREAMS
            else 0.0
        )
        self._refresh_capacity(now)
        # Refreshes earlier when an upstream stalls: its calls must stop using
        # up capacity from then on, although they end later.
        self._refresh_at = min(
            now + REFRESH_INTERVAL_S, self.next_change_at(now)
        )

    def _refresh_capacity(self, now: float) -> None:
        for upstream in self.by_name.values():
            upstream.update(now, self.context.high_quantile_s)
        active = [u for u in self.by_name.values() if u.active]
        # Stalled upstreams count only if there are no others.
        active = [u for u in active if not u.stalled] or active
        slots = sum(u.limit.slots for u in active)
        max_in_flight = sum(u.max_in_flight for u in active)
        inactive_calls = self.in_flight - sum(len(u.running) for u in active)
        share_slots = slots * self._share
        # The demand of one instance varies by about the square root of its
        # share of the slots. Without this allowance calls would queue while
        # slots are idle.
        call_limit = min(
            max_in_flight,
            max(1, math.ceil(share_slots + math.sqrt(share_slots))),
        )
        self.available = bool(active)
        self.capacity = call_limit + inactive_calls if active else 0

    def _is_outlier(self, upstream: PoolUpstream, now: float) -> bool:
        median_s = self.context.median_s
        if not median_s or upstream.latency.weight(now) < MIN_SAMPLE_WEIGHT:
            return False
        return is_slow(upstream.latency.sample_mean(), median_s)

    def _eject(self, upstream: PoolUpstream, now: float) -> bool:
        usable = [u for u in self.by_name.values() if u.accepts_work]
        ejected = sum(now < u.health.ejected_until for u in usable)
        if not upstream.accepts_work or not may_eject(ejected, len(usable)):
            return False
        upstream.health.eject(now)
        # Only calls after the ejection show whether it is still slow.
        upstream.latency.reset(self.context.median_s or self._expected_s)
        self._refresh_at = -math.inf
        return True


def _same_location(old: Upstream, new: Upstream) -> bool:
    return (
        old.address == new.address and old.failure_domain == new.failure_domain
    )
