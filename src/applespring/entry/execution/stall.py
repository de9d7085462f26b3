"""Detection of streams that advance much slower than the pool's others."""

import anyio

from applespring.core.fleet import Pool
from applespring.core.latency import DecayedMean
from applespring.entry.execution.gates import Clock

# A batch of four times the slots slows every token of an engine by four; a
# slower stream than that has a fault, not load.
STALL_FACTOR = 5.0
# The pause before the first token includes queue and prefill.
FIRST_FACTOR = 5.0
SHORTEST_S = 0.25
# Part of a call's expected time that passes before its first token.
FIRST_PART = 0.1


class StreamPace:
    """Usual pauses of the streams of one pool.

    Attributes:
        first: Seconds until the first token.
        gap: Seconds between two tokens.
    """

    __slots__ = ("first", "gap")

    def __init__(self, pool: Pool) -> None:
        self.first = DecayedMean(pool.expected_s * FIRST_PART)
        self.gap = DecayedMean(pool.expected_s / max(1, pool.max_tokens))

    def limit_s(self, now: float, *, begun: bool) -> float:
        """Returns the pause after which a stream counts as stalled."""
        if begun:
            return max(SHORTEST_S, STALL_FACTOR * self.gap.mean(now))
        return max(SHORTEST_S, FIRST_FACTOR * self.first.mean(now))


class StreamWatch:
    """Follows the pauses of one stream.

    Attributes:
        begun: Whether a token has arrived.
    """

    __slots__ = ("begun", "_pace", "_clock", "_last_at", "_pauses", "_tokens")

    def __init__(self, pace: StreamPace, clock: Clock) -> None:
        self.begun = False
        self._pace = pace
        self._clock = clock
        self._last_at = clock()
        self._pauses = 0.0
        self._tokens = 0

    def note(self, tokens: int) -> None:
        """Notes tokens that arrived together."""
        now = self._clock()
        pause_s = now - self._last_at
        self._last_at = now
        if not self.begun:
            self.begun = True
            self._pace.first.add(pause_s, now)
        else:
            self._pauses += pause_s
            self._tokens += tokens

    def finish(self) -> None:
        """Learns from a stream that ended well."""
        if self._tokens:
            self._pace.gap.add(self._pauses / self._tokens, self._clock())

    async def wait_stalled(self) -> None:
        """Waits until the stream stalls."""
        while (due_s := self._due_s()) > 0.0:
            await anyio.sleep(due_s)

    def _due_s(self) -> float:
        now = self._clock()
        limit_s = self._pace.limit_s(now, begun=self.begun)
        return self._last_at + limit_s - now
