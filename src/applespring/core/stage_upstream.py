"""What the queue of a stage pool knows of one upstream."""

import math
from collections.abc import Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.pause import FailurePause
from applespring.core.piece import Call

# Pause of an upstream that refused a call or failed it.
REFUSED_PAUSE_S = 0.1
FAILED_PAUSE_S = 0.5
FAILED_PAUSE_MAX_S = 4.0
# Pause after an upstream reported that it has no room for results.
MEMORY_FULL_PAUSE_S = 0.05
# How long a report of foreign results holds. Reports lag some hundred ms, so
# part of what they show is free already; a further refusal asks again.
UNKNOWN_RESULTS_S = 0.5
# Weight of the newest call in the estimate of an upstream's speed.
SLOWDOWN_WEIGHT = 0.3


class StageUpstream:
    """One upstream: its calls in progress, its speed and its room for results.

    Attributes:
        upstream: The upstream.
        calls: Calls in progress by number.
        pause: Until when it is not called, after a failure.
        pace: How long its calls take, as a multiple of the configured time.
    """

    __slots__ = (
        "upstream",
        "calls",
        "pause",
        "slowdown",
        "_results",
        "_in_progress_bytes",
        "_unknown_results",
    )

    def __init__(self, upstream: ListedUpstream) -> None:
        self.upstream = upstream
        self.calls: dict[int, Call] = {}
        self.pause = FailurePause(FAILED_PAUSE_S, FAILED_PAUSE_MAX_S)
        self.slowdown = 1.0
        # Size and end of each result by its handle.
        self._results: dict[str, tuple[float, float]] = {}
        self._in_progress_bytes = 0.0
        # Bytes of results that this queue did not order, and until when.
        self._unknown_results = (0.0, -math.inf)

    @property
    def failure_domain(self) -> str:
        """Failure domain of the upstream."""
        return self.upstream.failure_domain

    def used_bytes(self, now: float) -> float:
        """Returns the memory taken by results and by calls in progress."""
        for handle, (_, until) in list(self._results.items()):
            if until <= now:
                del self._results[handle]
        size, until = self._unknown_results
        unknown_bytes = size if now < until else 0.0
        known_bytes = sum(size for size, _ in self._results.values())
        return self._in_progress_bytes + known_bytes + unknown_bytes

    def start_call(self, call: Call) -> None:
        """Notes a call that is made now and books room for its results."""
        self.calls[call.number] = call
        self._in_progress_bytes += sum(p.result_bytes for p in call.pieces)

    def end_call(self, call: Call) -> bool:
        """Ends a call; returns whether it was in progress here."""
        if self.calls.pop(call.number, None) is None:
            return False
        self._in_progress_bytes -= sum(p.result_bytes for p in call.pieces)
        return True

    def reserve(self, handle: str, size: float, until: float) -> None:
        """Notes a result that takes up room."""
        self._results[handle] = (size, until)

    def release(self, handles: Sequence[str]) -> None:
        """Frees the room of results."""
        for handle in handles:
            self._results.pop(handle, None)

    def record_success(self, relative_time: float) -> None:
        """Learns from a call's time as a multiple of the configured time."""
        self.pause.succeed()
        self.slowdown += SLOWDOWN_WEIGHT * (relative_time - self.slowdown)

    def record_failure(self, now: float, *, refused: bool) -> None:
        """Pauses the upstream, longer after each failure in a row."""
        if refused:
            self.pause.until = now + REFUSED_PAUSE_S
        else:
            self.pause.fail(now)

    def record_memory_full(self, now: float) -> None:
        """Pauses the upstream since it had no room for a result."""
        self.pause.extend(now + MEMORY_FULL_PAUSE_S)

    def set_used_bytes(self, reported_bytes: float, now: float) -> None:
        """Takes the room that the upstream reports to be taken.

        What is taken beyond the queue's own results belongs to a keeper before
        this one, or to calls that were given up; it expires like any result.
        """
        self._unknown_results = (0.0, -math.inf)
        unknown_bytes = max(0.0, reported_bytes - self.used_bytes(now))
        self._unknown_results = (unknown_bytes, now + UNKNOWN_RESULTS_S)
