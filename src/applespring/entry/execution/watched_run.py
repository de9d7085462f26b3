"""What the crash watch needs to know of runs and upstreams."""

from collections.abc import Sequence

import orjson

from applespring.core.crash_culprits import REQUEST_POSITION, piece_candidate
from applespring.core.fingerprint import fingerprint_request
from applespring.core.fleet import Upstream
from applespring.core.membership import DispatchCheck, Membership
from applespring.core.request import Request
from applespring.core.verdict import Verdict
from applespring.entry.execution.gates import Clock
from applespring.entry.execution.progress import Progress

# Largest Retry-After of a quarantined request, as a share of the time until its
# deadline.
RETRY_AFTER_SHARE = 0.3
MS_PER_S = 1000


class RunExchange:
    """State of a run that decides how it may be refused.

    Attributes:
        request_id: Id of the request.
        deadline_at: Its deadline.
        started: Whether tokens may have been sent to the caller.
        ended: Always False, since a run that has ended is not watched.
    """

    __slots__ = ("request_id", "deadline_at", "started", "ended", "_progress")

    def __init__(self, req: Request, progress: Progress) -> None:
        self.request_id = req.request_id
        self.deadline_at = req.deadline_at
        self.started = False
        self.ended = False
        self._progress = progress

    @property
    def sent(self) -> bool:
        """Whether a call with an effect may have been executed."""
        return self._progress.verdict is not Verdict.NOT_RUN


class StartedUpstream:
    """An upstream at the time of a crash.

    The list of instances need not tell the starts of an upstream apart, so the
    time of the call does.

    Attributes:
        name: Its name.
        address: `IP:port`.
        identity: Its name, and when the call broke off, in milliseconds.
    """

    __slots__ = ("name", "address", "identity")

    def __init__(self, upstream: Upstream, now: float) -> None:
        self.name = upstream.name
        self.address = upstream.address
        self.identity = (upstream.name, round(now * MS_PER_S))


class UsableUpstreams:
    """The upstreams that may get calls, as `CrashWatch` needs them."""

    __slots__ = ("_membership", "_clock")

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock

    def is_ready(self, name: str) -> bool:
        """Returns whether an upstream is not leaving."""
        check = self._membership.check_dispatch(name, self._clock())
        return check in (DispatchCheck.OK, DispatchCheck.STALE)

    def is_listed(self, identity: tuple[str, int]) -> bool:
        """Returns True, since the list does not tell starts apart."""
        del identity
        return True


def fingerprint_of_run(req: Request) -> str:
    """Returns the fingerprint of a request of the JSON interface."""
    body = orjson.dumps(req.payload, option=orjson.OPT_SORT_KEYS)
    return fingerprint_request("", "", req.pipeline.encode(), req.account, body)


def stage_candidates(
    fingerprint: str, position: int
) -> Sequence[tuple[str, int]]:
    """Returns what the crash of an upstream of a stage may be held against.

    Args:
        fingerprint: Fingerprint of the request.
        position: Position of the stage in its pipeline.
    """
    return [(piece_candidate(fingerprint, position, 0), REQUEST_POSITION)]
