"""The members of a gate's pool: state, capacity, estimates, ejection."""

import math
import random
import statistics
from collections.abc import Iterable

from applespring.core.balance import Selection, candidates, permits
from applespring.core.errors import FailureKind
from applespring.core.fleet import Pool, Upstream
from applespring.core.health import (
    EJECT_RATIO,
    PROBE_INTERVAL_S,
    Condition,
    is_slow,
    may_eject,
)
from applespring.core.latency import LatencyEstimate
from applespring.core.member import Member
from applespring.core.prefix import PrefixIndex
from applespring.core.ticket import Grant, LoadReport, Ticket

REFRESH_S = 0.25
# Rare extreme calls must not close the gate to every ordinary one.
RESERVE_MAX_FACTOR = 2.5
# A median of fewer members cannot tell the outlier from the others.
MIN_COMPARABLE = 3
# About three recent samples; fewer make outliers of ordinary long calls.
MIN_SAMPLES = 2.4


class Roster:
    """Members of a pool and what follows from them together.

    Attributes:
        members: Upstream name to member.
        selection: What policies know beyond the candidates.
        in_flight: Own calls in flight at current members.
        capacity: Most own calls to have in flight; calls that are stuck at
            ejected, stalled or unusable members are added to it, so that they
            take no room from the others.
        available: Whether any member may receive calls.
        mean_s: Expected seconds of a call.
        reserve_s: Seconds to keep free for a call before its due time.
        headroom: Part of the high quantile above the mean that is kept free,
            0 to 1.
    """

    __slots__ = (
        "members",
        "selection",
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
        self.members = {
            upstream.name: Member(upstream, pool.expected_s)
            for upstream in pool.upstreams
        }
        self.selection = Selection(rng, prefixes, failure_domain)
        self.in_flight = 0
        self.capacity = 0
        self.available = False
        self.mean_s = pool.expected_s
        self.reserve_s = pool.expected_s
        self.headroom = 1.0
        self._running: dict[Grant, Member] = {}
        self._latency = LatencyEstimate(pool.expected_s)
        self._share = 1.0
        self._expected_s = pool.expected_s
        self._refresh_at = -math.inf

    def replace(self, pool: Pool, now: float) -> None:
        """Takes a new configuration; unchanged upstreams keep their state."""
        old = self.members
        self.members = {}
        prefixes = self.selection.prefixes
        for upstream in pool.upstreams:
            member = old.get(upstream.name)
            if member is None or not _same_place(member.upstream, upstream):
                member = Member(upstream, pool.expected_s)
                member.health.start_slowly(now)
                prefixes.remove_upstream(upstream.name)
            elif member.upstream.slots != upstream.slots:
                member.limit.set_slots(upstream.slots)
            member.upstream = upstream
            member.limit.set_share(self._share)
            self.members[upstream.name] = member
        for name in old.keys() - self.members.keys():
            prefixes.remove_upstream(name)
        self._expected_s = pool.expected_s
        self._latency.set_prior(pool.expected_s)
        self.in_flight = sum(len(m.running) for m in self.members.values())
        self._refresh_at = -math.inf

    def set_usable(self, names: Iterable[str], now: float) -> None:
        """States which members may receive new work, all others not."""
        usable = frozenset(names)
        for name, member in self.members.items():
            if name not in usable:
                member.usable = False
                member.leaving = False
            elif not member.usable:
                member.usable = True
                member.health.start_slowly(now)
        self._refresh_at = -math.inf

    def set_share(self, fraction: float) -> None:
        """Sets this instance's fraction of the slots, 0 to 1."""
        self._share = min(1.0, max(0.0, fraction))
        for member in self.members.values():
            member.limit.set_share(self._share)
        self._refresh_at = -math.inf

    def report(self, name: str, report: LoadReport, now: float) -> None:
        """Takes a load report; unknown upstreams are ignored."""
        member = self.members.get(name)
        if member is not None:
            slots = member.limit.slots
            member.note_report(report, now)
            if member.leaving or member.limit.slots != slots:
                self._refresh_at = -math.inf

    def expected_s(self, now: float) -> float:
        """Returns the expected seconds of a call."""
        return self._latency.mean(now)

    def permits(self, ticket: Ticket) -> bool:
        """Returns whether any member may get the ticket, now or later."""
        domain = self.selection.failure_domain
        return any(
            permits(member, ticket, domain) for member in self.members.values()
        )

    def serves(self, ticket: Ticket) -> bool:
        """Returns whether a member that is not ejected may get the ticket."""
        domain = self.selection.failure_domain
        return any(
            member.active and permits(member, ticket, domain)
            for member in self.members.values()
        )

    def open_members(self, managed: bool) -> list[Member]:
        """Returns the members that may start a call now."""
        if not managed:
            return list(self.members.values())
        return [m for m in self.members.values() if m.has_room()]

    def choices(
        self, ticket: Ticket, managed: bool, room: list[Member], now: float
    ) -> list[Member]:
        """Returns the members among which the policy may choose now.

        Args:
            ticket: The call to place.
            managed: Whether limits, health and failure domains apply.
            room: The members of `open_members`.
            now: Current time in seconds.
        """
        if not managed:
            domain = self.selection.failure_domain
            return [m for m in room if permits(m, ticket, domain)]
        return candidates(
            room, self.members.values(), ticket, self.selection, now
        )

    def start(self, ticket: Ticket, member: Member, now: float) -> Grant:
        """Counts a call as in flight."""
        grant = Grant(ticket, member.upstream, now)
        member.running[grant] = None
        if member.health.condition(now) is Condition.SUSPECT:
            member.health.next_probe_at = now + PROBE_INTERVAL_S
        self._running[grant] = member
        self.in_flight += 1
        if len(member.running) == 1:
            member.update(now, self.selection.high_s)
        return grant

    def finish(
        self,
        grant: Grant,
        failure: FailureKind | None,
        latency_s: float,
        now: float,
    ) -> bool:
        """Ends a call and learns from it; returns whether it ejects.

        Raises:
            ValueError: The grant is not in flight.
        """
        member = self._running.pop(grant, None)
        if member is None:
            raise ValueError(
                f"grant of {grant.ticket.request_id} is not in flight"
            )
        del member.running[grant]
        if self.members.get(member.upstream.name) is not member:
            return False
        self.in_flight -= 1
        if member.stalled or not member.active:
            self._refresh_at = -math.inf
        ejected = self._learn(member, grant, failure, latency_s, now)
        member.update(now, self.selection.high_s)
        return ejected

    def _learn(
        self,
        member: Member,
        grant: Grant,
        failure: FailureKind | None,
        latency_s: float,
        now: float,
    ) -> bool:
        if failure in (FailureKind.CANCELLED, FailureKind.WITHDRAWN):
            return False
        if grant.started_at < member.health.ejected_until:
            # The ejection has judged calls that began before it.
            return False
        member.health.record(failure is not None)
        if failure is FailureKind.CONNECT:
            member.health.record_unreachable()
        if failure is not None:
            member.limit.on_failure(now)
            bad = member.health.failure_ratio >= EJECT_RATIO
            return bad and self._eject(member, now)
        member.note_success(now)
        member.limit.on_success(latency_s, len(member.running) + 1, now)
        member.latency.add(latency_s, now)
        if self._is_outlier(member, now):
            return self._eject(member, now)
        self._latency.add(latency_s, now)
        return False

    def next_change_at(self, now: float) -> float:
        """Returns when time alone changes who gets calls, or infinity."""
        at = math.inf
        for member in self.members.values():
            health = member.health
            if now < health.ejected_until < at:
                at = health.ejected_until
            if now < health.next_probe_at < at:
                at = health.next_probe_at
            if now < member.stalls_at < at:
                at = member.stalls_at
        return at

    def returns_in_s(self, now: float) -> float | None:
        """Returns the seconds until the next ejection ends, None if none."""
        ends = [
            member.health.ejected_until - now
            for member in self.members.values()
            if member.in_use and now < member.health.ejected_until
        ]
        return min(ends, default=None)

    def refresh(self, now: float) -> None:
        """Brings the estimates and the capacity up to date."""
        if now < self._refresh_at:
            return
        self.mean_s = self._latency.mean(now)
        high_s = max(self.mean_s, self._latency.high(now))
        reserve_s = min(high_s, RESERVE_MAX_FACTOR * self.mean_s)
        self.reserve_s = self.mean_s + self.headroom * (reserve_s - self.mean_s)
        self.selection.high_s = high_s
        means = [
            member.latency.sample_mean()
            for member in self.members.values()
            if member.latency.weight(now) >= MIN_SAMPLES
        ]
        self.selection.median_s = (
            statistics.median(means) if len(means) >= MIN_COMPARABLE else 0.0
        )
        self._refresh_capacity(now)
        # A stalled call must give up its room in time although it ends later.
        self._refresh_at = min(now + REFRESH_S, self.next_change_at(now))

    def _refresh_capacity(self, now: float) -> None:
        for member in self.members.values():
            member.update(now, self.selection.high_s)
        active = [m for m in self.members.values() if m.active]
        # Stalled members count when there is nothing else.
        active = [m for m in active if not m.stalled] or active
        slots = sum(m.limit.slots for m in active)
        allowed = sum(m.allowed for m in active)
        stuck = self.in_flight - sum(len(m.running) for m in active)
        own = slots * self._share
        # One instance's demand varies by about the square root of its share;
        # without this the share would queue calls while slots stand idle.
        room = min(allowed, max(1, math.ceil(own + math.sqrt(own))))
        self.available = bool(active)
        self.capacity = room + stuck if active else 0

    def _is_outlier(self, member: Member, now: float) -> bool:
        median_s = self.selection.median_s
        if not median_s or member.latency.weight(now) < MIN_SAMPLES:
            return False
        return is_slow(member.latency.sample_mean(), median_s)

    def _eject(self, member: Member, now: float) -> bool:
        usable = [m for m in self.members.values() if m.in_use]
        ejected = sum(now < m.health.ejected_until for m in usable)
        if not member.in_use or not may_eject(ejected, len(usable)):
            return False
        member.health.eject(now)
        # Only calls after the ejection say whether it is slow still.
        member.latency.reset(self.selection.median_s or self._expected_s)
        self._refresh_at = -math.inf
        return True


def _same_place(old: Upstream, new: Upstream) -> bool:
    return (
        old.address == new.address and old.failure_domain == new.failure_domain
    )
