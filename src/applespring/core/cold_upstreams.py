"""Upstreams that are slow for a time, and how many requests they take then.

Some pools name a rate for upstreams that are cold: after a start, or whenever
an upstream says so. The rate holds for all instances together, like a rate
limit that an upstream names (`core/rate_limits.py`), but begins and ends with
the state of the upstream.
"""

import enum
import math
from collections.abc import Container, Iterable, Mapping

from applespring.core.route import PoolSpec

# Above the 600 upstreams of the design scale. Beyond it, upstreams that are not
# listed are dropped first, then those that were recorded first.
STARTS_MAX = 2048
# An upstream gets its share of the requests only for this time after it was
# cold. It has no load then, so that every instance would prefer it, until they
# learn each other's load.
RETURN_TIME_S = 1.0
# Longest time for which an upstream may say that it is cold.
COLD_MAX_S = 3600.0


class ColdSource(enum.Enum):
    """What shows that an upstream is cold."""

    ENTRY = "entry"
    PEER = "peer"
    ANSWER = "answer"
    START = "start"
    UNREACHABLE = "unreachable"
    EVACUATION = "evacuation"
    TIME = "time"


class ColdBound:
    """What cold upstreams of a pool take from all instances together.

    Attributes:
        per_s: Requests a second that are planned for one.
        second_max: Most requests that one may get in any second.
        start_s: How long an upstream is cold after a start.
    """

    __slots__ = ("per_s", "second_max", "start_s")

    def __init__(self, per_s: float, second_max: int, start_s: float) -> None:
        self.per_s = per_s
        self.second_max = second_max
        self.start_s = start_s


class ColdChange:
    """An upstream that has become cold or warm.

    Attributes:
        name: Its name.
        born_ms: Its start.
        pool: Its pool.
        is_cold: Whether it is cold now.
        until: Until when, infinite until it has answered a request.
        source: What shows it.
    """

    __slots__ = ("name", "born_ms", "pool", "is_cold", "until", "source")

    def __init__(
        self,
        name: str,
        start: "_Start",
        is_cold: bool,
        source: ColdSource,
    ) -> None:
        self.name = name
        self.born_ms = start.born_ms
        self.pool = start.pool
        self.is_cold = is_cold
        self.until = start.until
        self.source = source


class _Start:
    """The newest known start of an upstream, and until when it is cold.

    Attributes:
        born_ms: When it was started.
        pool: Its pool.
        revision: Revision of the newest entry that says how long it is cold.
        listed_until: Until when it is cold by that entry.
        until: Until when it is cold; infinite while an answer is awaited.
        suspected_at: When it could not be reached.
        answer_s: How long it is cold after the answer that is awaited.
    """

    __slots__ = (
        "born_ms",
        "pool",
        "revision",
        "listed_until",
        "until",
        "suspected_at",
        "answer_s",
    )

    def __init__(self, born_ms: int, pool: str) -> None:
        self.born_ms = born_ms
        self.pool = pool
        self.revision = -1
        self.listed_until = -math.inf
        self.until = -math.inf
        self.suspected_at = -math.inf
        self.answer_s = 0.0


class ColdUpstreams:
    """Which upstreams are cold until when, bounded in number.

    What is known of an upstream is kept by name, for its newest start: requests
    for an earlier one may reach it too.
    """

    __slots__ = (
        "_bounds",
        "_overshoot",
        "_slack",
        "_starts",
        "_recent",
        "_reported",
    )

    def __init__(self) -> None:
        self._bounds: dict[str, ColdBound] = {}
        self._overshoot: float | None = None
        self._slack = 0.0
        self._starts: dict[str, _Start] = {}
        # Those that are cold, or have been until `RETURN_TIME_S` ago.
        self._recent: dict[str, _Start] = {}
        # Those whose last reported change is that they became cold.
        self._reported: set[str] = set()

    def __bool__(self) -> bool:
        """Whether an upstream is cold, or was until shortly before."""
        return bool(self._recent and self._bounds)

    def configure(
        self,
        pools: Iterable[PoolSpec],
        overshoot: float | None,
        slack: float,
    ) -> None:
        """Sets what cold upstreams take; without an overshoot, no bound holds.

        Args:
            pools: The pools.
            overshoot: Multiple of the cold rate that one may get in a second,
                or None.
            slack: Requests that it may get in a second on top of that.
        """
        self._overshoot, self._slack = overshoot, slack
        self._bounds = {
            pool.name: ColdBound(
                bound.per_s, bound.second_max, pool.cold_start_s
            )
            for pool in pools
            if (bound := self.make_bound(pool.cold_per_s)) is not None
        }

    def bound_of(self, pool: str) -> ColdBound | None:
        """Returns what cold upstreams of a pool take, None without a bound."""
        return self._bounds.get(pool)

    def make_bound(self, per_s: float) -> ColdBound | None:
        """Returns the bound of upstreams with a cold rate, None without one.

        One request may always be sent, also if the bound is below 1.
        """
        if self._overshoot is None or per_s <= 0.0:
            return None
        second_max = math.floor(per_s * self._overshoot + self._slack + 1e-9)
        return ColdBound(per_s, max(1, second_max), 0.0)

    def find(self, identity: tuple[str, int], now: float) -> ColdBound | None:
        """Returns what an upstream takes if it is cold, else None."""
        start = self._recent.get(identity[0])
        if start is None or start.until <= now or start.born_ms < identity[1]:
            return None
        return self._bounds.get(start.pool)

    def record_entry(
        self,
        identity: tuple[str, int],
        pool: str,
        cold_s: float | None,
        revision: int,
        now: float,
        *,
        is_new: bool = False,
        source: ColdSource = ColdSource.ENTRY,
    ) -> ColdChange | None:
        """Records how long an upstream is cold as its registry entry says.

        The time that the entry was on its way only shortens it. An entry that
        was recorded before, or is older than that, changes nothing.

        Args:
            identity: Name and start of the upstream.
            pool: Its pool.
            cold_s: How much longer it is cold, or None if its entry does not
                say.
            revision: Revision of the entry.
            now: Current time.
            is_new: Whether the start was not listed before; one whose entry
                does not say is cold for as long as its pool states.
            source: Where the entry comes from.
        """
        start = self._start(identity, pool)
        if start is None or revision <= start.revision:
            return None
        if cold_s is None:
            bound = self._bounds.get(pool)
            if not is_new or bound is None:
                return None
            cold_s, source = bound.start_s, ColdSource.START
        start.revision = revision
        start.listed_until = now + cold_s if cold_s > 0.0 else -math.inf
        return self._change(identity[0], start, start.listed_until, source, now)

    def record_report(
        self,
        identity: tuple[str, int],
        cold_s: float,
        sent_at: float,
        now: float,
    ) -> ColdChange | None:
        """Records how long an upstream is cold as an answer of it says.

        Args:
            identity: Name and start of the upstream.
            cold_s: How much longer it is cold.
            sent_at: When the request was sent that it answers.
            now: Current time.
        """
        start = self._starts.get(identity[0])
        if (
            start is None
            or start.born_ms != identity[1]
            or sent_at < start.suspected_at
        ):
            return None
        until = now + cold_s if cold_s > 0.0 else -math.inf
        return self._change(identity[0], start, until, ColdSource.ANSWER, now)

    def begin(
        self,
        identity: tuple[str, int],
        pool: str,
        now: float,
        source: ColdSource,
    ) -> ColdChange | None:
        """Treats an upstream as one that has just started.

        A newer entry of it decides again.

        Args:
            identity: Name and start of the upstream.
            pool: Its pool; nothing changes if it names no cold rate.
            now: Current time.
            source: What shows it.
        """
        bound = self._bounds.get(pool)
        start = self._start(identity, pool)
        if bound is None or start is None or bound.start_s <= 0.0:
            return None
        until = max(start.until, now + bound.start_s)
        return self._change(identity[0], start, until, source, now)

    def suspect(
        self, identity: tuple[str, int], pool: str, now: float
    ) -> ColdChange | None:
        """Records that an upstream can't be reached, as during a restart.

        Its next start may be reached before its entry was read. It counts as
        cold until a newer entry, or for a time after its next answer.

        Args:
            identity: Name and start of the upstream.
            pool: Its pool; nothing changes if it names no cold rate.
            now: Current time.
        """
        bound = self._bounds.get(pool)
        start = self._start(identity, pool)
        if bound is None or start is None or bound.start_s <= 0.0:
            return None
        start.suspected_at, start.answer_s = now, bound.start_s
        return self._change(
            identity[0], start, math.inf, ColdSource.UNREACHABLE, now
        )

    def record_answer(
        self, identity: tuple[str, int], sent_at: float, now: float
    ) -> None:
        """Records that an upstream has answered.

        Args:
            identity: Name and start of the upstream.
            sent_at: When the request was sent.
            now: Current time.
        """
        start = self._recent.get(identity[0])
        if (
            start is not None
            and start.until == math.inf
            and sent_at >= start.suspected_at
        ):
            start.until = now + start.answer_s

    def was_cold(self, identity: tuple[str, int], now: float) -> bool:
        """Returns whether an upstream was cold until shortly before."""
        start = self._recent.get(identity[0])
        return (
            start is not None
            and start.pool in self._bounds
            and 0.0 <= now - start.until < RETURN_TIME_S
        )

    def expire(self, now: float, listed: Container[str]) -> list[ColdChange]:
        """Returns the upstreams that have become warm since the last call.

        Args:
            now: Current time.
            listed: Names of the listed upstreams; those that can't be reached
                and are not listed any more are forgotten.
        """
        changes = []
        for name, start in list(self._recent.items()):
            if start.until == math.inf and name not in listed:
                start.until = now
            if start.until <= now and name in self._reported:
                self._reported.remove(name)
                changes.append(ColdChange(name, start, False, ColdSource.TIME))
            if start.until <= now - RETURN_TIME_S:
                del self._recent[name]
        excess = len(self._starts) - STARTS_MAX
        if excess > 0:
            for name in sorted(self._starts, key=lambda n: n in listed)[
                :excess
            ]:
                del self._starts[name]
                self._recent.pop(name, None)
                self._reported.discard(name)
        return changes

    def listed_s(self, identity: tuple[str, int], now: float) -> float:
        """Returns how much longer an upstream is cold by its entry."""
        start = self._starts.get(identity[0])
        if start is None or start.born_ms != identity[1]:
            return 0.0
        return max(0.0, start.listed_until - now)

    def listed(self, now: float) -> Mapping[tuple[str, int], tuple[str, int]]:
        """Returns pool and revision of the upstreams cold by their entries."""
        return {
            (name, start.born_ms): (start.pool, start.revision)
            for name, start in self._recent.items()
            if start.listed_until > now and start.pool in self._bounds
        }

    def count(self, now: float) -> int:
        """Returns how many upstreams are cold."""
        return sum(s.until > now for s in self._recent.values())

    def _start(self, identity: tuple[str, int], pool: str) -> _Start | None:
        """Returns what is known of a start, None if a newer one is known."""
        name, born_ms = identity
        start = self._starts.get(name)
        if start is None or start.born_ms < born_ms:
            start = self._starts[name] = _Start(born_ms, pool)
        if start.born_ms > born_ms:
            return None
        start.pool = pool
        return start

    def _change(
        self,
        name: str,
        start: _Start,
        until: float,
        source: ColdSource,
        now: float,
    ) -> ColdChange | None:
        """Sets until when a start is cold; returns the change of its state."""
        was_cold, is_cold = name in self._reported, until > now
        start.until = until if is_cold or not was_cold else now
        if is_cold or was_cold:
            self._recent[name] = start
        if is_cold == was_cold:
            return None
        if is_cold:
            self._reported.add(name)
        else:
            self._reported.remove(name)
        return ColdChange(name, start, is_cold, source)
