"""Composition root: creates and connects the components of an instance."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpx

from applespring.config.document import load_document
from applespring.core.caller_memory import CallerMemory
from applespring.core.drain import Drain
from applespring.core.fleet import Fleet
from applespring.core.key_table import KeyTable
from applespring.core.membership import DispatchCheck, Membership
from applespring.core.order import OrderPlanner
from applespring.core.owner import Ownership
from applespring.core.request import Answer, Request
from applespring.core.retry import RetryBudget
from applespring.core.revision import RevisionTracker
from applespring.core.self_report import SelfReport
from applespring.entry.drain import DrainService
from applespring.entry.execution.calls import Guard, UpstreamClient
from applespring.entry.execution.gates import Clock, Gates
from applespring.entry.execution.permits import CallPermits
from applespring.entry.execution.runner import PipelineRunner
from applespring.entry.execution.stage import StageRunner
from applespring.entry.execution.watched_run import (
    RETRY_AFTER_SHARE,
    UsableUpstreams,
)
from applespring.entry.external.config import ConfigService
from applespring.entry.external.engines import (
    CONTROL_TIMEOUT_S,
    ControlClient,
    EngineService,
)
from applespring.entry.external.members import MemberService
from applespring.entry.external.platform import PlatformClient
from applespring.entry.front.app import Application
from applespring.entry.front.components import Components
from applespring.entry.mesh.crash_peers import CrashPeers
from applespring.entry.mesh.keys import KeyService
from applespring.entry.mesh.peering import (
    ConfigPeerLink,
    ConfigPeerMessages,
    Peering,
)
from applespring.entry.mesh.peers import PeerService
from applespring.entry.mesh.permit_fleet import EntryFleet
from applespring.entry.mesh.sharing import Sharing
from applespring.entry.monitoring.metrics import Metrics
from applespring.entry.monitoring.scrape import StateReader
from applespring.entry.settings import Settings
from applespring.peer.message import CrashReport, PermitRequest, Trial
from applespring.peer.transport import Transport
from applespring.permits.broker import PermitBroker
from applespring.quarantine.crash_watch import CrashWatch
from applespring.serving.figures import CallerFigures
from applespring.serving.limits import CALLER_MEMORY_SHARE

DOCUMENT_NAME = "fleet.toml"
REQUEST_ID_BITS = 64
INCARNATION_BITS = 63
KEY_DRAIN_TIMEOUT_S = 10.0


class ExternalConnections:
    """Connections, clocks and randomness that an instance gets from outside.

    Attributes:
        pooled: HTTP client that keeps connections to upstreams open.
        single: HTTP client that opens a new connection for each call.
        control: HTTP client for control calls to upstreams.
        platform: HTTP client whose base URL is the platform.
        transport: Sends and receives the messages of entry instances.
        clock: Returns monotonic seconds, also counted while the process is
            paused.
        wall_clock: Returns seconds since the Unix epoch.
        rng: Random numbers; a seeded one makes runs repeatable.
    """

    __slots__ = (
        "pooled",
        "single",
        "control",
        "platform",
        "transport",
        "refuses_connections",
        "clock",
        "wall_clock",
        "rng",
    )

    def __init__(
        self,
        *,
        pooled: httpx.AsyncClient,
        single: httpx.AsyncClient,
        control: httpx.AsyncClient,
        platform: httpx.AsyncClient,
        transport: Transport,
        refuses_connections: Callable[[str], Awaitable[bool]],
        clock: Clock,
        wall_clock: Clock,
        rng: random.Random,
    ) -> None:
        self.pooled = pooled
        self.single = single
        self.control = control
        self.platform = platform
        self.transport = transport
        self.refuses_connections = refuses_connections
        self.clock = clock
        self.wall_clock = wall_clock
        self.rng = rng


class Instance:
    """One entry instance.

    Attributes:
        incarnation: Random number that identifies this process; never 0.
        membership: Listed instances and the evidence that upstreams serve.
        config: Reads configuration documents and decides on them.
        members: Reads instance lists and collects leaving notices.
        peers: Exchanges messages with other entry instances.
        keys: Runs keyed requests at most once.
        gates: Admission and queues of all pools.
        drain: Runs the graceful shutdown.
        crash_watch: Requests that crash upstreams.
        app: The ASGI application that serves callers.
        caller_figures: What callers use, for the metrics.
        retry_budget: Limits the attempts of a stage beyond the first.
        stage_class: Runs single stages; baselines of the benchmark replace it.
        runner_class: Runs pipelines; baselines of the benchmark replace it.
    """

    stage_class: type[StageRunner] = StageRunner
    runner_class: type[PipelineRunner] = PipelineRunner

    def __init__(
        self,
        settings: Settings,
        external: ExternalConnections,
        policy: str = "two_choices",
    ) -> None:
        """Creates and connects the components; nothing runs before `run`.

        Args:
            settings: The checked settings.
            external: Connections, clocks and randomness.
            policy: Name of the load-balancing policy of all gates.
        """
        self.settings = settings
        self._external = external
        clock, rng = external.clock, external.rng
        self.incarnation = rng.getrandbits(INCARNATION_BITS) | 1
        self.metrics = Metrics()
        self._memory = CallerMemory(
            int(CALLER_MEMORY_SHARE * settings.memory_bytes)
        )
        self.caller_figures = CallerFigures(self._memory)
        self.membership = Membership()
        self.gates = Gates(settings.failure_domain, clock, rng, policy)
        self.drain = DrainService(
            Drain(settings.drain_grace_s, settings.drain_limit_s), clock=clock
        )
        self.peers = PeerService(
            settings.name,
            self.incarnation,
            settings.failure_domain,
            external.transport,
            clock,
            rng,
        )
        self.crash_watch = self._make_crash_watch()
        self._make_services()
        self._make_runner()
        self._subscribe_services()
        self.app = Application(self._make_components())

    async def run(self, on_started: Callable[[], None] = lambda: None) -> None:
        """Runs the background tasks until cancelled.

        Args:
            on_started: Called when peers can connect and keyed requests run.
        """
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.keys.run)
            await tasks.start(self.peers.run)
            on_started()
            for service in (
                self.config.run,
                self.members.run,
                self.gates.run,
                self._sharing.run,
                self._engines.run,
                self._peering.run,
                self._broker.run,
                self.crash_watch.run,
            ):
                tasks.start_soon(service)

    def readiness(self) -> tuple[bool, str]:
        """Returns whether the load balancer should send requests, and why."""
        if not self.drain.drain.is_ready:
            return False, self.drain.drain.state.value
        if not self.config.is_ready or self.fleet() is None:
            return False, "no configuration yet"
        # The instance list is evidence only for upstreams of the document in
        # force. Until the list has been read with that document, every request
        # would be refused.
        if not self._sharing.found_upstream:
            return False, "no usable upstream yet"
        return True, f"revision {self.config.tracker.revision}"

    def fleet(self) -> Fleet | None:
        """Returns the configuration in force, or None before the first one."""
        return self.config.tracker.fleet

    def describe(self) -> dict[str, Any]:
        """Returns the body of `/v1/status`, which operators read."""
        ready, why = self.readiness()
        tracker = self.config.tracker
        listed = self.membership.listed
        now = self._external.clock()
        return {
            "name": self.settings.name,
            "incarnation": f"{self.incarnation:x}",
            "failure_domain": self.settings.failure_domain,
            "ready": ready,
            "readiness": why,
            "drain": self.drain.drain.state.value,
            "in_flight": self.drain.drain.in_flight,
            "config_revision": tracker.revision,
            "list_revision": listed.revision,
            "list_state": self.membership.read_state.value,
            "peers_heard": sorted(self.peers.received_heartbeats),
            "pools": {
                name: {
                    "busy": round(gate.busy(now), 3),
                    "queued": len(gate),
                    "expected_s": round(gate.expected_s(now), 4),
                    "usable": sorted(self.membership.usable(name, now)),
                }
                for name, gate in self.gates.all_gates().items()
            },
        }

    def _make_services(self) -> None:
        external, settings = self._external, self.settings
        clock, rng = external.clock, external.rng
        self._platform_client = platform = PlatformClient(external.platform)
        self._broker = PermitBroker(
            EntryFleet(self.membership, self.peers),
            self.membership.notices.limits,
            clock,
            lambda _, outcome: self.metrics.events.inc(f"permit_{outcome}"),
            self.metrics.events.inc,
        )
        self.peers.register(PermitRequest, self._broker.grant)
        self.peers.on_heartbeat(
            lambda heartbeat: self._broker.receive(heartbeat.limits)
        )
        self._permits = CallPermits(
            self._broker,
            self.membership,
            lambda: self._sharing.close_limited(),
            self.metrics.events.inc,
            clock,
        )
        control = ControlClient(
            external.control,
            lambda name: self.membership.is_paused(name, clock()),
            self._record_control_report,
            self._permits,
        )
        self.members = MemberService(
            self.membership,
            platform,
            control,
            settings.failure_domain,
            rng,
            clock=clock,
        )
        self.config = ConfigService(
            RevisionTracker(_validate),
            platform,
            ConfigPeerLink(self.peers),
            ConfigPeerMessages(),
            self._peer_names,
            rng,
            wait_members=self.members.wait_first_read,
            clock=clock,
        )
        self._key_table = KeyTable()
        self.keys = KeyService(
            self.peers,
            Ownership(
                settings.name,
                self.incarnation,
                settings.failure_domain,
                clock(),
            ),
            self._key_table,
            clock=clock,
            unix_clock=external.wall_clock,
            random_bytes=rng.randbytes,
            execute_forwarded=self._run_forwarded,
        )
        self._order_planner = OrderPlanner(settings.name, clock())
        self._engines = EngineService(
            control,
            self.gates,
            self._order_planner,
            self.fleet,
            lambda: self.config.confirmed_at,
            self._instances_by_domain,
            self.metrics,
            clock,
        )
        self._peering = Peering(
            self.peers,
            self.config,
            self.members,
            self.keys,
            settings.seeds,
            clock=clock,
        )
        self._sharing = Sharing(
            self.gates,
            self.peers,
            self.membership,
            self.drain,
            lambda: self.config.tracker.revision,
            clock,
            self._broker.list_limits,
        )

    def _make_crash_watch(self) -> CrashWatch:
        external = self._external
        crash_peers = CrashPeers(self.peers, external.rng)
        crash_watch = CrashWatch(
            UsableUpstreams(self.membership, external.clock),
            crash_peers,
            external.refuses_connections,
            self.metrics.events.inc,
            external.clock,
            retry_after_share=RETRY_AFTER_SHARE,
        )
        crash_peers.grant_trial = crash_watch.grant_trial

        async def receive(report: CrashReport) -> None:
            crash_watch.receive(report.crashes, report.histories)

        self.peers.register(Trial, crash_watch.grant_trial)
        self.peers.register(CrashReport, receive)
        return crash_watch

    def _make_runner(self) -> None:
        external = self._external
        client = UpstreamClient(
            external.pooled, external.single, self._record_self_report
        )
        self.retry_budget = RetryBudget()
        stages = self.stage_class(
            self.gates,
            client,
            self.retry_budget,
            external.clock,
            self._check_dispatch,
            self._wait_for_evidence,
            self.crash_watch,
            self._permits,
            self.metrics,
        )
        self.runner = self.runner_class(
            self.fleet,
            self.gates,
            stages,
            self.crash_watch,
            self.metrics,
            self._sharing.weight,
            self._wait_for_evidence,
            external.clock,
            external.wall_clock,
            self.settings.failure_domain,
            external.rng,
        )

    def _subscribe_services(self) -> None:
        self.config.subscribe(self.metrics.set_fleet)
        self.config.subscribe(self.gates.apply)
        self.config.subscribe(self.members.set_fleet)
        self.config.subscribe(self.keys.configure)
        self.config.subscribe(lambda _: self._sharing.apply())
        self.members.subscribe(self._sharing.apply)
        self.members.subscribe_reports(self._engines.record_report)
        self.peers.content = self._sharing.describe
        self.drain.on_idle(self._hand_over_keys)

    def _make_components(self) -> Components:
        rng = self._external.rng
        return Components(
            metrics=self.metrics,
            drain=self.drain,
            runner=self.runner,
            keys=self.keys,
            gates=self.gates,
            sharing=self._sharing,
            fleet=self.fleet,
            document=lambda: (
                self.config.tracker.revision,
                self.config.tracker.text,
            ),
            read_state=self._make_state_reader().read,
            readiness=self.readiness,
            describe=self.describe,
            new_id=lambda: f"{rng.getrandbits(REQUEST_ID_BITS):016x}",
            clock=self._external.clock,
            memory=self._memory,
        )

    def _make_state_reader(self) -> StateReader:
        return StateReader(
            self.metrics,
            self._external.clock,
            gates=self.gates,
            members=self.members,
            config=self.config,
            platform=self._platform_client,
            peers=self.peers,
            drain=self.drain,
            table=self._key_table,
            budget=self.retry_budget,
            planner=self._order_planner,
            callers=self.caller_figures,
            identity={
                "name": self.settings.name,
                "failure_domain": self.settings.failure_domain,
                "incarnation": f"{self.incarnation:x}",
            },
        )

    async def _hand_over_keys(self) -> None:
        """Hands over the key table, then announces that the instance leaves.

        The order matters: the handover needs the key lease, which lasts only
        while the peers regard this instance as live.
        """
        await self.keys.drain(KEY_DRAIN_TIMEOUT_S)
        self._sharing.announce_leaving()
        await self.peers.announce(("leaving", self.incarnation))

    async def _run_forwarded(self, req: Request, guard: Guard) -> Answer:
        return await self.runner.run(
            req, self.runner.create_progress(req), guard=guard
        )

    def _check_dispatch(self, upstream: str) -> DispatchCheck:
        return self.membership.check_dispatch(upstream, self._external.clock())

    async def _wait_for_evidence(self) -> None:
        """Waits for evidence from after the last pause of the process.

        Evidence from before it does not count, so until the list is read, or
        upstreams have answered probes while the platform is down, every call
        would be refused because no upstream is usable.
        """
        if self.members.has_evidence():
            return
        await self.members.wait_evidence()
        self._sharing.apply()

    def _record_control_report(self, upstream: str, report: SelfReport) -> None:
        self.members.note_pause(upstream, report)
        # Control calls end within this time.
        sent_at = self._external.clock() - CONTROL_TIMEOUT_S
        self._permits.record(upstream, report, sent_at)

    def _record_self_report(
        self, upstream: str, report: SelfReport, asked_at: float
    ) -> None:
        self.members.note_pause(upstream, report)
        self._permits.record(upstream, report, asked_at)
        if report.leaving:
            self.members.note_leaving(upstream, 0, "header")
        else:
            now = self._external.clock()
            self.membership.note_answer(upstream, asked_at, now)

    def _peer_names(self) -> list[str]:
        names = [entry.name for entry in self.membership.entries()]
        if not names:
            names = [seed.name for seed in self.settings.seeds]
        return [name for name in names if name != self.settings.name]

    def _instances_by_domain(self) -> dict[str, list[str]]:
        domains: dict[str, list[str]] = {}
        for entry in self.membership.entries():
            domains.setdefault(entry.failure_domain, []).append(entry.name)
        return domains


def _validate(text: str, revision: int) -> tuple[Fleet | None, list[Any]]:
    """Validates a document by the same function as `applespring-check`."""
    result = load_document(text, revision, DOCUMENT_NAME)
    return result.fleet, list(result.errors)
