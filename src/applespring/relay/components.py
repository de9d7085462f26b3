"""The components of a relay instance, without servers and signal handling."""

import random
from collections.abc import Awaitable, Callable

import anyio
import httpx
from anyio.abc import TaskStatus

from applespring.core.catalog import ListedUpstream
from applespring.core.plain_choice import make_plain_choice
from applespring.peer import message
from applespring.peer.transport import Transport
from applespring.permits.broker import PermitBroker
from applespring.quarantine.crash_watch import CrashWatch
from applespring.relay.application import RelayApplication
from applespring.relay.client import UpstreamClient
from applespring.relay.cold_recorder import ColdRecorder
from applespring.relay.evacuation import EvacuationRecorder
from applespring.relay.exchange import RETRY_AFTER_SHARE
from applespring.relay.metrics import RelayMetrics
from applespring.relay.notice_recorder import NoticeRecorder
from applespring.relay.peer_sync import PeerSync
from applespring.relay.peers import Peers
from applespring.relay.permit_fleet import RelayFleet
from applespring.relay.plain import PlainForwarder
from applespring.relay.protocol import Protocol
from applespring.relay.registry import Registry
from applespring.relay.settings import RelaySettings
from applespring.relay.stage_scheduler import StageScheduler
from applespring.relay.stage_submitter import StageSubmitter
from applespring.relay.state import RelayState
from applespring.relay.streams import StreamForwarder
from applespring.relay.watch import Watcher


class RelayComponents:
    """The components that tests run in the same way as a real instance.

    Attributes:
        state: State that the components share.
        metrics: Metrics of the instance.
        peers: Messages from and to the other instances.
        scheduler: Queues of the stage pools that the instance schedules.
        watcher: Reads the registry.
        plain_choice: Chooses upstreams of plain pools.
        crash_watch: Requests and prompt parts that crash upstreams.
        application: ASGI application for callers.
        cold: Records which upstreams are cold.
    """

    def __init__(
        self,
        settings: RelaySettings,
        protocol: Protocol,
        registry: Registry,
        transport: Transport,
        clock: Callable[[], float],
        incarnation: int,
        make_transport: Callable[[ListedUpstream], httpx.AsyncBaseTransport],
        refuses_connections: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.state = RelayState(settings, clock)
        self.metrics = RelayMetrics()
        self.peers = Peers(
            settings.name,
            incarnation,
            settings.failure_domain,
            settings.peer_address,
            settings.link_mbps,
            self.state.peer_table,
            transport,
            clock,
            random.Random(f"{settings.name} {incarnation}"),
        )
        self.peers.seeds = settings.seeds
        self.cold = ColdRecorder(self.state, self.metrics)
        self._permits = PermitBroker(
            RelayFleet(self.state, self.peers),
            self.state.notices.limits,
            clock,
            self.metrics.permits.inc,
            self.metrics.state_changes.inc,
            self.cold.report,
        )
        self.cold.set_permits(self._permits)
        self.peers.register_handler(message.PermitRequest, self._permits.grant)
        self.peers.set_limit_exchange(
            self._permits.list_limits, self._permits.receive
        )
        self.peers.set_cold_exchange(
            self._permits.list_cold, self._permits.receive_cold
        )
        plain_choice = make_plain_choice(
            settings.choice, settings.name, self.metrics.choices.inc
        )
        self._client = UpstreamClient(
            protocol,
            self.state.reachability,
            NoticeRecorder(
                self.state,
                self.metrics,
                self._permits.announce,
                plain_choice.record_load,
                self.cold,
            ),
            self._permits,
            clock,
            make_transport,
        )
        self.crash_watch = CrashWatch(
            self.state,
            self.peers,
            refuses_connections,
            self.metrics.state_changes.inc,
            clock,
            retry_after_share=RETRY_AFTER_SHARE,
            on_end=self.cold.record_refusal,
        )
        self.peers.set_crash_receiver(
            lambda gossip: self.crash_watch.receive(
                gossip.crashes, gossip.histories
            )
        )
        self.peers.register_handler(message.Trial, self.crash_watch.grant_trial)
        self.scheduler = StageScheduler(
            self.state,
            self.peers,
            self._client,
            self._permits,
            protocol,
            self.crash_watch,
            self.metrics,
        )
        self._submitter = StageSubmitter(self.state, self.peers)
        plain = PlainForwarder(
            self.state,
            self._client,
            self._permits,
            protocol,
            self.peers,
            self.crash_watch,
            self.metrics,
            plain_choice,
        )
        streams = StreamForwarder(
            self.state,
            self._client,
            self._permits,
            protocol,
            self.peers,
            self._submitter,
            self.crash_watch,
            self.metrics,
        )
        self.plain_choice = plain_choice
        self.application = RelayApplication(
            self.state, protocol, plain, streams, self.metrics
        )
        evacuations = EvacuationRecorder(
            self.state,
            self.peers,
            self.scheduler,
            self.metrics,
            self.cold.begin_domain,
        )
        self.watcher = Watcher(
            self.state,
            registry,
            self.peers,
            plain,
            self.scheduler,
            evacuations,
            self.cold,
            self.metrics,
            random.Random(f"watch {settings.name} {incarnation}"),
        )
        self._peer_sync = PeerSync(
            self.state, self.peers, self.watcher, evacuations, self.metrics
        )

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs all components until cancelled.

        `task_status` reports the start once messages of peers are received.
        """
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.peers.run)
            tasks.start_soon(self._permits.run)
            tasks.start_soon(self.scheduler.run)
            tasks.start_soon(self._submitter.run)
            tasks.start_soon(self.crash_watch.run)
            tasks.start_soon(self.watcher.run)
            tasks.start_soon(self._peer_sync.run)
            task_status.started()
