"""Shutdown of an instance: no request that was read goes without an answer."""

from collections.abc import Callable

import anyio
from loguru import logger

from applespring.relay.application import RelayApplication
from applespring.relay.peers import Peers
from applespring.relay.stage_scheduler import StageScheduler
from applespring.relay.state import RelayState

# After SIGTERM new requests arrive until the load balancer has checked
# twice whether the instance is ready.
BALANCER_DELAY_S = 2.5
# The drain reaches its limit this long before the process is killed.
KILL_MARGIN_S = 0.7
# The process ends this long before it is killed, whatever is left.
EXIT_MARGIN_S = 0.2
# Time for the last answers to be sent.
FINAL_ANSWERS_S = 0.2
# Time for connections to close after the last request.
CONNECTION_CLOSE_S = 0.3
POLL_INTERVAL_S = 0.05
# Shorter, since the time to the end of the process is short too.
FINAL_POLL_INTERVAL_S = 0.01


class RelayDrain:
    """Waits for the requests to end, and refuses those left at the limit."""

    def __init__(
        self,
        state: RelayState,
        peers: Peers,
        scheduler: StageScheduler,
        application: RelayApplication,
    ) -> None:
        self._state = state
        self._peers = peers
        self._scheduler = scheduler
        self._application = application

    async def run(
        self, stop_server: Callable[[], None], server_stopped: anyio.Event
    ) -> None:
        """Drains the instance, then stops its server.

        Ends within `drain_limit_s` of the settings.

        Args:
            stop_server: Makes the server close connections that rest.
            server_stopped: Set once all of its connections are closed.
        """
        state = self._state
        started_at = state.clock()
        state.leaving = True
        self._peers.leaving = True
        await self._peers.announce()
        await self._scheduler.return_queued_pieces()
        limit_s = state.settings.drain_limit_s - KILL_MARGIN_S
        while True:
            took_s = state.clock() - started_at
            state.closed = took_s >= BALANCER_DELAY_S
            if took_s >= limit_s or (state.closed and not self._busy):
                break
            await anyio.sleep(POLL_INTERVAL_S)
        exits_in_s = state.settings.drain_limit_s - EXIT_MARGIN_S - took_s
        with anyio.move_on_after(exits_in_s):
            ended = await self._end_remaining(limit_s) if self._busy else 0
            logger.bind(
                event="drained",
                took_s=round(state.clock() - started_at, 3),
                ended=ended,
                left=state.requests,
            ).info(
                "drained; {} requests were ended at the limit, {} are still in "
                "progress",
                ended,
                state.requests,
            )
            stop_server()
            with anyio.move_on_after(CONNECTION_CLOSE_S):
                await server_stopped.wait()
            # One may have arrived meanwhile on a connection that rested.
            await self._wait_for_requests()

    @property
    def _busy(self) -> bool:
        return bool(self._state.requests) or self._scheduler.busy

    async def _end_remaining(self, limit_s: float) -> int:
        """Ends the requests that are left at the limit.

        Returns:
            The number of requests that were ended.
        """
        count = self._application.end_remaining(
            f"the instance reached its drain limit of {limit_s:.1f} s"
        )
        await self._wait_for_requests()
        return count

    async def _wait_for_requests(self) -> None:
        """Waits until the server has the last byte of each answer.

        Waits for `FINAL_ANSWERS_S` at most, and at least for a turn of the
        event loop, in which the server hands the bytes to the kernel.
        """
        with anyio.move_on_after(FINAL_ANSWERS_S):
            while True:
                await anyio.sleep(FINAL_POLL_INTERVAL_S)
                if not self._state.requests:
                    return
