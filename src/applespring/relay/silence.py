"""Ends an attempt whose upstream is silent, once another one can take over.

A sound upstream may send nothing for a second or so and then go on. An attempt
therefore lasts until another upstream can continue it, and for as long as the
caller waits if none can.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from applespring.core.errors import FailureKind, StageError
from applespring.core.verdict import Verdict
from applespring.relay.attempt import Attempt

T = TypeVar("T")

# Time without bytes of a stream after which another engine is sought, and its
# upper bounds as shares of the time for which the caller waits for an event. A
# stream that has begun may break off by the change, so it is left later.
SILENCE_LIMIT_S = 2.0
SILENCE_SHARE_BEFORE_START = 0.5
SILENCE_SHARE = 0.75
# Interval at which another upstream is sought again.
CHECK_INTERVAL_S = 0.25
# Longest wait until the limit is read again, which may become shorter with the
# first bytes.
LIMIT_CHECK_INTERVAL_S = 1.0
# Shortest wait. A shorter one may not advance a clock of limited resolution.
WAIT_MIN_S = 0.001


class UpstreamSilentError(StageError):
    """An upstream was silent, and the retry at another one is granted."""


def silence_limit_s(event_wait_s: float, *, started: bool) -> float:
    """Returns how long an engine may be silent before another one is sought.

    Args:
        event_wait_s: Time for which the caller waits for an event.
        started: Whether the caller has got a part of the stream.
    """
    share = SILENCE_SHARE if started else SILENCE_SHARE_BEFORE_START
    return min(SILENCE_LIMIT_S, share * event_wait_s)


async def run_until_replaced(
    call: Callable[[], Awaitable[T]],
    attempt: Attempt,
    upstream: str,
    limit_s: Callable[[], float],
    prepare_replacement: Callable[[], Awaitable[bool]],
    clock: Callable[[], float],
) -> T:
    """Runs an attempt until it ends, or its upstream is silent and replaced.

    Args:
        call: Makes the attempt and records its progress.
        attempt: State of the attempt.
        upstream: Name of the upstream.
        limit_s: Returns the longest silence at present, in seconds.
        prepare_replacement: Returns whether another upstream may continue now,
            with all that it needs; takes the retry for it from the budget. The
            attempt goes on meanwhile.
        clock: Clock in seconds.

    Returns:
        What the call returned.

    Raises:
        UpstreamSilentError: The upstream was silent and the attempt was ended.
        StageError: The attempt failed.
    """
    result: list[T] = []
    failure: Exception | None = None
    replaced = False

    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            nonlocal replaced
            while True:
                silent_s = attempt.silent_s(clock())
                remaining_s = limit_s() - silent_s
                if remaining_s > 0.0:
                    wait_s = min(remaining_s, LIMIT_CHECK_INTERVAL_S)
                    await anyio.sleep(max(WAIT_MIN_S, wait_s))
                elif not await prepare_replacement():
                    await anyio.sleep(CHECK_INTERVAL_S)
                elif attempt.silent_s(clock()) >= silent_s:
                    replaced = True
                    attempt.outcome = FailureKind.TIMEOUT.value
                    attempt.failed = True
                    tasks.cancel_scope.cancel()
                    return

        tasks.start_soon(watch)
        try:
            result.append(await call())
        except Exception as exc:  # noqa: BLE001
            # Raised below, since the task group would wrap it into a group.
            failure = exc
        tasks.cancel_scope.cancel()
    if result:
        return result[0]
    if replaced:
        raise UpstreamSilentError(
            FailureKind.TIMEOUT,
            Verdict.MAY_HAVE_RUN,
            upstream,
            f"nothing was sent for {attempt.silent_s(clock()):.2f} s",
        ) from failure
    assert failure is not None
    raise failure
