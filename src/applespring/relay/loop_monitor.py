"""Measures how late the event loop runs tasks that are due.

On a machine with little processor time, requests wait behind each other in the
event loop. The delay shows that; the processor time used does not, since the
waits add up at a low mean load too.
"""

import time
from collections import deque
from collections.abc import Callable

import anyio
from loguru import logger

# Interval between two measurements.
INTERVAL_S = 0.25
# Number of measurements that count, those of the last 3 s.
SAMPLES = 12
# Delay from which on the loop counts as overloaded. Peers give up on a reply
# after 0.4 s, and a message passes the loops of two instances.
OVERLOAD_DELAY_S = 0.1
# Share of the delay at which an overload has ended.
RECOVERED_SHARE = 0.5


class LoopMonitor:
    """Delay of the event loop of this process.

    Attributes:
        overloaded: Whether the mean delay exceeds `OVERLOAD_DELAY_S`, or has
            not fallen below `RECOVERED_SHARE` of it since.
    """

    __slots__ = ("overloaded", "_clock", "_delays_s")

    def __init__(self, clock: Callable[[], float]) -> None:
        self.overloaded = False
        self._clock = clock
        self._delays_s: deque[float] = deque(maxlen=SAMPLES)

    @property
    def mean_delay_s(self) -> float:
        """Mean delay of the last measurements, in seconds."""
        return sum(self._delays_s) / max(1, len(self._delays_s))

    @property
    def max_delay_s(self) -> float:
        """Largest delay of the last measurements, in seconds."""
        return max(self._delays_s, default=0.0)

    async def run(self) -> None:
        """Measures the delay until cancelled."""
        while True:
            due_at = self._clock() + INTERVAL_S
            await anyio.sleep(INTERVAL_S)
            self.record_delay(max(0.0, self._clock() - due_at))

    def record_delay(self, delay_s: float) -> None:
        """Adds a measurement, and logs the start or end of an overload."""
        self._delays_s.append(delay_s)
        bound_s = OVERLOAD_DELAY_S * (RECOVERED_SHARE if self.overloaded else 1)
        overloaded = self.mean_delay_s > bound_s
        if overloaded == self.overloaded:
            return
        self.overloaded = overloaded
        log = logger.bind(
            event="loop_overloaded" if overloaded else "loop_recovered",
            mean_delay_s=round(self.mean_delay_s, 4),
            max_delay_s=round(self.max_delay_s, 4),
            cpu_s=round(time.process_time(), 3),
        )
        if overloaded:
            log.warning(
                "event loop runs tasks {:.3f} s late on average, more than "
                "{:g} s",
                self.mean_delay_s,
                bound_s,
            )
        else:
            log.info(
                "event loop runs tasks {:.3f} s late on average, less than "
                "{:g} s",
                self.mean_delay_s,
                bound_s,
            )
