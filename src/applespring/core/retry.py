"""Retry and hedge budget of the instance."""

TOKENS_PER_CALL = 0.1
INITIAL_TOKENS = 3.0
MAX_TOKENS = 50.0
# Tokens that hedges leave for retries, which save requests that would otherwise
# fail.
HEDGE_RESERVE_TOKENS = 2.0


class RetryBudget:
    """Token bucket filled by first attempts.

    At most `INITIAL_TOKENS + TOKENS_PER_CALL * first attempts` added attempts
    are granted in total, and at most `MAX_TOKENS` in a burst. Time does not
    refill the bucket, so an instance that was idle is bound in the same way.

    Attributes:
        calls: First attempts counted.
        granted: Added attempts granted.
        denied: Added attempts denied.
    """

    __slots__ = ("calls", "granted", "denied", "_tokens")

    def __init__(self) -> None:
        self.calls = 0
        self.granted = 0
        self.denied = 0
        self._tokens = INITIAL_TOKENS

    def on_call(self) -> None:
        """Counts a first attempt and adds `TOKENS_PER_CALL` to the bucket."""
        self.calls += 1
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_CALL)

    def try_retry(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        return self._try_take(0.0)

    def try_hedge(self) -> bool:
        """Takes a token for a hedge; returns whether there was one to spare.

        `HEDGE_RESERVE_TOKENS` stay in the bucket.
        """
        return self._try_take(HEDGE_RESERVE_TOKENS)

    def refund(self) -> None:
        """Puts back the token of an added attempt that was never sent."""
        self.granted -= 1
        self._tokens = min(MAX_TOKENS, self._tokens + 1.0)

    def _try_take(self, reserve: float) -> bool:
        # The tolerance absorbs the rounding error of ten additions of 0.1.
        if self._tokens - reserve < 1.0 - 1e-9:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.granted += 1
        return True
