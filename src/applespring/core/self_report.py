"""What an upstream says of itself in the head of an answer.

Both interfaces decode it from headers of their own; the rules for the values
are the same.
"""

import re
from collections.abc import Sequence

# Longest pause that is accepted; a longer one is shortened to it.
PAUSE_MAX_S = 3600.0
# Statuses whose Retry-After is a pause that the upstream asks for (RFC 9110,
# 15.6.4, and RFC 6585, 4). With a redirect the header means something else.
PAUSE_STATUSES = frozenset([429, 503])
_SECONDS = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


class SelfReport:
    """What one answer says of its upstream.

    Attributes:
        leaving: Whether it says that the upstream leaves.
        pause_s: Time from the answer for which the upstream wants no requests
            of this instance, or None.
        rejected: A sentence on each value that is out of range or malformed.
    """

    __slots__ = ("leaving", "pause_s", "rejected")

    def __init__(
        self,
        *,
        leaving: bool = False,
        pause_s: float | None = None,
        rejected: Sequence[str] = (),
    ) -> None:
        self.leaving = leaving
        self.pause_s = pause_s
        self.rejected = tuple(rejected)

    @property
    def explains_refusal(self) -> bool:
        """Whether an upstream refuses for a reason that is no fault."""
        return self.leaving or self.pause_s is not None

    def __bool__(self) -> bool:
        """Whether it says anything."""
        return self.leaving or self.pause_s is not None or bool(self.rejected)


def make_self_report(
    status: int, *, leaving: bool, retry_after: str | None
) -> SelfReport:
    """Returns what an answer says of its upstream.

    A Retry-After counts only with `PAUSE_STATUSES`. One that is no decimal
    number of seconds is ignored, also a date, since clocks differ. One above
    `PAUSE_MAX_S` is shortened.

    Args:
        status: HTTP status.
        leaving: Whether a header says that the upstream leaves.
        retry_after: Value of the Retry-After header, or None.
    """
    if retry_after is None or status not in PAUSE_STATUSES:
        return SelfReport(leaving=leaving)
    if not _SECONDS.fullmatch(retry_after):
        detail = f"Retry-After {retry_after[:40]!r} is no number of seconds"
        return SelfReport(leaving=leaving, rejected=[detail])
    pause_s = float(retry_after)
    if pause_s <= PAUSE_MAX_S:
        return SelfReport(leaving=leaving, pause_s=pause_s)
    detail = (
        f"Retry-After of {pause_s:g} s exceeds {PAUSE_MAX_S:g} s, which "
        "counts instead"
    )
    return SelfReport(leaving=leaving, pause_s=PAUSE_MAX_S, rejected=[detail])
