"""Detection of streams that are much slower than others of their pool."""

import anyio

from applespring.core.fleet import Pool
from applespring.core.latency import DecayedMean
from applespring.entry.execution.gates import Clock

# An engine with a batch of four times its slots generates each token four
# times slower. A stream slower than that is faulty, not only under load.
TOKEN_GAP_STALL_FACTOR = 5.0
# The time to the first token includes the queue and the prefill.
FIRST_TOKEN_STALL_FACTOR = 5.0
STALL_LIMIT_MIN_S = 0.25
# Initial estimate: part of a call's expected time before its first token.
FIRST_TOKEN_SHARE = 0.1


class StreamTiming:
    """Mean times between tokens in the streams of one pool.

    Attributes:
        first_token_s: Mean time to the first token.
        token_gap_s: Mean time between two tokens.
    """

    __slots__ = ("first_token_s", "token_gap_s")

    def __init__(self, pool: Pool) -> None:
        self.first_token_s = DecayedMean(pool.expected_s * FIRST_TOKEN_SHARE)
        self.token_gap_s = DecayedMean(
            pool.expected_s / max(1, pool.max_tokens)
        )

    def stall_limit_s(self, now: float, *, started: bool) -> float:
        """Returns the time without a token after which a stream is stalled.

        Args:
            now: Seconds on the monotonic clock.
            started: Whether the stream has had its first token.
        """
        if started:
            return max(
                STALL_LIMIT_MIN_S,
                TOKEN_GAP_STALL_FACTOR * self.token_gap_s.mean(now),
            )
        return max(
            STALL_LIMIT_MIN_S,
            FIRST_TOKEN_STALL_FACTOR * self.first_token_s.mean(now),
        )


class StallDetector:
    """Measures the times between the tokens of one stream.

    Attributes:
        started: Whether a token has arrived.
    """

    __slots__ = (
        "started",
        "_timing",
        "_clock",
        "_last_at",
        "_gaps_sum_s",
        "_gap_tokens",
    )

    def __init__(self, timing: StreamTiming, clock: Clock) -> None:
        self.started = False
        self._timing = timing
        self._clock = clock
        self._last_at = clock()
        self._gaps_sum_s = 0.0
        self._gap_tokens = 0

    def record_tokens(self, tokens: int) -> None:
        """Records tokens that arrived together."""
        now = self._clock()
        gap_s = now - self._last_at
        self._last_at = now
        if not self.started:
            self.started = True
            self._timing.first_token_s.add(gap_s, now)
        else:
            self._gaps_sum_s += gap_s
            self._gap_tokens += tokens

    def record_timing(self) -> None:
        """Adds the mean gap of a stream that succeeded to the pool's timing."""
        if self._gap_tokens:
            self._timing.token_gap_s.add(
                self._gaps_sum_s / self._gap_tokens, self._clock()
            )

    async def wait_for_stall(self) -> None:
        """Returns when no token has arrived for the stall limit."""
        while (remaining_s := self._time_to_stall_s()) > 0.0:
            await anyio.sleep(remaining_s)

    def _time_to_stall_s(self) -> float:
        now = self._clock()
        limit_s = self._timing.stall_limit_s(now, started=self.started)
        return self._last_at + limit_s - now
