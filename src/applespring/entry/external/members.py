"""Updates of the membership view: instance list, load reports, pauses."""

import heapq
import random
from collections.abc import Callable
from typing import Any, Protocol

import anyio
import httpx
from loguru import logger

from applespring.clock import wait_until
from applespring.core.errors import ApplespringError
from applespring.core.fleet import Fleet, Upstream
from applespring.core.instances import InstanceList, ListOutcome
from applespring.core.membership import EVIDENCE_S, Membership, ReadState
from applespring.core.self_report import SelfReport
from applespring.entry.external.pacing import Pacer
from applespring.entry.external.platform import (
    ListReply,
    PlatformClient,
    PlatformError,
)

# Together with REPLY_SLACK_S less than EVIDENCE_S, so that an unreachable
# platform is detected before the evidence of its last answer is stale.
LIST_WAIT_S = 1.0
LIST_INTERVAL_S = 0.6
TICK_INTERVAL_S = 0.25
# Longest wait for a read of the list after a pause. A read that starts after
# the pause ends within this time, successful or not.
RECOVERY_TIMEOUT_S = 3.0
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
PROBES_MAX = 16
# Bound on the load reports that all instances together request in one round,
# apart from those needed as evidence: 9 instances request PROBES_MAX each, and
# 350 instances 1 each.
FLEET_PROBES_MAX = 9 * PROBES_MAX
REPORT_INTERVAL_S = 1.0
START_SPREAD_S = 2.0
PLATFORM = "platform"
PROBE_ERRORS = (ApplespringError, httpx.HTTPError, OSError, TimeoutError)


class LoadReport(Protocol):
    """The fields of a reply to `GET /v1/load` that this module reads.

    Attributes:
        state: `serving` or `leaving`.
        age_ms: Age of the report when sent, in milliseconds.
    """

    state: str
    age_ms: float


class Probe(Protocol):
    """Reads the load report of an upstream."""

    async def probe(self, upstream: Upstream) -> LoadReport:
        """Returns the report of an upstream or raises a `PROBE_ERRORS`."""


class MemberService:
    """Watches the instance list, polls load reports and detects pauses.

    Attributes:
        membership: The view that it updates.
        probes: Number of load reports requested.
        probe_failures: Number of load reports that could not be read.
        probes_deferred: Number of probes deferred to a later round. Those of
            upstreams in other failure domains count only in rounds that have
            probes left for them.
        reads_failed: Number of reads of the list that confirmed nothing.
    """

    __slots__ = (
        "membership",
        "probes",
        "probe_failures",
        "probes_deferred",
        "reads_failed",
        "_client",
        "_probe",
        "_failure_domain",
        "_rng",
        "_clock",
        "_upstreams",
        "_reporting",
        "_local",
        "_probed_at",
        "_pool_upstreams",
        "_probe_order",
        "_subscribers",
        "_report_subscribers",
        "_first_read",
        "_evidence_changed",
        "_probed_pauses",
        "_read_scope",
        "_probe_scope",
    )

    def __init__(
        self,
        membership: Membership,
        client: PlatformClient,
        probe: Probe,
        failure_domain: str,
        rng: random.Random,
        *,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        """Initializes the service.

        Args:
            membership: The view to update.
            client: Client of the platform.
            probe: Reads load reports.
            failure_domain: Failure domain of this instance, which it probes
                before others.
            rng: Source of jitter.
            clock: Seconds on the monotonic clock.
        """
        self.membership = membership
        self.probes = 0
        self.probe_failures = 0
        self.probes_deferred = 0
        self.reads_failed = 0
        self._client = client
        self._probe = probe
        self._failure_domain = failure_domain
        self._rng = rng
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._reporting: set[str] = set()
        self._local: set[str] = set()
        self._probed_at: dict[str, float] = {}
        self._pool_upstreams: list[list[str]] = []
        self._probe_order: dict[str, float] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._report_subscribers: list[Callable[[str, Any, float], None]] = []
        self._first_read = anyio.Event()
        # Set when a read of the list or a round of probes has ended.
        self._evidence_changed = anyio.Event()
        # Pauses detected before the last complete round of probes began.
        self._probed_pauses = -1
        self._read_scope: anyio.CancelScope | None = None
        self._probe_scope: anyio.CancelScope | None = None

    def set_fleet(self, fleet: Fleet) -> None:
        """Applies a new configuration; a subscriber of `ConfigService`."""
        self.membership.set_fleet(fleet)
        self._upstreams = {
            upstream.name: upstream
            for pool in fleet.pools.values()
            for upstream in pool.upstreams
        }
        self._reporting = {
            upstream.name
            for pool in fleet.pools.values()
            if pool.reports_load
            for upstream in pool.upstreams
        }
        self._local = {
            name
            for name in self._reporting
            if self._upstreams[name].failure_domain == self._failure_domain
        }
        self._pool_upstreams = [
            [upstream.name for upstream in pool.upstreams]
            for pool in fleet.pools.values()
            if pool.reports_load
        ]
        # Random, since instances that start at the same time must not all poll
        # the same upstream.
        self._probe_order = {
            name: self._probe_order.get(name, self._rng.random())
            for name in self._upstreams
        }
        for name in self._probed_at.keys() - self._upstreams.keys():
            del self._probed_at[name]

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for changes of the list or leaving notices."""
        self._subscribers.append(callback)

    def subscribe_reports(
        self, callback: Callable[[str, Any, float], None]
    ) -> None:
        """Registers a callback for load reports.

        Its arguments are the name of the upstream, the report and the time at
        which the report was requested.
        """
        self._report_subscribers.append(callback)

    def offer_list(
        self, instances: InstanceList, peer: str, confirmed_at: float | None
    ) -> ListOutcome:
        """Offers a list that a peer sent.

        Args:
            instances: The list.
            peer: Name of the peer.
            confirmed_at: When the platform confirmed the list to the peer, or
                None.
        """
        now = self._clock()
        outcome = self.membership.offer_list(
            instances, peer, now, now, confirmed_at=confirmed_at
        )
        self._notify_about_list(outcome)
        return outcome

    def note_leaving(
        self, name: str, incarnation: int, source: str, age_s: float = 0.0
    ) -> None:
        """Records a leaving notice from a response, a report or a peer."""
        now = self._clock()
        if self.membership.note_leaving(name, incarnation, source, now, age_s):
            logger.info(
                "upstream or instance {} is leaving, according to {}",
                name,
                source,
            )
            self._notify_subscribers()

    def note_pause(self, name: str, report: SelfReport) -> None:
        """Records that an upstream asks for no requests for a time."""
        for detail in report.rejected:
            logger.warning("upstream {}: {}", name, detail)
        if report.pause_s and self.membership.note_pause_asked(
            name, report.pause_s, self._clock()
        ):
            logger.info(
                "upstream {} asks for no requests for {:g} s",
                name,
                report.pause_s,
            )
            self._notify_subscribers()

    def note_incarnation(self, name: str, incarnation: int) -> None:
        """Records the incarnation of an instance from its heartbeat."""
        if self.membership.note_incarnation(name, incarnation):
            logger.info(
                "instance {} has started again as incarnation {:x}",
                name,
                incarnation,
            )
            self._notify_subscribers()

    async def wait_first_read(self) -> None:
        """Waits until the first read of the list has ended, failed or not."""
        await self._first_read.wait()

    def has_evidence(self) -> bool:
        """Whether the evidence dates from after the last pause.

        Without a confirmed list, upstreams that report load are usable only
        after they have answered a probe.
        """
        if not self.membership.is_current(self._clock()):
            return False
        return (
            not self._reporting
            or self.membership.read_state is ReadState.CONFIRMED
            or self._probed_pauses == self.membership.pauses
        )

    async def wait_evidence(self) -> None:
        """Waits until the evidence dates from after the last pause.

        Waits for `RECOVERY_TIMEOUT_S` at most.
        """
        with anyio.move_on_after(RECOVERY_TIMEOUT_S):
            while not self.has_evidence():
                await self._evidence_changed.wait()

    def _notify_evidence(self) -> None:
        self._evidence_changed.set()
        self._evidence_changed = anyio.Event()

    async def run(self) -> None:
        """Updates the view until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick)
            tasks.start_soon(self._watch_list)
            tasks.start_soon(self._run_probes)

    async def _tick(self) -> None:
        handled_pauses = self.membership.pauses
        while True:
            self.membership.tick(self._clock())
            if self.membership.pauses != handled_pauses:
                handled_pauses = self.membership.pauses
                logger.warning(
                    "the process was paused; reading the instance list again"
                )
                # The answer to a call that started before the pause is no
                # evidence for the time after it.
                for scope in (self._read_scope, self._probe_scope):
                    if scope is not None:
                        scope.cancel()
            await anyio.sleep(TICK_INTERVAL_S)

    async def _watch_list(self) -> None:
        pacer = Pacer(self._rng, LIST_INTERVAL_S)
        await anyio.sleep(self._rng.uniform(0, START_SPREAD_S))
        while True:
            with anyio.CancelScope() as self._read_scope:
                started_at = self._clock()
                failed = not await self._read_list(started_at)
                self.reads_failed += failed
                self._first_read.set()
                self._notify_evidence()
                elapsed_s = self._clock() - started_at
                await anyio.sleep(pacer.next_delay_s(elapsed_s, failed))

    async def _read_list(self, asked_at: float) -> bool:
        """Makes one call; returns whether it confirmed or updated the list."""
        view = self.membership
        # Without a confirmed list the platform must answer at once.
        confirmed = view.read_state is ReadState.CONFIRMED
        wait_s = LIST_WAIT_S if confirmed else 0.0
        try:
            reply = await self._client.watch_instances(
                view.listed.revision, wait_s
            )
        except PlatformError as exc:
            if view.read_state is not ReadState.FAILED:
                logger.warning("instance list cannot be read: {}", exc)
            view.fail_read(asked_at)
            return False
        return self._apply_reply(reply, asked_at, wait_s)

    def _apply_reply(
        self, reply: ListReply, asked_at: float, wait_s: float
    ) -> bool:
        now = self._clock()
        if reply.instances is None:
            confirmed_at = min(now, asked_at + wait_s)
            return self.membership.confirm_list(
                reply.revision, asked_at, confirmed_at
            )
        outcome = self.membership.offer_list(
            reply.instances, PLATFORM, asked_at, now
        )
        self._notify_about_list(outcome)
        return outcome not in (ListOutcome.OLDER, ListOutcome.REJECTED)

    async def _run_probes(self) -> None:
        while True:
            # A round is cancelled after a pause, so that the next one, whose
            # answers are evidence, starts at once.
            with anyio.CancelScope() as self._probe_scope:
                await self._run_probe_round()

    async def _run_probe_round(self) -> None:
        started_at = self._clock()
        pauses = self.membership.pauses
        chosen = self._choose_probes(started_at)
        async with anyio.create_task_group() as tasks:
            for name in chosen:
                tasks.start_soon(self._probe_one, self._upstreams[name])
        self._probed_pauses = pauses
        self._notify_evidence()
        await wait_until(started_at + PROBE_INTERVAL_S, self._clock)

    def _choose_probes(self, now: float) -> list[str]:
        """Returns the upstreams to probe in this round.

        First those without recent evidence, starting with one for each pool
        that has none. Among equals, the upstream not probed for the longest
        time comes first, so that unreachable ones do not use up every round.
        The remaining probes refresh load reports. FLEET_PROBES_MAX bounds them
        in a large fleet, where many instances probe the same upstreams.
        """
        needed = set(self.membership.find_upstreams_to_probe(now))
        preferred = self._choose_per_pool(needed, now)
        ordered = sorted(
            needed, key=lambda n: (n not in preferred, self._probe_key(n))
        )
        listed = max(1, len(self.membership.entries()))
        spare_probes = max(1, min(PROBES_MAX, FLEET_PROBES_MAX // listed))
        chosen = ordered[:PROBES_MAX]
        self.probes_deferred += len(ordered) - len(chosen)
        spare_probes = min(spare_probes, PROBES_MAX - len(chosen))
        for group in (self._local, self._reporting - self._local):
            due = self._find_outdated(group - needed, now)
            due -= {
                n
                for n in due
                if self.membership.is_paused(n, now)
                or self.membership.is_limited(n)
            }
            picked = heapq.nsmallest(spare_probes, due, key=self._probe_key)
            self.probes_deferred += len(due) - len(picked)
            chosen += picked
            spare_probes -= len(picked)
            if spare_probes <= 0:
                break
        return chosen

    def _find_outdated(self, names: set[str], now: float) -> set[str]:
        """Returns those not probed within REPORT_INTERVAL_S."""
        due_at = now - REPORT_INTERVAL_S
        return {
            name
            for name in names
            if self._probed_at.get(name, float("-inf")) <= due_at
        }

    def _probe_key(self, name: str) -> tuple[bool, float, float]:
        is_remote = name not in self._local
        probed_at = self._probed_at.get(name, float("-inf"))
        return is_remote, probed_at, self._probe_order[name]

    def _choose_per_pool(self, needed: set[str], now: float) -> set[str]:
        """Returns one upstream for each pool without recent evidence.

        It is the one with the newest evidence, to keep it usable. If all
        evidence of the pool is stale, its upstreams are chosen in turn.
        """
        chosen = set()
        for names in self._pool_upstreams:
            if not needed.issuperset(names):
                continue
            evidence = self.membership.evidence
            dated = [(evidence(n).at, n) for n in names if evidence(n)]
            at, newest = max(dated, default=(float("-inf"), ""))
            if now - at > EVIDENCE_S:
                newest = min(names, key=lambda n: self._probe_key(n)[1:])
            chosen.add(newest)
        return chosen

    async def _probe_one(self, upstream: Upstream) -> None:
        asked_at = self._clock()
        self._probed_at[upstream.name] = asked_at
        self.probes += 1
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                report = await self._probe.probe(upstream)
        except PROBE_ERRORS:
            self.probe_failures += 1
            return
        if report.state == "leaving":
            self.note_leaving(upstream.name, 0, "report")
        elif report.state == "serving":
            self.membership.note_report(
                upstream.name, asked_at, report.age_ms / 1000
            )
        for callback in self._report_subscribers:
            callback(upstream.name, report, asked_at)

    def _notify_about_list(self, outcome: ListOutcome) -> None:
        if outcome is ListOutcome.SUSPECT:
            logger.warning(
                "the new instance list lacks most live instances of a role"
            )
        if outcome in (ListOutcome.ACCEPTED, ListOutcome.SUSPECT):
            self._notify_subscribers()

    def _notify_subscribers(self) -> None:
        for callback in self._subscribers:
            callback()
