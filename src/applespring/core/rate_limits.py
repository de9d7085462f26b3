"""Rates that upstreams have named as the most that they take.

An upstream names its limit in each answer, for all instances together, for as
long as the limit holds. Instances tell each other, so that one that got no
answer of it knows the limit too. A cold upstream has a limit as well, for as
long as it is cold (`core/cold_upstreams.py`).
"""

import math
from collections.abc import Container, Iterator

from applespring.core.cold_upstreams import ColdUpstreams

# Least rate at which a limited upstream gets requests. Only an answer shows
# that a limit has ended, so that a limit of 0 must not stop all requests.
RATE_MIN_PER_S = 0.25
# Above the 600 upstreams of the design scale. Beyond it limits of upstreams
# that are not listed are dropped first, then those named longest ago.
LIMITS_MAX = 2048
# The age of a forwarded limit does not include its transmission time. Without
# this margin, peers would renew a limit by forwarding it to each other.
RENEW_MARGIN_S = 0.5
# How long the end of a limit is kept, for peers that still forward the limit.
ENDED_KEPT_S = 30.0


class Limit:
    """What an upstream may get from all instances together.

    Attributes:
        per_s: Requests a second.
        second_max: Most requests in any second; infinite if only the rate
            counts.
    """

    __slots__ = ("per_s", "second_max")

    def __init__(self, per_s: float, second_max: float = math.inf) -> None:
        self.per_s = per_s
        self.second_max = second_max


class RateLimit:
    """What is known of the rate limit of one start of an upstream.

    Attributes:
        per_s: Requests a second from all instances together, or None if the
            limit has ended.
        named_at: When the newest answer that shows it arrived, at any instance.
    """

    __slots__ = ("per_s", "named_at")

    def __init__(self, per_s: float | None, named_at: float) -> None:
        self.per_s = per_s
        self.named_at = named_at


class RateLimitTable:
    """Rate limits by name and incarnation of the upstream, bounded in number.

    A limit belongs to a start of its upstream. A lower one counts at once. A
    higher one, or the end of the limit, counts only if the request that shows
    it was sent after the last answer that named the lower one, since answers
    may arrive in another order than they were made.

    Attributes:
        cold: The cold upstreams, which have a limit too.
    """

    __slots__ = ("cold", "_limits", "_closed_until")

    def __init__(self) -> None:
        self.cold = ColdUpstreams()
        self._limits: dict[tuple[str, int], RateLimit] = {}
        # Until when no permit is to be had for an upstream.
        self._closed_until: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def __bool__(self) -> bool:
        """Whether an upstream may have a limit."""
        return bool(self._limits or self.cold)

    def __iter__(self) -> Iterator[tuple[tuple[str, int], RateLimit]]:
        return iter(self._limits.items())

    def record(
        self,
        identity: tuple[str, int],
        per_s: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records what an answer to this instance shows.

        Args:
            identity: Name and incarnation of the upstream.
            per_s: The limit that it names, or None if it names none.
            sent_at: When the request was sent that it answers.
            now: Current time.

        Returns:
            Whether the limit in force has changed.
        """
        held = self._limits.get(identity)
        if held is None:
            if per_s is None:
                return False
            self._limits[identity] = RateLimit(per_s, now)
            return True
        if held.per_s == per_s:
            held.named_at = now
            return False
        is_lower = None not in (per_s, held.per_s) and per_s < held.per_s
        if not is_lower and sent_at < held.named_at:
            return False
        self._limits[identity] = RateLimit(per_s, now)
        self._closed_until.pop(identity, None)
        return True

    def merge(
        self, identity: tuple[str, int], per_s: float | None, named_at: float
    ) -> bool:
        """Records what a peer knows; the newer knowledge counts.

        Args:
            identity: Name and incarnation of the upstream.
            per_s: The limit, or None if it has ended.
            named_at: When the newest answer that shows it arrived, on the clock
                of this instance.

        Returns:
            Whether the limit in force has changed.
        """
        held = self._limits.get(identity)
        if held is not None:
            if named_at <= held.named_at + RENEW_MARGIN_S:
                return False
            changed = held.per_s != per_s
        else:
            changed = per_s is not None
        self._limits[identity] = RateLimit(per_s, named_at)
        if changed:
            self._closed_until.pop(identity, None)
        return changed

    def find(self, identity: tuple[str, int], now: float) -> Limit | None:
        """Returns the limit in force, None without one.

        It is the lower of the rate that the upstream has named and that of its
        pool for cold upstreams, if it is cold.
        """
        per_s, cold = self.per_s(identity), self.cold.find(identity, now)
        if cold is None:
            return None if per_s is None else Limit(per_s)
        if per_s is None or per_s > cold.per_s:
            per_s = cold.per_s
        return Limit(per_s, cold.second_max)

    def per_s(self, identity: tuple[str, int]) -> float | None:
        """Returns the rate that an upstream has named, None without a limit.

        It is at least `RATE_MIN_PER_S`.
        """
        held = self._limits.get(identity)
        if held is None or held.per_s is None:
            return None
        return max(RATE_MIN_PER_S, held.per_s)

    def close(self, identity: tuple[str, int], until: float) -> None:
        """Records that no permit is to be had for an upstream until a time."""
        if identity in self._limits or self.cold:
            self._closed_until[identity] = until

    def closed_until(self, identity: tuple[str, int]) -> float:
        """Returns until when no permit is to be had, -inf if one may be."""
        if not self._closed_until or not (
            self.cold or self.per_s(identity) is not None
        ):
            return -math.inf
        return self._closed_until.get(identity, -math.inf)

    def reopen(self, identity: tuple[str, int]) -> None:
        """Records that permits may be had again, after a change."""
        self._closed_until.pop(identity, None)

    def get(self, identity: tuple[str, int]) -> RateLimit | None:
        """Returns what is known of an upstream, or None."""
        return self._limits.get(identity)

    def trim(self, names_in_use: Container[str], now: float) -> None:
        """Removes limits that ended long ago, and those above `LIMITS_MAX`."""
        for identity, held in list(self._limits.items()):
            if held.per_s is None and now - held.named_at > ENDED_KEPT_S:
                self._remove(identity)
        excess = len(self._limits) - LIMITS_MAX
        if excess > 0:
            order = sorted(
                self._limits,
                key=lambda i: (i[0] in names_in_use, self._limits[i].named_at),
            )
            for identity in order[:excess]:
                self._remove(identity)
        if len(self._closed_until) > LIMITS_MAX:
            self._closed_until.clear()

    def _remove(self, identity: tuple[str, int]) -> None:
        del self._limits[identity]
        self._closed_until.pop(identity, None)
