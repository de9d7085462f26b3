"""What upstreams have said of themselves, and which of them may get requests.

The one place where both interfaces record and decide it. A notice binds the
instance that got the answer, whatever the registry lists.
"""

import enum
import zlib
from collections.abc import Iterable

from applespring.core.leaving import LeavingTable
from applespring.core.pauses import PauseTable
from applespring.core.rate_limits import RateLimitTable
from applespring.core.self_report import SelfReport

# The Retry-After of callers that are refused until a pause ends is longer than
# the pause by up to this share of it, and at least up to this time, so that
# they do not all come back at the same moment.
RETURN_SPREAD_SHARE = 0.25
RETURN_SPREAD_MIN_S = 0.1
# For this time after its pause an upstream gets its share of the requests only.
# It has no load then, so that every instance would prefer it, until they learn
# each other's load, which takes up to this time.
RETURN_TIME_S = 1.0
# Source of notices from answers in the leaving table.
FROM_ANSWER = "header"


class Notice(enum.Enum):
    """Why an upstream gets no requests.

    LEAVING: it has said that it leaves.
    PAUSED: it has asked for a pause that has not ended.
    EVACUATED: an operator has evacuated its failure domain.
    """

    LEAVING = "leaving"
    PAUSED = "paused"
    EVACUATED = "evacuated"


class UpstreamNotices:
    """Notices by name and incarnation of the upstream.

    Attributes:
        leaving: Upstreams that leave, whoever says so.
        pauses: Pauses that upstreams have asked this instance for.
        limits: Rate limits that upstreams have named, to any instance.
    """

    __slots__ = ("leaving", "pauses", "limits")

    def __init__(self) -> None:
        self.leaving = LeavingTable()
        self.pauses = PauseTable()
        self.limits = RateLimitTable()

    def __bool__(self) -> bool:
        """Whether there may be a notice; without any, all checks pass."""
        return bool(len(self.leaving) or len(self.pauses) or self.limits)

    def record(
        self,
        identity: tuple[str, int],
        report: SelfReport,
        now: float,
        in_use: Iterable[str] = (),
    ) -> list[Notice]:
        """Records what an answer says of its upstream.

        Args:
            identity: Name and incarnation of the upstream that was called.
            report: What the answer says.
            now: Current time.
            in_use: Names of the listed upstreams, whose notices are kept if
                there are too many.

        Returns:
            The notices that did not apply before.
        """
        added = []
        name, incarnation = identity
        if report.leaving and self.leaving.add(
            name, incarnation, FROM_ANSWER, now
        ):
            self.leaving.trim(set(in_use))
            added.append(Notice.LEAVING)
        if report.pause_s and self.pauses.add(identity, report.pause_s, now):
            added.append(Notice.PAUSED)
        return added

    def find(self, identity: tuple[str, int], now: float) -> Notice | None:
        """Returns why an upstream gets no requests now, or None."""
        if self.leaving.is_leaving(*identity):
            return Notice.LEAVING
        if self.pauses.until(identity) > now:
            return Notice.PAUSED
        return None

    def takes_share(
        self,
        identity: tuple[str, int],
        request: str,
        upstream_count: int,
        now: float,
    ) -> bool:
        """Returns whether a request may go to an upstream.

        After its pause, and after it was cold, only its share of them may.

        Args:
            identity: Name and incarnation of the upstream.
            request: Id of the request.
            upstream_count: Number of upstreams of its pool.
            now: Current time.
        """
        was_cold = self.limits.cold.was_cold(identity, now)
        if now - self.pauses.until(identity) >= RETURN_TIME_S and not was_cold:
            return True
        return _hash_share(f"{identity[0]}\x1f{request}") * upstream_count < 1.0

    def takes_cold_share(
        self,
        identity: tuple[str, int],
        request: str,
        warm_count: int,
        now: float,
    ) -> bool:
        """Returns whether a request may go to an upstream that may be cold.

        A cold one is considered by as many requests as a warm one would get.
        It is used up to its limit as long as the warm ones get more than that.

        Args:
            identity: Name and incarnation of the upstream.
            request: Id of the request.
            warm_count: Number of upstreams of its pool that are not cold.
            now: Current time.
        """
        return (
            self.limits.cold.find(identity, now) is None
            or _hash_share(f"{identity[0]}\x1f{request}") * warm_count < 1.0
        )

    def opens_in_s(
        self,
        identities: Iterable[tuple[str, int]],
        now: float,
        *,
        limits: bool,
    ) -> float | None:
        """Returns when the first of these upstreams takes requests again.

        Args:
            identities: Name and incarnation of each.
            now: Current time.
            limits: Whether one without a permit counts as taking none.

        Returns:
            Seconds from now, 0 if one takes them now, or None if none of them
            is known to.
        """
        first_s = None
        for identity in identities:
            if self.leaving.is_leaving(*identity):
                continue
            until = self.pauses.until(identity)
            if limits:
                until = max(until, self.limits.closed_until(identity))
            wait_s = until - now
            if wait_s <= 0.0:
                return 0.0
            first_s = wait_s if first_s is None else min(first_s, wait_s)
        return first_s


def spread_return_s(
    wait_s: float, request: str, *, spread_min_s: float = RETURN_SPREAD_MIN_S
) -> float:
    """Returns the Retry-After of a request that may be served after a wait.

    It is never shorter than the wait, and differs between requests.

    Args:
        wait_s: Time until the first upstream takes requests, in seconds.
        request: Id of the request.
        spread_min_s: Least time over which requests are spread, in seconds.
    """
    spread_s = max(
        RETURN_SPREAD_MIN_S, spread_min_s, RETURN_SPREAD_SHARE * wait_s
    )
    return wait_s + _hash_share(request) * spread_s


def _hash_share(text: str) -> float:
    """Returns a number from 0 to 1 that depends on the text alone."""
    return zlib.crc32(text.encode()) / 2**32
