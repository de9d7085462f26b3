"""The clock of the programs."""

import time


def read_clock() -> float:
    """Returns seconds on a clock that advances while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
