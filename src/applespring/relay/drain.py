"""Shutdown of an instance."""

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
# The process ends this long before the limit after which it is killed.
KILL_MARGIN_S = 0.7
# Time for connections to close after the last request.
CONNECTION_CLOSE_S = 0.3
POLL_INTERVAL_S = 0.05


class RelayDrain:
    """Waits for the requests to end, then stops the server."""

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

        Ends within `drain_limit_s` of the settings, even with requests left.

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
            idle = not state.requests and not self._scheduler.busy
            if took_s >= limit_s or (took_s >= BALANCER_DELAY_S and idle):
                break
            await anyio.sleep(POLL_INTERVAL_S)
        logger.bind(
            event="drained",
            took_s=round(state.clock() - started_at, 3),
            left=state.requests,
        ).info("drained; {} requests are still in progress", state.requests)
        stop_server()
        with anyio.move_on_after(CONNECTION_CLOSE_S):
            await server_stopped.wait()
