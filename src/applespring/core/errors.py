"""The exceptions of the system."""

import enum

from applespring.core.reason import Reason
from applespring.core.verdict import Verdict


class ApplespringError(Exception):
    """Base class of the system's own exceptions."""


class RefusalError(ApplespringError):
    """A request that gets a refusal instead of an answer.

    Attributes:
        reason: Reason with its code, see `applespring.core.reason`.
        verdict: Whether any submission of the request's key may have run.
        submission_verdict: Whether this submission may have run.
        stage: Name of the stage that led to the refusal, or "" at arrival.
        retry_after_s: Seconds after which the caller should retry, or None.
        retry_after_known: Whether that is when the upstreams said they take
            requests again, so that a shorter time would be wrong.
        detail: One sentence about this occurrence, else the reason's title.
        stages: Verdict of each stage that was attempted, by name.
    """

    def __init__(
        self,
        reason: Reason,
        verdict: Verdict,
        detail: str = "",
        *,
        stage: str = "",
        retry_after_s: float | None = None,
        retry_after_known: bool = False,
        submission_verdict: Verdict | None = None,
    ) -> None:
        super().__init__(f"{reason.code}: {detail or reason.title}")
        self.reason = reason
        self.verdict = verdict
        if submission_verdict is None:
            submission_verdict = verdict
        self.submission_verdict = submission_verdict
        self.stage = stage
        self.retry_after_s = retry_after_s
        self.retry_after_known = retry_after_known
        self.detail = detail or reason.title
        self.stages: dict[str, Verdict] = {}


class FailureKind(enum.Enum):
    """How a stage call failed.

    WITHDRAWN: nothing was written, because the upstream may not receive new
    work now; it is no sign of a fault of the upstream.
    """

    CONNECT = "connect"
    REFUSED = "refused"
    RESET = "reset"
    TIMEOUT = "timeout"
    STATUS = "status"
    MISMATCH = "mismatch"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"
    WITHDRAWN = "withdrawn"


class StageError(ApplespringError):
    """One attempt of a stage call that did not yield a complete result.

    Attributes:
        kind: How the attempt failed.
        verdict: Whether the upstream may have executed the call.
        upstream: Name of the upstream.
        detail: What happened, for the log and the answer.
        retry_after_s: Retry-After of the upstream in seconds, or None.
    """

    def __init__(
        self,
        kind: FailureKind,
        verdict: Verdict,
        upstream: str,
        detail: str = "",
        *,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{upstream}: {kind.value}: {detail}")
        self.kind = kind
        self.verdict = verdict
        self.upstream = upstream
        self.detail = detail
        self.retry_after_s = retry_after_s


class MessageError(ApplespringError):
    """A message from a peer or the platform that cannot be decoded."""


class SettingsError(ApplespringError):
    """A process setting that is unknown, malformed or out of range."""


class ResultError(ApplespringError):
    """A result that is incomplete or belongs to another call.

    Attributes:
        kind: MISMATCH or TRUNCATED.
    """

    def __init__(self, kind: FailureKind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind
