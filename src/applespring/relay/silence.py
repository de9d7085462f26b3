"""Ends an attempt whose engine is silent, once another engine can take over.

A sound engine may send nothing for a second or so and then go on. Its stream is
therefore kept until another engine can continue it, and for as long as the
caller waits if none can.
"""

from collections.abc import Awaitable, Callable

import anyio

from applespring.core.errors import FailureKind, StageError
from applespring.core.verdict import Verdict
from applespring.relay.attempt import Attempt

# Time without bytes after which another engine is sought, and its upper bound
# as a share of the time for which the caller waits for an event.
SILENCE_LIMIT_S = 2.0
SILENCE_LIMIT_SHARE = 0.5
# Interval at which another engine is sought again.
CHECK_INTERVAL_S = 0.25
# Longest wait until the limit is read again, which may become shorter with the
# first bytes. No limit is shorter, since callers wait for 2 s at least.
LIMIT_CHECK_INTERVAL_S = 1.0


class EngineSilentError(StageError):
    """An engine was silent; another one may continue, within the budget."""


def silence_limit_s(event_wait_s: float) -> float:
    """Returns how long an engine may be silent before another one is sought.

    Args:
        event_wait_s: Time for which the caller waits for an event.
    """
    return min(SILENCE_LIMIT_S, SILENCE_LIMIT_SHARE * event_wait_s)


async def run_until_silent(
    call: Callable[[], Awaitable[None]],
    attempt: Attempt,
    upstream: str,
    limit_s: Callable[[], float],
    may_replace: Callable[[], bool],
    clock: Callable[[], float],
) -> None:
    """Runs an attempt until it ends, or its engine is silent and replaced.

    Args:
        call: Makes the attempt and records its progress.
        attempt: State of the attempt.
        upstream: Name of the engine.
        limit_s: Returns the longest silence at present, in seconds.
        may_replace: Returns whether another engine may continue now; takes the
            retry for it from the budget.
        clock: Clock in seconds.

    Raises:
        EngineSilentError: The engine was silent and the attempt was ended.
        StageError: The attempt failed.
    """
    silent_s = 0.0
    failure: Exception | None = None

    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            nonlocal silent_s
            while True:
                silence_s = clock() - attempt.progress_at
                remaining_s = limit_s() - silence_s
                if remaining_s > 0.0:
                    await anyio.sleep(min(remaining_s, LIMIT_CHECK_INTERVAL_S))
                elif may_replace():
                    silent_s = silence_s
                    attempt.outcome = FailureKind.TIMEOUT.value
                    attempt.failed = True
                    tasks.cancel_scope.cancel()
                    return
                else:
                    await anyio.sleep(CHECK_INTERVAL_S)

        tasks.start_soon(watch)
        try:
            await call()
        except Exception as exc:  # noqa: BLE001
            # Raised below, since the task group would wrap it into a group.
            failure = exc
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if silent_s:
        raise EngineSilentError(
            FailureKind.TIMEOUT,
            Verdict.MAY_HAVE_RUN,
            upstream,
            f"nothing was sent for {silent_s:.2f} s",
        )
