"""Graceful shutdown of an entry instance."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
from loguru import logger

from applespring.clock import wait_until
from applespring.core.drain import Drain, DrainState, WorkKind
from applespring.core.errors import RefusalError
from applespring.core.reason import SHUTTING_DOWN
from applespring.core.verdict import Verdict

# Time to write the refusals to callers once the drain limit is reached.
FINAL_ANSWERS_TIMEOUT_S = 1.0
HANDOVER_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0


class TrackedWork:
    """One request, stream or forwarded call in flight.

    Attributes:
        kind: Whether it is a request, a stream or a forwarded call.
        read_verdict: Returns the verdict that would be true if it ended now.
        refuse: Cancels it and sends the refusal as its final answer.
    """

    __slots__ = ("kind", "read_verdict", "refuse")

    def __init__(
        self,
        kind: WorkKind,
        read_verdict: Callable[[], Verdict],
        refuse: Callable[[RefusalError], None],
    ) -> None:
        self.kind = kind
        self.read_verdict = read_verdict
        self.refuse = refuse


class DrainService:
    """Runs the phases of a shutdown and the callbacks between them.

    The callbacks of `on_leaving` run when the shutdown starts. Those of
    `on_closing` run when the grace period ends: new work is refused from then
    on and connections close after their response. Those of `on_idle` run when
    no work is left or the drain limit has passed, to hand over state.

    Attributes:
        drain: Phase and work counts of the shutdown.
        refused: Number of requests refused because the drain limit was reached.
        abandoned: Number of requests still unanswered
            `FINAL_ANSWERS_TIMEOUT_S` after the drain limit.
    """

    __slots__ = (
        "drain",
        "refused",
        "abandoned",
        "_clock",
        "_work",
        "_leaving_callbacks",
        "_closing_callbacks",
        "_idle_callbacks",
        "_started",
        "_idle",
    )

    def __init__(
        self,
        drain: Drain,
        *,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.drain = drain
        self.refused = 0
        self.abandoned = 0
        self._clock = clock
        self._work: set[TrackedWork] = set()
        self._leaving_callbacks: list[Callable[[], None]] = []
        self._closing_callbacks: list[Callable[[], None]] = []
        self._idle_callbacks: list[Callable[[], Awaitable[None]]] = []
        self._started = anyio.Event()
        self._idle = anyio.Event()

    def on_leaving(self, callback: Callable[[], None]) -> None:
        """Adds a callback that runs once, at the start of the shutdown."""
        self._leaving_callbacks.append(callback)

    def on_closing(self, callback: Callable[[], None]) -> None:
        """Adds a callback that runs once, after the grace period."""
        self._closing_callbacks.append(callback)

    def on_idle(self, callback: Callable[[], Awaitable[None]]) -> None:
        """Adds a callback that runs once no work is left.

        All of them together get `HANDOVER_TIMEOUT_S`.
        """
        self._idle_callbacks.append(callback)

    def start(self) -> None:
        """Starts the shutdown; any further call is only logged."""
        if not self.drain.start(self._clock()):
            logger.info(
                "signal ignored: the instance is already draining"
                " ({} signals received)",
                self.drain.signals,
            )
            return
        logger.info(
            "drain started with {} requests in flight", self.drain.in_flight
        )
        self._run_callbacks(self._leaving_callbacks)
        self._started.set()

    @contextmanager
    def track(self, work: TrackedWork) -> Iterator[None]:
        """Counts work as in flight until the `with` block ends.

        Raises:
            RefusalError: SHUTTING_DOWN, the grace period is over.
        """
        if not self.drain.accepts:
            raise RefusalError(
                SHUTTING_DOWN, Verdict.NOT_RUN, retry_after_s=RETRY_AFTER_S
            )
        self.drain.add(work.kind)
        self._work.add(work)
        try:
            yield
        finally:
            self._work.discard(work)
            self.drain.remove(work.kind)
            self._advance()

    async def run(self) -> None:
        """Waits for `start`, then returns when the shutdown is complete."""
        await self._started.wait()
        while self.drain.advance(self._clock()) is DrainState.GRACE:
            await wait_until(self.drain.grace_ends_at, self._clock)
        self._advance()
        self._run_callbacks(self._closing_callbacks)
        remaining_s = max(0.0, self.drain.limit_at - self._clock())
        with anyio.move_on_after(remaining_s):
            await self._idle.wait()
        if self._work:
            self._refuse_remaining()
            with anyio.move_on_after(FINAL_ANSWERS_TIMEOUT_S):
                await self._idle.wait()
        self.abandoned = len(self._work)
        with anyio.move_on_after(HANDOVER_TIMEOUT_S):
            await self._run_idle_callbacks()
        self.drain.finish()
        logger.info(
            "drain complete: {} requests refused at the drain limit, {} left"
            " unanswered",
            self.refused,
            self.abandoned,
        )

    def _advance(self) -> None:
        if self.drain.advance(self._clock()) is DrainState.DONE:
            self._idle.set()

    def _refuse_remaining(self) -> None:
        for work in tuple(self._work):
            verdict = work.read_verdict()
            retry_after_s = RETRY_AFTER_S
            if verdict is not Verdict.NOT_RUN:
                retry_after_s = None
            self.refused += 1
            work.refuse(
                RefusalError(
                    SHUTTING_DOWN,
                    verdict,
                    "The instance reached its drain limit of"
                    f" {self.drain.limit_s:g} s.",
                    retry_after_s=retry_after_s,
                )
            )

    async def _run_idle_callbacks(self) -> None:
        for callback in self._idle_callbacks:
            try:
                await callback()
            except Exception:  # noqa: BLE001
                logger.exception("an idle callback of the drain failed")

    def _run_callbacks(self, callbacks: list[Callable[[], None]]) -> None:
        for callback in callbacks:
            try:
                callback()
            except Exception:  # noqa: BLE001
                logger.exception(
                    "a leaving or closing callback of the drain failed"
                )
