"""Reading of complete answers, which are held in memory for their callers."""

from collections.abc import Callable

import anyio
from loguru import logger

from applespring.core import reason
from applespring.core.caller_memory import Holding, MemoryFullError
from applespring.core.errors import RefusalError
from applespring.core.verdict import Verdict
from applespring.relay.attempt import Attempt
from applespring.relay.client import Answer
from applespring.relay.exchange import Exchange

# Longest body of an answer that is read completely.
BODY_BYTES_MAX = 8 * 1024 * 1024
# Interval at which an answer that waits for memory looks for it.
POLL_INTERVAL_S = 0.02


async def read_answer(
    exchange: Exchange,
    answer: Answer,
    attempt: Attempt,
    clock: Callable[[], float],
) -> bytes:
    """Returns the complete body of an answer.

    If the answer states its length, it waits for memory for all of it; several
    answers that are read in part could wait for each other.

    Args:
        exchange: The request.
        answer: Its answer.
        attempt: Gets the outcome if there is no memory.
        clock: Clock in seconds.

    Raises:
        StageError: The answer is not complete.
        RefusalError: There is no memory for it, and it states no length.
    """
    holding = exchange.holding
    if holding is None:
        return await answer.read(BODY_BYTES_MAX)
    size_before = holding.size
    stated = answer.stated_length
    complete = False
    try:
        if stated is None or stated > BODY_BYTES_MAX:
            body = await answer.read(
                BODY_BYTES_MAX, lambda size: holding.grow(size, clock())
            )
        else:
            await _hold_when_free(holding, stated, clock)
            body = await answer.read(BODY_BYTES_MAX)
        complete = True
        return body
    except MemoryFullError as exc:
        # The upstream has not failed.
        attempt.failed = False
        attempt.outcome = reason.MEMORY_FULL.code
        raise RefusalError(
            reason.UPSTREAM_FAILED,
            Verdict.MAY_HAVE_RUN,
            f"no memory for the answer: {exc}",
        ) from exc
    finally:
        if not complete:
            holding.shrink(holding.size - size_before)


async def _hold_when_free(
    holding: Holding, size: int, clock: Callable[[], float]
) -> None:
    """Adds bytes to a holding as soon as there is room for them."""
    while True:
        try:
            holding.grow(size, clock())
            return
        except MemoryFullError as exc:
            logger.bind(event="answer_waits").debug(
                "an answer of {} bytes waits: {}", size, exc
            )
            await anyio.sleep(POLL_INTERVAL_S)
