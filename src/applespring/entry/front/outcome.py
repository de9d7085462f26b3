"""Counting of the final outcome of each submission."""

from collections.abc import Callable

from applespring.core.errors import RefusalError
from applespring.core.request import Answer, Request
from applespring.entry.monitoring.metrics import Metrics

ANSWERED = "answered"
LATE = "late"
REFUSED = "refused"
REJECTED = "rejected"
CALLER_DISCONNECTED = "caller_gone"
OUTCOMES = (ANSWERED, LATE, REFUSED, REJECTED, CALLER_DISCONNECTED)


class SubmissionRecord:
    """Counts the outcome of one submission, once.

    The instance that the caller is connected to counts the outcome. The work
    of a forwarded request is counted by the instance that executes it.
    """

    __slots__ = (
        "_metrics",
        "_clock",
        "_arrived_at",
        "_pipeline",
        "_account",
        "_counted",
    )

    def __init__(
        self,
        metrics: Metrics,
        clock: Callable[[], float],
        pipeline: str,
        account: str,
    ) -> None:
        """Initializes the record with the current time as the arrival.

        Args:
            metrics: The metrics in which the outcome is counted.
            clock: Seconds on the monotonic clock.
            pipeline: Pipeline in the request, not validated.
            account: Client account in the request, not validated.
        """
        self._metrics = metrics
        self._clock = clock
        self._arrived_at = clock()
        self._pipeline = metrics.pipeline_label(pipeline)
        self._account = metrics.account_label(account)
        self._counted = False

    def count_answer(
        self, req: Request, answer: Answer, answered_at: float
    ) -> None:
        """Counts a complete answer, as `late` if it missed the deadline.

        Args:
            req: The request.
            answer: The answer.
            answered_at: When the answer was complete, before it was sent.
        """
        in_time = answered_at <= req.deadline_at
        if self._count(ANSWERED if in_time else LATE) and req.key:
            self._metrics.keyed_requests.inc(answer.verdict.label)

    def count_refusal(self, exc: RefusalError, *, keyed: bool = False) -> None:
        """Counts a refusal, as `rejected` if the caller or a rule caused it."""
        outcome = REJECTED if exc.reason.is_caller_error else REFUSED
        if not self._count(outcome):
            return
        self._metrics.refusals.inc(
            self._pipeline, exc.reason.code, exc.verdict.label
        )
        if keyed:
            self._metrics.keyed_requests.inc(exc.verdict.label)

    def count_disconnect(self) -> None:
        """Counts a caller that disconnected before its final answer."""
        if self._count(CALLER_DISCONNECTED):
            self._metrics.events.inc("caller_gone")

    def _count(self, outcome: str) -> bool:
        if self._counted:
            return False
        self._counted = True
        self._metrics.requests.inc(self._pipeline, self._account, outcome)
        self._metrics.request_s.observe(
            self._clock() - self._arrived_at, self._pipeline
        )
        return True
