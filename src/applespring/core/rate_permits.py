"""Who may send how much to an upstream that has a rate limit.

The limit holds for all instances together, and they share no counter. One
instance grants the permits for all limited upstreams of a pool: the first live
one by rendezvous hash, which also schedules the pool if it is a stage pool. A
permit is for one request, at one upstream, within a short time, so that neither
the number of instances nor the place of the demand changes what an upstream
gets.

Two instances may take themselves for the granter while they know of different
members. An instance that becomes the granter therefore grants nothing until all
instances know of the change, and one that was frozen begins anew. While members
are missing, a granter grants the part of the limit that the members it reaches
are of all: the other ones may be cut off and have a granter of their own.

Where the requests of any second are bounded too, as those of cold upstreams
are, the rate, the burst and the time for which a permit holds follow from that
bound, so that no second has more, whenever within it each permit is used.
"""

import math
from collections.abc import Collection, Mapping

from applespring.core.placement import rank_schedulers
from applespring.core.rate_limits import Limit

# Share of a limit that is granted. Permits that are used late must not add up
# with later ones to more than the limit.
GRANTED_SHARE = 0.95
# Requests that may go to an upstream at once after it got none for a time. The
# use of a limit is below nine tenths without a burst, since demand comes at
# random; with it, 4 s have at most the limit and this many requests.
BURST = 4
# How long a permit may be used; it is shorter, down to the minimum, where the
# bound of a second leaves no room for permits that are used late.
PERMIT_VALID_S = 0.2
PERMIT_VALID_MIN_S = 0.05
# Wait of a request for an upstream of whose bound these members get no part.
NO_PART_WAIT_S = 1.0
# Rounding errors of a product.
_ROUNDING = 1e-9
# An instance whose view of the members is older than this was frozen.
OBSERVATION_GAP_S = 1.0
# How long a member counts after it was last seen, unless it has said it leaves.
# It may be cut off with others, which use their part meanwhile.
MEMBER_KEPT_S = 3600.0
# Members beyond it are forgotten, those not seen for longest first; above the
# 350 instances of the design scale.
MEMBERS_MAX = 2048
# Upstreams with a schedule; above the 600 upstreams of the design scale. Beyond
# it those without reservations go first, then the one that is free first.
SCHEDULES_MAX = 2048


class PermitDecision:
    """Whether a request may be sent to a limited upstream.

    Attributes:
        granted: Whether a permit was granted.
        wait_s: Time until the permit begins, or until the next one may be
            granted.
        valid_s: How long the permit may be used from then on.
    """

    __slots__ = ("granted", "wait_s", "valid_s")

    def __init__(
        self, granted: bool, wait_s: float, valid_s: float = PERMIT_VALID_S
    ) -> None:
        self.granted = granted
        self.wait_s = wait_s
        self.valid_s = valid_s


class Schedule:
    """At which times a part of all instances may send to an upstream.

    Attributes:
        interval_s: Time between two permits, infinite if there are none.
        burst_s: How far permits may be ahead of it after a time without any.
        valid_s: How long a permit may be used.
    """

    __slots__ = ("interval_s", "burst_s", "valid_s")

    def __init__(self, limit: Limit, part: float) -> None:
        """Plans for a limit.

        Args:
            limit: The limit.
            part: Part of all instances that are to use it, above 0 and at most
                1.
        """
        per_s = GRANTED_SHARE * limit.per_s
        self.valid_s, burst = PERMIT_VALID_S, BURST
        if limit.second_max < math.inf:
            self.valid_s = min(
                PERMIT_VALID_S,
                max(PERMIT_VALID_MIN_S, limit.second_max / per_s - 1.0),
            )
            most = _part_of(int(limit.second_max), part)
            if most < 1:
                self.interval_s, self.burst_s = math.inf, 0.0
                return
            window_s = 1.0 + self.valid_s
            per_s = min(part * per_s, most / window_s)
            # So many permits begin in a window beside a burst.
            paced = math.ceil(per_s * window_s - _ROUNDING) - 1
            burst = max(1, min(BURST, most - paced))
        else:
            per_s *= part
        self.interval_s = 1.0 / per_s
        self.burst_s = (burst - 1) * self.interval_s


def _part_of(count: int, part: float) -> int:
    """Returns how many of some requests a part of the instances may send.

    All parts together send no more: one that is the larger part of all gets
    what the others can't have.
    """
    if part > 0.5:
        return math.ceil(count * part - _ROUNDING)
    return math.floor(count * part + _ROUNDING)


class Members:
    """The live instances as this one has seen them, and since when.

    Attributes:
        name: Name of this instance.
    """

    __slots__ = (
        "name",
        "_views",
        "_seen_at",
        "_observed_at",
        "_settle_s",
        "_granters",
        "_parts",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        # Link speeds by name, and since when; oldest first. One view is kept
        # that is older than `_settle_s`.
        self._views: list[tuple[float, dict[str, float]]] = []
        self._seen_at: dict[str, float] = {}
        self._observed_at = -math.inf
        self._settle_s = 0.0
        self._granters: dict[str, tuple[str, float]] = {}
        # Part of the members that could be reached, and since when.
        self._parts: list[tuple[float, float]] = []

    def observe(
        self,
        links: Mapping[str, float],
        left: Collection[str],
        settle_s: float,
        now: float,
    ) -> None:
        """Records which instances are live.

        Args:
            links: Link speed of each live instance that does not leave, this
                one included unless it leaves.
            left: Instances that have said that they leave.
            settle_s: Time within which all instances learn of a change.
            now: Current time.
        """
        self._settle_s = settle_s
        if now - self._observed_at > OBSERVATION_GAP_S:
            self._views.clear()
        self._observed_at = now
        if not self._views or self._views[-1][1] != links:
            self._views.append((now, dict(links)))
            self._granters.clear()
        while len(self._views) > 1 and self._views[1][0] <= now - settle_s:
            del self._views[0]
        for name in left:
            self._seen_at.pop(name, None)
        self._seen_at.update(dict.fromkeys(links, now))
        if len(self._seen_at) > len(links):
            self._forget_members(now)
        part = max(1, len(links)) / max(1, len(self._seen_at))
        if not self._parts or self._parts[-1][1] != part:
            self._parts.append((now, part))
        while len(self._parts) > 1 and self._parts[1][0] <= now - settle_s:
            del self._parts[0]

    def _forget_members(self, now: float) -> None:
        oldest_first = sorted(self._seen_at.items(), key=lambda item: item[1])
        excess = len(oldest_first) - MEMBERS_MAX
        for number, (name, seen_at) in enumerate(oldest_first):
            if number < excess or now - seen_at > MEMBER_KEPT_S:
                del self._seen_at[name]

    @property
    def part(self) -> float:
        """Part of the members that can be reached, above 0 and at most 1.

        It rises only once all instances know of the change. Those that were cut
        off may still have a granter of their own until then.
        """
        return min((part for _, part in self._parts), default=1.0)

    def granter(self, pool: str) -> str:
        """Returns which instance grants the permits of a pool's upstreams."""
        return self._find_granter(pool)[0]

    def settled_at(self, pool: str) -> float:
        """Returns when all instances know the granter of a pool."""
        return self._find_granter(pool)[1] + self._settle_s

    def _find_granter(self, pool: str) -> tuple[str, float]:
        """Returns the granter of a pool, and since when it has been that."""
        found = self._granters.get(pool)
        if found is not None:
            return found
        found = (self.name, -math.inf)
        for number, (since, links) in enumerate(reversed(self._views)):
            name = next(iter(rank_schedulers(pool, links)), self.name)
            if number and name != found[0]:
                break
            found = (name, since)
        self._granters[pool] = found
        return found


class RatePermits:
    """Permits that this instance grants as the granter of pools.

    Attributes:
        members: The live instances.
    """

    __slots__ = ("members", "_free_at")

    def __init__(self, name: str) -> None:
        self.members = Members(name)
        # When the next request may follow without any burst, and the interval
        # of requests for which that was computed, by name: another start of an
        # upstream may get requests that are meant for the one before.
        self._free_at: dict[str, tuple[float, float]] = {}

    def request(
        self,
        identity: tuple[str, int],
        pool: str,
        limit: Limit,
        wait_max_s: float,
        now: float,
    ) -> PermitDecision:
        """Grants a permit if one is left within a time.

        Args:
            identity: Name and incarnation of the upstream.
            pool: Its pool.
            limit: Its limit, with a rate above 0.
            wait_max_s: Time for which the request can wait.
            now: Current time.
        """
        if self.members.granter(pool) != self.members.name:
            return PermitDecision(False, math.inf)
        schedule = Schedule(limit, self.members.part)
        if schedule.interval_s == math.inf:
            return PermitDecision(False, NO_PART_WAIT_S)
        name = identity[0]
        free_at = self._find_free_at(name, pool, schedule, now)
        opens_in_s = max(0.0, free_at - schedule.burst_s - now)
        if opens_in_s > wait_max_s:
            return PermitDecision(False, opens_in_s)
        if name not in self._free_at:
            self._make_room(now)
        self._free_at[name] = (
            max(now, free_at) + schedule.interval_s,
            schedule.interval_s,
        )
        return PermitDecision(True, opens_in_s, schedule.valid_s)

    def opens_in_s(
        self,
        identity: tuple[str, int],
        pool: str,
        limit: Limit,
        now: float,
    ) -> float:
        """Returns the time until a permit may be granted.

        It is infinite if another instance grants them.
        """
        if self.members.granter(pool) != self.members.name:
            return math.inf
        schedule = Schedule(limit, self.members.part)
        if schedule.interval_s == math.inf:
            return NO_PART_WAIT_S
        free_at = self._find_free_at(identity[0], pool, schedule, now)
        return max(0.0, free_at - schedule.burst_s - now)

    def _find_free_at(
        self, name: str, pool: str, schedule: Schedule, now: float
    ) -> float:
        """Returns when the next request may follow without any burst.

        An instance that becomes the granter begins once all know of it, and
        without a burst, since the upstream may have had one before.
        """
        burst_s, interval_s = schedule.burst_s, schedule.interval_s
        free_at, held_s = self._free_at.get(name, (now + burst_s, interval_s))
        if free_at > now:
            # As many requests are ahead after a change of the limit as before.
            free_at = now + (free_at - now) * interval_s / held_s
        return max(free_at, self.members.settled_at(pool) + burst_s)

    def drop_burst(self, name: str, now: float) -> None:
        """Starts the schedule of an upstream anew if no permit is ahead."""
        free_at, _ = self._free_at.get(name, (math.inf, 0.0))
        if free_at <= now:
            del self._free_at[name]

    def _make_room(self, now: float) -> None:
        if len(self._free_at) < SCHEDULES_MAX:
            return
        free = [key for key, (at, _) in self._free_at.items() if at <= now]
        first = min(self._free_at, key=lambda key: self._free_at[key][0])
        for name in free or [first]:
            del self._free_at[name]
