"""The monotonic clock of the programs, and waits until it shows a time."""

import time
from collections.abc import Callable

import anyio

# Timers of the event loop have a resolution of a millisecond, and one that is
# rounded down fires early.
TIMER_RESOLUTION_S = 0.001


def read_clock() -> float:
    """Returns monotonic seconds, including those the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def wait_until(at: float, clock: Callable[[], float]) -> None:
    """Waits until a clock shows a time; returns at once if it does already.

    Each wait is computed from the one reading of the clock that shows that it
    is needed: computed from a later reading it may be below 0, which is an
    error. A time that is no number counts as passed.

    Args:
        at: Time by the clock, in seconds.
        clock: The clock.
    """
    while (remaining_s := at - clock()) > 0.0:
        await anyio.sleep(max(TIMER_RESOLUTION_S, remaining_s))
