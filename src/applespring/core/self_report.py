"""What an upstream says of itself in the head of an answer.

Both interfaces decode it from headers of their own; the rules for the values
are the same.
"""

import math
import re
from collections.abc import Sequence

from applespring.core.cold_upstreams import COLD_MAX_S

# Final statuses of HTTP; the libraries accept others (RFC 9110, section 15).
# What has another one is no answer, and nothing in it counts.
FINAL_STATUSES = range(200, 600)
# Longest pause that is accepted; a longer one is shortened to it.
PAUSE_MAX_S = 3600.0
# Statuses whose Retry-After is a pause that the upstream asks for (RFC 9110,
# 15.6.4, and RFC 6585, 4). With a redirect the header means something else.
PAUSE_STATUSES = frozenset([429, 503])
# Highest rate limit that is kept apart from none; a higher one counts as this.
RATE_LIMIT_MAX_PER_S = 1e6
# Largest number of requests or slots that a load is believed to have.
LOAD_COUNT_MAX = 1_000_000
# Largest slowness, in percent, that a load is believed to have.
SLOWNESS_MAX = 100_000.0
_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


class LoadReport:
    """What an upstream says of its load.

    Attributes:
        running: Requests that it executes.
        waiting: Requests that wait there.
        slots: Requests that it executes at the same time.
        slowness_percent: How long work takes on its machine at this moment,
            100 as usual, or None if it does not say.
    """

    __slots__ = ("running", "waiting", "slots", "slowness_percent")

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        slowness_percent: float | None = None,
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowness_percent = slowness_percent


class SelfReport:
    """What one answer says of its upstream.

    Attributes:
        leaving: Whether it says that the upstream leaves.
        pause_s: Time from the answer for which the upstream wants no requests
            of this instance, or None.
        rate_limit: Requests a second that the upstream takes from all
            instances together, or None.
        cold_s: How much longer the upstream is cold, or None if it does not
            say.
        rate_limit_known: Whether it shows the limit in force; False if a
            malformed value leaves that open.
        refuses: Whether its status is one of `PAUSE_STATUSES`.
        load: Its load, or None if it does not say.
        rejected: A sentence on each value that is out of range or malformed.
    """

    __slots__ = (
        "leaving",
        "pause_s",
        "rate_limit",
        "rate_limit_known",
        "cold_s",
        "refuses",
        "load",
        "rejected",
    )

    def __init__(
        self,
        *,
        leaving: bool = False,
        pause_s: float | None = None,
        rate_limit: float | None = None,
        rate_limit_known: bool = False,
        cold_s: float | None = None,
        refuses: bool = False,
        load: LoadReport | None = None,
        rejected: Sequence[str] = (),
    ) -> None:
        self.leaving = leaving
        self.pause_s = pause_s
        self.rate_limit = rate_limit
        self.rate_limit_known = rate_limit_known or rate_limit is not None
        self.cold_s = cold_s
        self.refuses = refuses
        self.load = load
        self.rejected = tuple(rejected)

    @property
    def explains_refusal(self) -> bool:
        """Whether an upstream refuses for a reason that is no fault."""
        return (
            self.leaving
            or self.pause_s is not None
            or (self.refuses and self.rate_limit is not None)
        )

    def __bool__(self) -> bool:
        """Whether it says anything beside its load."""
        return (
            self.leaving
            or self.pause_s is not None
            or self.rate_limit is not None
            or self.cold_s is not None
            or bool(self.rejected)
        )


def make_self_report(
    status: int,
    *,
    leaving: bool,
    retry_after: str | None,
    rate_limits: Sequence[str] = (),
    load: str | None = None,
    cold_ms: str | None = None,
) -> SelfReport:
    """Returns what an answer says of its upstream.

    One of no final status says nothing. A Retry-After counts only with
    `PAUSE_STATUSES`. One that is no decimal number of seconds is ignored, also
    a date, since clocks differ. One above `PAUSE_MAX_S` is shortened. Of
    several rate limits the lowest counts. A load with a malformed figure is
    ignored.

    Args:
        status: HTTP status.
        leaving: Whether a header says that the upstream leaves.
        retry_after: Value of the Retry-After header, or None.
        rate_limits: Values of the headers that name a rate limit.
        load: Running and waiting requests and slots, separated by commas, and
            the slowness in percent if it is known; or None.
        cold_ms: Value of the header that says for how many milliseconds it
            stays cold, or None.
    """
    if status not in FINAL_STATUSES:
        return SelfReport()
    rejected: list[str] = []
    pause_s = None
    if retry_after is not None and status in PAUSE_STATUSES:
        pause_s = _decode_pause(retry_after, rejected)
    rate_limit = _decode_rate_limit(rate_limits, rejected)
    return SelfReport(
        leaving=leaving,
        pause_s=pause_s,
        rate_limit=rate_limit,
        rate_limit_known=rate_limit is not None or not rate_limits,
        cold_s=None if cold_ms is None else _decode_cold(cold_ms, rejected),
        refuses=status in PAUSE_STATUSES,
        load=None if load is None else _decode_load(load, rejected),
        rejected=rejected,
    )


def _decode_pause(text: str, rejected: list[str]) -> float | None:
    if not _DECIMAL.fullmatch(text):
        rejected.append(f"Retry-After {text[:40]!r} is no number of seconds")
        return None
    pause_s = float(text)
    if pause_s > PAUSE_MAX_S:
        rejected.append(
            f"Retry-After of {pause_s:g} s exceeds {PAUSE_MAX_S:g} s, which "
            "counts instead"
        )
    return min(pause_s, PAUSE_MAX_S)


def _decode_cold(text: str, rejected: list[str]) -> float | None:
    cold_s = float(text) / 1000 if _DECIMAL.fullmatch(text) else math.inf
    if cold_s <= COLD_MAX_S:
        return cold_s
    rejected.append(
        f"remaining cold time {text[:40]!r} is no number of milliseconds from "
        f"0 to {1000 * COLD_MAX_S:g}"
    )
    return None


def _decode_rate_limit(
    texts: Sequence[str], rejected: list[str]
) -> float | None:
    limits = []
    for text in texts:
        if not _DECIMAL.fullmatch(text):
            rejected.append(f"rate limit {text[:40]!r} is no decimal number")
            continue
        limit = float(text)
        if limit > RATE_LIMIT_MAX_PER_S:
            rejected.append(
                f"rate limit of {limit:g} a second exceeds "
                f"{RATE_LIMIT_MAX_PER_S:g}, which counts instead"
            )
        limits.append(min(limit, RATE_LIMIT_MAX_PER_S))
    if len(set(limits)) > 1:
        rejected.append(
            f"{len(limits)} rate limits in one answer, from {min(limits):g} to "
            f"{max(limits):g} a second; the lowest counts"
        )
    return min(limits, default=None)


def _decode_load(text: str, rejected: list[str]) -> LoadReport | None:
    figures = [figure.strip() for figure in text.split(",")]
    counts, rest = figures[:3], figures[3:4]
    if len(counts) < 3 or not all(
        re.fullmatch(r"\d{1,7}", count, re.ASCII)
        and int(count) <= LOAD_COUNT_MAX
        for count in counts
    ):
        rejected.append(
            f"load {text[:40]!r} has no three counts from 0 to {LOAD_COUNT_MAX}"
        )
        return None
    if not rest:
        return LoadReport(*map(int, counts))
    if not (
        _DECIMAL.fullmatch(rest[0])
        and 0.0 < (percent := float(rest[0])) <= SLOWNESS_MAX
    ):
        rejected.append(
            f"slowness {rest[0][:40]!r} of a load is no number above 0 and up "
            f"to {SLOWNESS_MAX:g}"
        )
        return None
    return LoadReport(*map(int, counts), percent)
