"""The parts of one relay instance, wired, without servers and signals."""

import random
from collections.abc import Callable

import anyio
import httpx
from anyio.abc import TaskStatus

from applespring.core.catalog import ListedUpstream
from applespring.peer.transport import Transport
from applespring.relay.application import RelayApplication
from applespring.relay.catchup import CatchUp
from applespring.relay.client import UpstreamClient
from applespring.relay.keeper import Keeper
from applespring.relay.metrics import RelayMetrics
from applespring.relay.peers import Peers
from applespring.relay.plain import PlainForwarder
from applespring.relay.protocol import Protocol
from applespring.relay.registry import Registry
from applespring.relay.settings import RelaySettings
from applespring.relay.staging import Staging
from applespring.relay.state import State
from applespring.relay.streams import StreamForwarder
from applespring.relay.watch import Watcher


class RelayParts:
    """Everything of an instance that tests run too.

    Attributes:
        state: What the instance believes.
        metrics: What it counts.
        peers: The link to other instances.
        keeper: The queues that it keeps.
        watcher: Reads the registry.
        front: Answers callers; an ASGI application.
    """

    def __init__(
        self,
        settings: RelaySettings,
        protocol: Protocol,
        registry: Registry,
        transport: Transport,
        clock: Callable[[], float],
        incarnation: int,
        make_pool: Callable[[ListedUpstream, int], httpx.AsyncBaseTransport],
    ) -> None:
        self.state = State(settings, clock)
        self.metrics = RelayMetrics()
        self._client = UpstreamClient(
            protocol, self.state.reach, clock, make_pool
        )
        self.peers = Peers(
            settings.name,
            incarnation,
            settings.failure_domain,
            settings.peer_address,
            settings.link_mbps,
            self.state.peers,
            transport,
            clock,
            random.Random(f"{settings.name} {incarnation}"),
        )
        self.peers.seeds = settings.seeds
        self.keeper = Keeper(
            self.state, self.peers, self._client, protocol, self.metrics
        )
        self._staging = Staging(self.state, self.peers)
        plain = PlainForwarder(
            self.state, self._client, protocol, self.peers, self.metrics
        )
        streams = StreamForwarder(
            self.state,
            self._client,
            protocol,
            self.peers,
            self._staging,
            self.metrics,
        )
        self.front = RelayApplication(
            self.state, protocol, plain, streams, self.metrics
        )
        self.watcher = Watcher(
            self.state,
            registry,
            self.peers,
            plain,
            self.keeper,
            self.metrics,
            random.Random(f"watch {settings.name} {incarnation}"),
        )
        self._catchup = CatchUp(
            self.state, self.peers, self.watcher, self.metrics
        )

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs every part until cancelled; started when peers can be met."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.peers.run)
            tasks.start_soon(self.keeper.run)
            tasks.start_soon(self._staging.run)
            tasks.start_soon(self.watcher.run)
            tasks.start_soon(self._catchup.run)
            task_status.started()
