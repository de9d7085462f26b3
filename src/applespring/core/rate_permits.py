"""Who may send how much to an upstream that has named a rate limit.

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
"""

import math
from collections.abc import Collection, Mapping

from applespring.core.placement import rank_schedulers

# Share of a limit that is granted. Permits that are used late must not add up
# with later ones to more than the limit.
GRANTED_SHARE = 0.95
# Requests that may go to an upstream at once after it got none for a time. The
# use of a limit is below nine tenths without a burst, since demand comes at
# random; with it, 4 s have at most the limit and this many requests.
BURST = 4
# How long a permit may be used.
PERMIT_VALID_S = 0.2
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
    """

    __slots__ = ("granted", "wait_s")

    def __init__(self, granted: bool, wait_s: float) -> None:
        self.granted = granted
        self.wait_s = wait_s


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
        # of requests for which that was computed.
        self._free_at: dict[tuple[str, int], tuple[float, float]] = {}

    def request(
        self,
        identity: tuple[str, int],
        pool: str,
        per_s: float,
        wait_max_s: float,
        now: float,
    ) -> PermitDecision:
        """Grants a permit if one is left within a time.

        Args:
            identity: Name and incarnation of the upstream.
            pool: Its pool.
            per_s: Its rate limit, above 0.
            wait_max_s: Time for which the request can wait.
            now: Current time.
        """
        opens_in_s = self.opens_in_s(identity, pool, per_s, now)
        if opens_in_s > wait_max_s:
            return PermitDecision(False, opens_in_s)
        if identity not in self._free_at:
            self._make_room(now)
        interval_s = self._interval_s(per_s)
        free_at = max(now, self._find_free_at(identity, pool, per_s, now))
        self._free_at[identity] = (free_at + interval_s, interval_s)
        return PermitDecision(True, opens_in_s)

    def opens_in_s(
        self,
        identity: tuple[str, int],
        pool: str,
        per_s: float,
        now: float,
    ) -> float:
        """Returns the time until a permit may be granted.

        It is infinite if another instance grants them.
        """
        if self.members.granter(pool) != self.members.name:
            return math.inf
        free_at = self._find_free_at(identity, pool, per_s, now)
        return max(0.0, free_at - self._burst_s(per_s) - now)

    def _find_free_at(
        self,
        identity: tuple[str, int],
        pool: str,
        per_s: float,
        now: float,
    ) -> float:
        """Returns when the next request may follow without any burst.

        An instance that becomes the granter begins once all know of it, and
        without a burst, since the upstream may have had one before.
        """
        burst_s = self._burst_s(per_s)
        free_at, interval_s = self._free_at.get(
            identity, (now + burst_s, self._interval_s(per_s))
        )
        if free_at > now:
            # As many requests are ahead after a change of the limit as before.
            free_at = (
                now + (free_at - now) * self._interval_s(per_s) / interval_s
            )
        return max(free_at, self.members.settled_at(pool) + burst_s)

    def _burst_s(self, per_s: float) -> float:
        return (BURST - 1) * self._interval_s(per_s)

    def _interval_s(self, per_s: float) -> float:
        return 1.0 / (GRANTED_SHARE * self.members.part * per_s)

    def _make_room(self, now: float) -> None:
        if len(self._free_at) < SCHEDULES_MAX:
            return
        free = [key for key, (at, _) in self._free_at.items() if at <= now]
        first = min(self._free_at, key=lambda key: self._free_at[key][0])
        for identity in free or [first]:
            del self._free_at[identity]
