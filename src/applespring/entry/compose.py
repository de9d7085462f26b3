"""The composition root: makes the parts of an instance and wires them."""

import random
from collections.abc import Callable
from typing import Any

import anyio
import httpx

from applespring.config.document import load_document
from applespring.core.drain import Drain
from applespring.core.fleet import Fleet
from applespring.core.key_table import KeyTable
from applespring.core.membership import DispatchCheck, Membership
from applespring.core.order import OrderPlanner
from applespring.core.owner import Ownership
from applespring.core.request import Answer, Request
from applespring.core.retry import RetryBudget
from applespring.core.revision import RevisionTracker
from applespring.entry.drain import DrainService
from applespring.entry.execution.calls import Guard, UpstreamClient
from applespring.entry.execution.gates import Clock, Gates
from applespring.entry.execution.runner import PipelineRunner
from applespring.entry.execution.stage import StageRunner
from applespring.entry.external.config import ConfigService
from applespring.entry.external.engines import ControlClient, EngineService
from applespring.entry.external.members import MemberService
from applespring.entry.external.platform import PlatformClient
from applespring.entry.front.app import Application
from applespring.entry.front.components import Components
from applespring.entry.mesh.keys import KeyService
from applespring.entry.mesh.peering import (
    ConfigPeerLink,
    ConfigPeerMessages,
    Peering,
)
from applespring.entry.mesh.peers import PeerService
from applespring.entry.mesh.sharing import Sharing
from applespring.entry.monitoring.metrics import Metrics
from applespring.entry.monitoring.scrape import StateReader
from applespring.entry.settings import Settings
from applespring.peer.transport import Transport

DOCUMENT_NAME = "fleet.toml"
REQUEST_ID_BITS = 64
INCARNATION_BITS = 63
HANDOVER_LIMIT_S = 10.0


class Outside:
    """What connects an instance with the world outside the process.

    Attributes:
        pooled: HTTP client that keeps connections to upstreams.
        single: HTTP client that opens a connection for each call.
        control: HTTP client for control calls to upstreams.
        platform: HTTP client whose base URL is the platform.
        transport: The link to other entry instances.
        clock: Seconds on a monotonic clock that advances while paused.
        wall_clock: Seconds since the epoch.
        rng: Source of randomness.
    """

    __slots__ = (
        "pooled",
        "single",
        "control",
        "platform",
        "transport",
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
        clock: Clock,
        wall_clock: Clock,
        rng: random.Random,
    ) -> None:
        self.pooled = pooled
        self.single = single
        self.control = control
        self.platform = platform
        self.transport = transport
        self.clock = clock
        self.wall_clock = wall_clock
        self.rng = rng


class Instance:
    """One entry instance.

    Attributes:
        settings: Its settings.
        incarnation: Random number of this process.
        metrics: Its metrics.
        membership: Its view of instances and upstreams.
        config: Keeps its configuration current.
        members: Keeps its membership view current.
        peers: Its link to other entry instances.
        keys: Runs keyed requests at most once.
        gates: The gates of all pools.
        drain: Its graceful shutdown.
        app: The HTTP application.
        budget: Bounds the added attempts.
        stage_class: Runs single stages; baselines replace it.
        runner_class: Runs pipelines; baselines replace it.
    """

    stage_class: type[StageRunner] = StageRunner
    runner_class: type[PipelineRunner] = PipelineRunner

    def __init__(
        self,
        settings: Settings,
        outside: Outside,
        policy: str = "two_choices",
    ) -> None:
        """Makes and wires the parts.

        Args:
            settings: The checked settings.
            outside: The connections with the outside.
            policy: Name of the load-balancing policy.
        """
        self.settings = settings
        self._outside = outside
        clock, rng = outside.clock, outside.rng
        self.incarnation = rng.getrandbits(INCARNATION_BITS) | 1
        self.metrics = Metrics()
        self.membership = Membership()
        self.gates = Gates(settings.failure_domain, clock, rng, policy)
        self.drain = DrainService(
            Drain(settings.drain_grace_s, settings.drain_limit_s), clock=clock
        )
        self.peers = PeerService(
            settings.name,
            self.incarnation,
            settings.failure_domain,
            outside.transport,
            clock,
            rng,
        )
        self._make_services()
        self._make_runner()
        self._connect()
        self.app = Application(self._make_parts())

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        """Runs the background tasks until cancelled.

        Args:
            started: Called when the peer link listens.
        """
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.keys.run)
            await tasks.start(self.peers.run)
            started()
            for service in (
                self.config.run,
                self.members.run,
                self.gates.run,
                self._sharing.run,
                self._engines.run,
                self._peering.run,
            ):
                tasks.start_soon(service)

    def readiness(self) -> tuple[bool, str]:
        """Returns whether the balancer should send requests, and why."""
        if not self.drain.drain.is_ready:
            return False, self.drain.drain.state.value
        if not self.config.is_ready or self.fleet() is None:
            return False, "no configuration yet"
        # The list counts as evidence only for upstreams of a known document,
        # so until it is read again every request would be refused.
        if not self._sharing.found_upstream:
            return False, "no usable upstream yet"
        return True, f"revision {self.config.tracker.revision}"

    def fleet(self) -> Fleet | None:
        """Returns the configuration in force, or None."""
        return self.config.tracker.fleet

    def describe(self) -> dict[str, Any]:
        """Returns the status for operators."""
        ready, why = self.readiness()
        tracker = self.config.tracker
        listed = self.membership.listed
        now = self._outside.clock()
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
            "peers_heard": sorted(self.peers.heard),
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
        outside, settings = self._outside, self.settings
        clock, rng = outside.clock, outside.rng
        self._platform = platform = PlatformClient(outside.platform)
        control = ControlClient(outside.control)
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
            unix_clock=outside.wall_clock,
            random_bytes=rng.randbytes,
            execute_forwarded=self._run_forwarded,
        )
        self._planner = OrderPlanner(settings.name, clock())
        self._engines = EngineService(
            control,
            self.gates,
            self._planner,
            self.fleet,
            lambda: self.config.confirmed_at,
            self._entries_by_domain,
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
        )

    def _make_runner(self) -> None:
        outside = self._outside
        client = UpstreamClient(
            outside.pooled, outside.single, self._note_state
        )
        self.budget = RetryBudget()
        stages = self.stage_class(
            self.gates,
            client,
            self.budget,
            outside.clock,
            self._check_dispatch,
            self._recover,
            self.metrics,
        )
        self.runner = self.runner_class(
            self.fleet,
            self.gates,
            stages,
            self.metrics,
            self._sharing.weight,
            self._recover,
            outside.clock,
            outside.wall_clock,
            self.settings.failure_domain,
            outside.rng,
        )

    def _connect(self) -> None:
        self.config.subscribe(self.metrics.set_fleet)
        self.config.subscribe(self.gates.apply)
        self.config.subscribe(self.members.set_fleet)
        self.config.subscribe(self.keys.configure)
        self.config.subscribe(lambda _: self._sharing.apply())
        self.members.subscribe(self._sharing.apply)
        self.members.subscribe_reports(self._engines.record_report)
        self.peers.content = self._sharing.describe
        self.drain.on_idle(self._hand_over)

    def _make_parts(self) -> Components:
        rng = self._outside.rng
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
            clock=self._outside.clock,
        )

    def _make_state_reader(self) -> StateReader:
        return StateReader(
            self.metrics,
            self._outside.clock,
            gates=self.gates,
            members=self.members,
            config=self.config,
            platform=self._platform,
            peers=self.peers,
            drain=self.drain,
            table=self._key_table,
            budget=self.budget,
            planner=self._planner,
            identity={
                "name": self.settings.name,
                "failure_domain": self.settings.failure_domain,
                "incarnation": f"{self.incarnation:x}",
            },
        )

    async def _hand_over(self) -> None:
        """Hands the key table over, then tells peers of the leaving.

        The lease that the hand-over needs lasts only while the instance is
        live in the view of its peers.
        """
        await self.keys.drain(HANDOVER_LIMIT_S)
        self._sharing.announce_leaving()
        await self.peers.announce(("leaving", self.incarnation))

    async def _run_forwarded(self, req: Request, guard: Guard) -> Answer:
        return await self.runner.run(
            req, self.runner.create_progress(req), guard=guard
        )

    def _check_dispatch(self, upstream: str) -> DispatchCheck:
        return self.membership.check_dispatch(upstream, self._outside.clock())

    async def _recover(self) -> None:
        """Waits for a read of the list if there was none since a pause.

        All evidence is older than the pause, so every call would be refused
        for want of an upstream.
        """
        if self.membership.is_current(self._outside.clock()):
            return
        await self.members.wait_read()
        self._sharing.apply()

    def _note_state(self, upstream: str, state: str, asked_at: float) -> None:
        if state == "leaving":
            self.members.note_leaving(upstream, 0, "header")
        else:
            now = self._outside.clock()
            self.membership.note_answer(upstream, asked_at, now)

    def _peer_names(self) -> list[str]:
        names = [entry.name for entry in self.membership.entries()]
        if not names:
            names = [seed.name for seed in self.settings.seeds]
        return [name for name in names if name != self.settings.name]

    def _entries_by_domain(self) -> dict[str, list[str]]:
        domains: dict[str, list[str]] = {}
        for entry in self.membership.entries():
            domains.setdefault(entry.failure_domain, []).append(entry.name)
        return domains


def _validate(text: str, revision: int) -> tuple[Fleet | None, list[Any]]:
    """Checks a document exactly as `applespring-check` does."""
    result = load_document(text, revision, DOCUMENT_NAME)
    return result.fleet, list(result.errors)
