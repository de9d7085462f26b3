"""State of one upstream of a stage pool in the batch queue."""

import math
from collections.abc import Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.pause import FailurePause
from applespring.core.piece import Call

# Pause of an upstream after a refused call, and after the first of several
# failed calls in a row; the latter doubles with each further failure.
REFUSED_PAUSE_S = 0.1
FAILED_PAUSE_S = 0.5
FAILED_PAUSE_MAX_S = 4.0
# Pause of an upstream after it reported that its result memory is full.
MEMORY_FULL_PAUSE_S = 0.05
# How long a reported excess of used memory counts. Reports lag by some hundred
# ms, so part of the memory that they show as used is free already. While there
# is an excess, the next report is requested before that time is over.
UNKNOWN_RESULTS_S = 0.5
# Weight of the newest call in the moving average `StageUpstream.slowdown`.
SLOWDOWN_WEIGHT = 0.3


class StageUpstream:
    """Calls in progress, speed and result memory of one upstream.

    Attributes:
        upstream: Its registry entry.
        calls: Calls in progress by number.
        pause: Time during which it is not called, after a failure or refusal.
        closed_until: When the pause that it asked for ends, or its rate limit
            leaves room for a call; -inf if it may be called.
        calls_per_s: Calls a second that its rate limit allows, or inf.
        slowdown: Moving average of the time of its calls, as a multiple of the
            configured time.
    """

    __slots__ = (
        "upstream",
        "calls",
        "pause",
        "closed_until",
        "calls_per_s",
        "slowdown",
        "_results",
        "_in_progress_bytes",
        "_unknown_results",
    )

    def __init__(self, upstream: ListedUpstream) -> None:
        self.upstream = upstream
        self.calls: dict[int, Call] = {}
        self.pause = FailurePause(FAILED_PAUSE_S, FAILED_PAUSE_MAX_S)
        self.closed_until = -math.inf
        self.calls_per_s = math.inf
        self.slowdown = 1.0
        # Size in bytes and expiry time of each result, by handle.
        self._results: dict[str, tuple[float, float]] = {}
        self._in_progress_bytes = 0.0
        # Bytes of results that this queue did not request, and the time until
        # which they count.
        self._unknown_results = (0.0, -math.inf)

    @property
    def failure_domain(self) -> str:
        """Failure domain in which the upstream runs."""
        return self.upstream.failure_domain

    @property
    def callable_at(self) -> float:
        """When it may be called again, whatever the reason why not now."""
        return max(self.pause.until, self.closed_until)

    def used_bytes(self, now: float) -> float:
        """Returns the memory of all results, those being made included.

        Expired results are removed.
        """
        for handle, (_, until) in list(self._results.items()):
            if until <= now:
                del self._results[handle]
        known_bytes = sum(size for size, _ in self._results.values())
        return self._in_progress_bytes + known_bytes + self.unknown_bytes(now)

    def start_call(self, call: Call) -> None:
        """Adds a call and counts the memory that its results will need."""
        self.calls[call.number] = call
        self._in_progress_bytes += sum(p.result_bytes for p in call.pieces)

    def end_call(self, call: Call) -> bool:
        """Removes a call; returns False if it was not in progress here."""
        if self.calls.pop(call.number, None) is None:
            return False
        self._in_progress_bytes -= sum(p.result_bytes for p in call.pieces)
        return True

    def reserve(self, handle: str, size: float, until: float) -> None:
        """Counts the memory of a result until it expires or is released."""
        self._results[handle] = (size, until)

    def release(self, handles: Sequence[str]) -> None:
        """Frees the memory of results; unknown handles are ignored."""
        for handle in handles:
            self._results.pop(handle, None)

    def record_success(self, relative_time: float) -> None:
        """Updates the slowdown and resets the length of the next pause.

        Args:
            relative_time: Time of the call as a multiple of the configured one.
        """
        self.pause.succeed()
        self.slowdown += SLOWDOWN_WEIGHT * (relative_time - self.slowdown)

    def record_failure(
        self, now: float, *, refused: bool, unreachable: bool = False
    ) -> None:
        """Pauses the upstream, for longer after each failure in a row.

        A refusal pauses it for a fixed time, since a full upstream works. One
        that accepts no connection does not.
        """
        if refused and not unreachable:
            self.pause.until = now + REFUSED_PAUSE_S
        else:
            self.pause.fail(now)

    def record_memory_full(self, now: float) -> None:
        """Pauses the upstream after its memory did not suffice for a result."""
        self.pause.extend(now + MEMORY_FULL_PAUSE_S)

    def unknown_bytes(self, now: float) -> float:
        """Returns the memory of results that are not on record here."""
        size, until = self._unknown_results
        return size if now < until else 0.0

    def set_used_bytes(self, reported_bytes: float, now: float) -> None:
        """Records the used result memory that the upstream reports.

        Used memory beyond the results that this queue has on record belongs to
        a previous scheduler of the pool, or to calls that were given up. It is
        counted for `UNKNOWN_RESULTS_S` only, because those results expire too.
        """
        self._unknown_results = (0.0, -math.inf)
        unknown_bytes = max(0.0, reported_bytes - self.used_bytes(now))
        self._unknown_results = (unknown_bytes, now + UNKNOWN_RESULTS_S)
