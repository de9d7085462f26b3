"""The monotonic clock of the programs."""

import time


def read_clock() -> float:
    """Returns monotonic seconds, including those the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
