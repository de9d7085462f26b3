"""The gate of a pool: admission, queue and grants."""

import math
import random
from collections.abc import Iterable

from applespring.core.balance import find_policy
from applespring.core.counters import GateCounters
from applespring.core.deadline import (
    NO_UPSTREAM_RETRY_S,
    WAIT_MARGIN,
    StageTime,
)
from applespring.core.errors import FailureKind, RefusalError
from applespring.core.fleet import Pool, Preference
from applespring.core.pool_upstream import PoolUpstream
from applespring.core.pool_upstreams import PoolUpstreams
from applespring.core.prefix import PrefixIndex
from applespring.core.queue import FairQueue
from applespring.core.reason import (
    DEADLINE_UNREACHABLE,
    NO_UPSTREAM,
    OVERLOADED,
    Reason,
)
from applespring.core.share import DemandRate
from applespring.core.ticket import Grant, LoadReport, Ticket
from applespring.core.verdict import Verdict

__all__ = ["GateCounters", "Grant", "LoadReport", "PoolGate", "Ticket"]

# Fraction of the gap between the mean and the high quantile of the latency
# that is reserved before a call's due time. A site that prefers cost sheds a
# call that may end late, a site that prefers attainment runs it.
HEADROOM = {Preference.COST: 1.0, Preference.ATTAINMENT: 0.0}
# Random addition to a retry time, as a fraction of it, so that clients refused
# together do not retry together.
RETRY_JITTER = 0.25

_SHED_COUNTERS = {
    DEADLINE_UNREACHABLE: "shed_deadline",
    OVERLOADED: "shed_overload",
    NO_UPSTREAM: "shed_no_upstream",
}
_REFUSED_COUNTERS = {
    DEADLINE_UNREACHABLE: "refused_deadline",
    OVERLOADED: "refused_overload",
    NO_UPSTREAM: "refused_no_upstream",
}


class PoolGate:
    """Decides when and where the calls of one pool run.

    Every accepted ticket leaves exactly once: granted or shed by `take`, shed
    by the `submit` of another ticket, or withdrawn. All times are seconds on
    one clock.

    Attributes:
        pool: The pool as configured.
        counters: Totals for metrics.
        prefixes: Index of the cached prefix blocks of each upstream; the
            owner of the gate applies the cache events to it.
    """

    __slots__ = (
        "pool",
        "counters",
        "prefixes",
        "_policy",
        "_rng",
        "_upstreams",
        "_queue",
        "_immediate",
        "_demand",
        "_eligibility_changed",
        "_opens_at",
    )

    def __init__(
        self,
        pool: Pool,
        failure_domain: str,
        rng: random.Random,
        policy: str = "two_choices",
    ) -> None:
        self.pool = pool
        self.counters = GateCounters()
        self.prefixes = PrefixIndex()
        self._policy = find_policy(policy)
        self._rng = rng
        self._upstreams = PoolUpstreams(
            pool, failure_domain, rng, self.prefixes
        )
        self._queue = FairQueue()
        # Queued tickets that may not wait beyond the next `take`.
        self._immediate: dict[Ticket, None] = {}
        self._demand = DemandRate()
        self._eligibility_changed = False
        self._opens_at = -math.inf

    def __len__(self) -> int:
        return len(self._queue)

    def replace_pool(self, pool: Pool, now: float) -> None:
        """Applies a new configuration; unchanged upstreams keep their state.

        Queued tickets stay queued even if they exceed a smaller `queue_max`.
        """
        self.pool = pool
        self._eligibility_changed = True
        self._upstreams.replace(pool, now)

    def set_preference(self, prefer: Preference) -> None:
        """Sets whether the site prefers cost or attainment; see `HEADROOM`."""
        self._upstreams.headroom = HEADROOM[prefer]

    def set_usable(
        self,
        names: Iterable[str],
        now: float,
        opens_at: float = -math.inf,
    ) -> None:
        """Sets the names of the upstreams that may receive new calls.

        Until the first call of this method all upstreams are usable. An
        upstream that reported "leaving" gets no calls until `names` has once
        omitted it and later lists it again.

        Args:
            names: Names of the upstreams.
            now: Current time in seconds.
            opens_at: When the first one may again if all are paused, else
                -inf.
        """
        self._opens_at = opens_at
        self._eligibility_changed = True
        self._upstreams.set_usable(names, now)

    def set_share(self, fraction: float, now: float) -> None:
        """Sets the fraction of the pool's slots for this instance, 0 to 1."""
        self._upstreams.set_share(fraction)
        self._upstreams.refresh(now)

    def record_report(self, name: str, report: LoadReport, now: float) -> None:
        """Applies an upstream's load report; ignores unknown upstreams."""
        if report.state == "leaving":
            self._eligibility_changed = True
        self._upstreams.record_report(name, report, now)

    def submit(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Accepts a ticket; the next `take` may grant it.

        Returns:
            Tickets shed because the queue is full; the caller refuses them
            with `refusal(ticket, now)`.

        Raises:
            RefusalError: The ticket is not accepted; always NOT_RUN.
            ValueError: The ticket is queued already.
        """
        if ticket.queue_key is not None:
            raise ValueError(f"ticket {ticket.request_id} is queued already")
        self.counters.submitted += 1
        self._demand.add(now)
        self._upstreams.refresh(now)
        ticket.enqueued_at = now
        ticket.shed_reason = None
        self._check_admission(ticket, now)
        shed: list[Ticket] = []
        if len(self._queue) >= max(1, self.pool.queue_max):
            shed = self._make_queue_space(ticket, now)
        self._queue.push(ticket)
        if not ticket.may_queue:
            self._immediate[ticket] = None
        return shed

    def withdraw(self, ticket: Ticket, now: float) -> bool:  # noqa: ARG002
        """Removes a ticket from the queue; returns whether it was queued."""
        self._immediate.pop(ticket, None)
        removed = self._queue.remove(ticket)
        self.counters.withdrawn += removed
        return removed

    def take(self, now: float) -> tuple[list[Grant], list[Ticket]]:
        """Returns the grants of calls that may start now and the shed tickets.

        Shed are tickets that can no longer meet their deadline, tickets for
        which no upstream is eligible any more, and tickets that may not wait
        and cannot start now; the caller refuses them with
        `refusal(ticket, now)`.
        """
        self._upstreams.refresh(now)
        grants: list[Grant] = []
        shed = self._expire(now)
        if self._eligibility_changed:
            shed += self._shed_ineligible()
        blocked: set[tuple[str, frozenset[str]]] = set()
        startable = self._upstreams.find_startable(self._policy.managed)
        while startable and not self._is_full():
            ticket = self._queue.head(blocked)
            if ticket is None:
                break
            upstream = self._select(ticket, startable, now)
            if upstream is not None:
                grants.append(self._grant(ticket, upstream, now))
                if self._policy.managed and not upstream.can_start_call():
                    startable.remove(upstream)
                continue
            blocked.add(ticket.subqueue_key)
        if self._immediate:
            waiting = [t for t in self._immediate if self._queue.remove(t)]
            shed += self._shed(waiting, OVERLOADED)
            self._immediate.clear()
        return grants, shed

    def finish(
        self,
        grant: Grant,
        failure: FailureKind | None,
        latency_s: float,
        now: float,
    ) -> None:
        """Ends a grant.

        Args:
            grant: The grant.
            failure: How the call failed, or None. CANCELLED and WITHDRAWN do
                not count for or against the upstream.
            latency_s: Duration of the call in seconds.
            now: Current time in seconds.

        Raises:
            ValueError: The grant is not in flight.
        """
        ejected = self._upstreams.finish(grant, failure, latency_s, now)
        self.counters.ejected += ejected
        if failure is None:
            self.counters.succeeded += 1
        elif failure in (FailureKind.CANCELLED, FailureKind.WITHDRAWN):
            self.counters.cancelled += 1
        else:
            self.counters.failed += 1

    def refusal(self, ticket: Ticket, now: float) -> RefusalError:
        """Returns the error with which to refuse a ticket that was shed."""
        self._upstreams.refresh(now)
        return self._refusal(ticket, ticket.shed_reason or OVERLOADED, now)

    def expected_wait_s(self, now: float) -> float:
        """Returns the expected queue wait in seconds of a call submitted now.

        It is infinite while the pool has no available upstream.
        """
        self._upstreams.refresh(now)
        if not self._upstreams.available:
            return math.inf
        return self._queue_time_s(len(self._queue))

    def expected_s(self, now: float) -> float:
        """Returns the expected seconds of a call after its queue wait."""
        return self._upstreams.expected_s(now)

    def stage_time(
        self, stage: str, now: float, ticket: Ticket | None = None
    ) -> StageTime:
        """Returns the expected time of a stage that runs in this pool.

        Args:
            stage: Name of the stage.
            now: Current time in seconds.
            ticket: The call as it would be submitted now. If given, the wait
                covers only the tickets ahead of it by its account and
                priority; otherwise the whole queue.
        """
        wait_s = self.expected_wait_s(now)
        if ticket is not None and self._upstreams.available:
            wait_s = self._ticket_wait_s(ticket)
        upstreams = self._upstreams
        return StageTime(
            stage,
            wait_s,
            upstreams.mean_s,
            upstreams.reserve_s,
            max(0.0, self._opens_at - now),
        )

    def busy(self, now: float) -> float:
        """Returns the fraction of the capacity that is in use, 0 to 1.

        It is 1 while the pool has no available upstream.
        """
        self._upstreams.refresh(now)
        if not self._upstreams.available:
            return 1.0
        return min(1.0, self._upstreams.in_flight / self._upstreams.capacity)

    def demand(self, now: float) -> float:
        """Returns the recent submissions per second, sent in heartbeats."""
        return self._demand.rate(now)

    def pool_upstream(self, name: str) -> PoolUpstream:
        """Returns the state of an upstream; callers must not change it.

        Raises:
            KeyError: The pool has no upstream of this name.
        """
        return self._upstreams.by_name[name]

    def next_wake(self, now: float) -> float | None:
        """Returns the next time to call `take` if no event comes before it.

        Events are `submit`, `finish`, `record_report`, `set_usable`,
        `set_share` and `replace_pool`; the caller calls `take` after each.
        None when nothing is queued.
        """
        due_at = self._queue.next_due_at()
        if due_at is None:
            return None
        if self._policy.managed:
            self._upstreams.refresh(now)
            due_at = min(
                due_at - self._upstreams.reserve_s,
                self._upstreams.next_change_at(now),
            )
        # `take` sheds only tickets due strictly before its time, hence the next
        # larger number.
        return max(now, math.nextafter(due_at, math.inf))

    def _check_admission(self, ticket: Ticket, now: float) -> None:
        upstreams = self._upstreams
        if not self._policy.managed:
            if not upstreams.has_eligible(ticket):
                raise self._refuse(ticket, NO_UPSTREAM, now)
            if ticket.deadline_at <= now:
                raise self._refuse(ticket, DEADLINE_UNREACHABLE, now)
            return
        if not upstreams.has_active_eligible(ticket):
            raise self._refuse(ticket, NO_UPSTREAM, now)
        wait_s = self._ticket_wait_s(ticket) * WAIT_MARGIN
        if ticket.due_at - upstreams.reserve_s < now + wait_s:
            raise self._refuse(ticket, DEADLINE_UNREACHABLE, now)
        if not ticket.may_queue and not self._can_start(ticket, now):
            raise self._refuse(ticket, OVERLOADED, now)

    def _can_start(self, ticket: Ticket, now: float) -> bool:
        if len(self._queue) > len(self._immediate) or self._is_full():
            return False
        startable = self._upstreams.find_startable(True)
        return bool(
            self._upstreams.find_candidates(ticket, True, startable, now)
        )

    def _is_full(self) -> bool:
        upstreams = self._upstreams
        return (
            self._policy.managed and upstreams.in_flight >= upstreams.capacity
        )

    def _select(
        self, ticket: Ticket, startable: list[PoolUpstream], now: float
    ) -> PoolUpstream | None:
        managed = self._policy.managed
        candidates = self._upstreams.find_candidates(
            ticket, managed, startable, now
        )
        if not candidates:
            return None
        context = self._upstreams.context
        upstream = self._policy.select(candidates, ticket, context, now)
        context.selection_count += 1
        return upstream

    def _grant(
        self, ticket: Ticket, upstream: PoolUpstream, now: float
    ) -> Grant:
        self._queue.serve(ticket)
        self._immediate.pop(ticket, None)
        self.counters.granted += 1
        domain = self._upstreams.context.failure_domain
        if domain and upstream.config.failure_domain != domain:
            self.counters.spilled += 1
        return self._upstreams.start(ticket, upstream, now)

    def _expire(self, now: float) -> list[Ticket]:
        # Baseline policies do not reserve time: they shed only tickets that
        # are past their due time.
        due_before = math.nextafter(now, math.inf)
        if self._policy.managed:
            due_before = now + self._upstreams.reserve_s
        expired = self._queue.expire(due_before)
        for ticket in expired:
            self._immediate.pop(ticket, None)
        return self._shed(expired, DEADLINE_UNREACHABLE)

    def _shed_ineligible(self) -> list[Ticket]:
        self._eligibility_changed = False
        ineligible: list[Ticket] = []
        for ticket in self._queue.one_per_subqueue():
            if not self._upstreams.has_eligible(ticket):
                ineligible += self._queue.remove_subqueue(ticket.subqueue_key)
        for ticket in ineligible:
            self._immediate.pop(ticket, None)
        return self._shed(ineligible, NO_UPSTREAM)

    def _make_queue_space(self, ticket: Ticket, now: float) -> list[Ticket]:
        shed = self._expire(now)
        if len(self._queue) < max(1, self.pool.queue_max):
            return shed
        victim = self._queue.pick_victim(ticket)
        if victim is None:
            raise self._refuse(ticket, OVERLOADED, now)
        self._immediate.pop(victim, None)
        self._queue.remove(victim)
        return shed + self._shed([victim], OVERLOADED)

    def _shed(self, tickets: list[Ticket], reason: Reason) -> list[Ticket]:
        for ticket in tickets:
            ticket.shed_reason = reason
        self.counters.add(_SHED_COUNTERS[reason], len(tickets))
        return tickets

    def _refuse(
        self, ticket: Ticket, reason: Reason, now: float
    ) -> RefusalError:
        self.counters.add(_REFUSED_COUNTERS[reason])
        return self._refusal(ticket, reason, now)

    def _refusal(
        self, ticket: Ticket, reason: Reason, now: float
    ) -> RefusalError:
        retry_after_s = self._retry_after_s(ticket, reason, now)
        if retry_after_s is not None:
            retry_after_s *= 1.0 + RETRY_JITTER * self._rng.random()
        return RefusalError(
            reason,
            Verdict.NOT_RUN,
            f"pool {self.pool.name}: {len(self._queue)} queued,"
            f" {self._upstreams.in_flight} of {self._upstreams.capacity}"
            " in flight",
            stage=ticket.stage,
            retry_after_s=retry_after_s,
        )

    def _retry_after_s(
        self, ticket: Ticket, reason: Reason, now: float
    ) -> float | None:
        if reason is NO_UPSTREAM:
            if self._opens_at > now:
                return self._opens_at - now
            return (
                self._upstreams.ejection_remaining_s(now) or NO_UPSTREAM_RETRY_S
            )
        wait_s = self._ticket_wait_s(ticket) * WAIT_MARGIN
        start_interval_s = self._upstreams.mean_s / max(
            1, self._upstreams.capacity
        )
        if reason is OVERLOADED:
            return max(wait_s, start_interval_s)
        slack_s = ticket.due_at - self._upstreams.reserve_s - ticket.enqueued_at
        if slack_s < 0.0:
            # The time allowed is too short even for an empty queue.
            return None
        return max(wait_s - slack_s, start_interval_s)

    def _ticket_wait_s(self, ticket: Ticket) -> float:
        return self._queue_time_s(self._queue.count_ahead(ticket))

    def _queue_time_s(self, tickets_ahead: float) -> float:
        upstreams = self._upstreams
        waiting = (
            tickets_ahead + 1.0 - (upstreams.capacity - upstreams.in_flight)
        )
        if waiting <= 0.0:
            return 0.0
        return waiting * upstreams.mean_s / max(1, upstreams.capacity)
