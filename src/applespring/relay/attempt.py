"""Log line, metric and errors of one attempt at an upstream."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from loguru import logger

from applespring.core.catalog import ListedUpstream
from applespring.core.errors import FailureKind, StageError
from applespring.core.verdict import Verdict
from applespring.quarantine.crash_watch import (
    CrashWatch,
    WatchedRequest,
    is_broken_off,
)
from applespring.relay.exchange import Exchange
from applespring.relay.metrics import RelayMetrics
from applespring.relay.state import RelayState

CANCELLED = "cancelled"


class Attempt:
    """Result of one attempt, updated while it runs.

    Attributes:
        outcome: How it ended, for the log and the metrics.
        failed: Whether selectors should avoid the upstream for a time.
        turned_away: Whether the upstream took no requests, as it had said or as
            it said in its answer. That shows nothing about its health or speed.
        answered: Whether the upstream has sent a part of the body.
        first_event_at: When its first complete event arrived, or -1.
        progress_at: When it last did, or when the attempt began.
        sending: Whether a part of the answer is being sent to the caller.
        replaceable: Whether another upstream may still be sought.
        sending_number: How often the request was sent to this upstream, with
            this attempt.
    """

    __slots__ = (
        "outcome",
        "failed",
        "turned_away",
        "answered",
        "first_event_at",
        "progress_at",
        "sending",
        "replaceable",
        "sending_number",
    )

    def __init__(
        self, now: float, *, failed: bool = False, sending_number: int = 1
    ) -> None:
        """Sets the result of an attempt that is cancelled.

        Args:
            now: Current time.
            failed: Whether a cancelled attempt counts against the upstream.
            sending_number: How often the request was sent to this upstream,
                with this attempt.
        """
        self.outcome = CANCELLED
        self.failed = failed
        self.turned_away = False
        self.answered = False
        self.first_event_at = -1.0
        self.progress_at = now
        self.sending = False
        self.replaceable = True
        self.sending_number = sending_number

    def silent_s(self, now: float) -> float:
        """Returns for how long the upstream has sent nothing, in seconds.

        It counts as 0 while a part of the answer is sent on, since the caller
        may be slow to read it.
        """
        return 0.0 if self.sending else now - self.progress_at

    def record_progress(self, now: float) -> None:
        """Records that a part of the body arrived."""
        self.answered = True
        self.progress_at = now


@contextmanager
def watch_attempt(
    crash_watch: CrashWatch,
    watched: WatchedRequest,
    upstream: ListedUpstream,
    has_begun: Callable[[], bool],
) -> Iterator[None]:
    """Records if the upstream breaks off the attempt made in the block.

    Args:
        crash_watch: Concludes from broken attempts which upstreams ended.
        watched: The request.
        upstream: The upstream.
        has_begun: Returns whether the answer has begun.

    Raises:
        StageError: The block raised it.
    """
    evidence = crash_watch.start_attempt(watched)
    try:
        yield
    except StageError as exc:
        if is_broken_off(exc):
            begun = has_begun()
            watched.breaks += 1
            crash_watch.record_break(upstream, [] if begun else [evidence])
            logger.bind(
                event="upstream_broke_off",
                request=watched.exchange.request_id,
                upstream=upstream.name,
                begun=begun,
                candidates=watched.names,
            ).warning(
                "upstream {} broke off request {}: {}",
                upstream.name,
                watched.exchange.request_id,
                exc,
            )
        raise


@contextmanager
def record_attempt(
    attempt: Attempt,
    exchange: Exchange,
    upstream: ListedUpstream,
    state: RelayState,
    metrics: RelayMetrics,
    **fields: object,
) -> Iterator[None]:
    """Logs and counts the attempt made in the block.

    Args:
        attempt: Receives the result; the block may set it more precisely.
        exchange: The request.
        upstream: The upstream.
        state: Source of the time.
        metrics: Metrics that count the attempt.
        **fields: Further fields of the log line.

    Raises:
        StageError: No complete answer was received.
    """
    started_at = state.clock()
    remaining_s = exchange.deadline_at - started_at
    try:
        yield
    except StageError as exc:
        if (
            exc.verdict is not Verdict.NOT_RUN
            or exc.kind is FailureKind.CONNECT
        ):
            attempt.failed = True
        if exc.kind is FailureKind.WITHDRAWN:
            attempt.failed, attempt.turned_away = False, True
        if attempt.outcome == CANCELLED:
            attempt.outcome = exc.kind.value
        raise
    finally:
        metrics.attempts.inc(exchange.pool, attempt.outcome)
        now = state.clock()
        logger.bind(
            event="attempt",
            request=exchange.req.request_id,
            upstream=upstream.name,
            born_ms=upstream.born_ms,
            outcome=attempt.outcome,
            sending=attempt.sending_number,
            took_s=round(now - started_at, 4),
            silent_s=round(attempt.silent_s(now), 4),
            left_s=round(remaining_s, 3),
            **fields,
        ).info(
            "attempt at upstream {} ended: {}", upstream.name, attempt.outcome
        )
