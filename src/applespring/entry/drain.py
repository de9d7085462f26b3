"""Graceful shutdown of the instance."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
from loguru import logger

from applespring.core.drain import Drain, DrainState, WorkKind
from applespring.core.errors import RefusalError
from applespring.core.reason import SHUTTING_DOWN
from applespring.core.verdict import Verdict

# Time for the final answers to be written after the bound.
FINAL_ANSWERS_TIMEOUT_S = 1.0
GRACE_WAIT_MIN_S = 0.001
HANDOVER_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0


class TrackedWork:
    """One request, stream or forwarded call in flight.

    Attributes:
        kind: What it is.
        read_verdict: Returns whether it may have run, as known now.
        refuse: Ends it with the refusal as its final answer.
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
    """Runs a shutdown to its end.

    The callbacks of `on_leaving` run when the shutdown begins, those of
    `on_closing` when connections are to be closed after their response, and
    those of `on_idle` when no work is left, for what must be handed over.

    Attributes:
        drain: The state of the shutdown.
        refused: Requests that got a refusal at the bound.
        abandoned: Requests still unanswered when the process gave up.
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
        """Adds a callback that announces that the instance is leaving."""
        self._leaving_callbacks.append(callback)

    def on_closing(self, callback: Callable[[], None]) -> None:
        """Adds a callback that closes connections after their response."""
        self._closing_callbacks.append(callback)

    def on_idle(self, callback: Callable[[], Awaitable[None]]) -> None:
        """Adds a callback that hands over state once no work is left."""
        self._idle_callbacks.append(callback)

    def start(self) -> None:
        """Begins the shutdown; a repeated call is only logged."""
        if not self.drain.start(self._clock()):
            logger.info("signal {} ignored: draining", self.drain.signals)
            return
        logger.info("draining with {} in flight", self.drain.in_flight)
        self._run_callbacks(self._leaving_callbacks)
        self._started.set()

    @contextmanager
    def track(self, work: TrackedWork) -> Iterator[None]:
        """Counts work as in flight while the block runs.

        Raises:
            RefusalError: If new work is no longer served.
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
        """Waits for the shutdown to begin and returns when it is done."""
        await self._started.wait()
        while self.drain.advance(self._clock()) is DrainState.GRACE:
            # A timer may fire a clock tick early, and the clock may stand
            # while the process is paused; neither may spin the event loop.
            until = self.drain.grace_ends_at
            await anyio.sleep(max(GRACE_WAIT_MIN_S, until - self._clock()))
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
            "drained: {} refused at the bound, {} abandoned",
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
                    "The instance reached its bound for draining.",
                    retry_after_s=retry_after_s,
                )
            )

    async def _run_idle_callbacks(self) -> None:
        for callback in self._idle_callbacks:
            try:
                await callback()
            except Exception:  # noqa: BLE001
                logger.exception("a callback of the shutdown failed")

    def _run_callbacks(self, callbacks: list[Callable[[], None]]) -> None:
        for callback in callbacks:
            try:
                callback()
            except Exception:  # noqa: BLE001
                logger.exception("a callback of the shutdown failed")
