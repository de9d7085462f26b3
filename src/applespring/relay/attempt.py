"""One attempt at an upstream: how it went, in the log and the metrics."""

from collections.abc import Iterator
from contextlib import contextmanager

import httpx
from loguru import logger

from applespring.core.catalog import ListedUpstream
from applespring.core.errors import FailureKind, StageError
from applespring.core.verdict import Verdict
from applespring.relay.exchange import Exchange
from applespring.relay.metrics import RelayMetrics
from applespring.relay.state import RelayState

CANCELLED = "cancelled"


class Attempt:
    """How an attempt went, as far as it is known.

    Attributes:
        outcome: How it ended, for the log and the metrics.
        failed: Whether the upstream should be left alone for a time.
    """

    __slots__ = ("outcome", "failed")

    def __init__(self, *, failed: bool = False) -> None:
        """Takes what holds if the attempt is cancelled."""
        self.outcome = CANCELLED
        self.failed = failed


@contextmanager
def observe(
    attempt: Attempt,
    exchange: Exchange,
    upstream: ListedUpstream,
    state: RelayState,
    metrics: RelayMetrics,
    **fields: object,
) -> Iterator[None]:
    """Notes the end of an attempt, and names an answer that broke off.

    Args:
        attempt: Takes how it went; the block may say more.
        exchange: The request.
        upstream: The upstream.
        state: Gives the time.
        metrics: Counts the attempt.
        **fields: Further fields of the log line.

    Raises:
        StageError: No whole answer came.
    """
    began = state.clock()
    left = exchange.deadline_at - began
    try:
        yield
    except StageError as exc:
        if (
            exc.verdict is not Verdict.NOT_RUN
            or exc.kind is FailureKind.CONNECT
        ):
            attempt.failed = True
        if attempt.outcome == CANCELLED:
            attempt.outcome = exc.kind.value
        raise
    except (httpx.HTTPError, OSError, ValueError) as exc:
        attempt.failed, attempt.outcome = True, "truncated"
        raise StageError(
            FailureKind.TRUNCATED,
            Verdict.MAY_HAVE_RUN,
            upstream.name,
            type(exc).__name__,
        ) from exc
    finally:
        metrics.attempts.inc(exchange.pool, attempt.outcome)
        logger.bind(
            event="attempt",
            request=exchange.req.request_id,
            upstream=upstream.name,
            outcome=attempt.outcome,
            took_s=round(state.clock() - began, 4),
            left_s=round(left, 3),
            **fields,
        ).info("attempt ended")
