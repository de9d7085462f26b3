"""Keeps requests that crash upstreams, or whose prompts do, away from them."""

from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Sequence,
)
from contextlib import asynccontextmanager
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from applespring.core import reason
from applespring.core.crash_culprits import UpstreamCrash
from applespring.core.crash_ledger import (
    BrokenRequest,
    CandidateHistory,
    CrashLedger,
    Quarantine,
    list_candidates,
)
from applespring.core.errors import (
    ApplespringError,
    FailureKind,
    RefusalError,
    StageError,
)
from applespring.core.placement import rank
from applespring.core.verdict import Verdict
from applespring.peer import message
from applespring.quarantine.crash_messages import (
    describe_crash,
    describe_history,
    read_crash,
    read_histories,
)

# Interval at which recent crashes and those of what is quarantined are sent
# again, to peers that missed them or have just started.
ROUND_S = 1.0
# Age up to which crashes are sent again that explain no quarantine.
CRASH_SENT_AGE_MAX_S = 30.0
# Crashes that are sent at a time.
CRASHES_SENT_MAX = 12
# Pause before an instance that was denied a trial asks again.
TRIAL_RETRY_S = 1.0
# Time from a trial to its answer, for the Retry-After of the others.
TRIAL_RUN_S = 1.0
# Where connections are accepted after an upstream broke off requests, it may be
# another start of it, or a proxy. The registry shows an end within this time.
END_LISTED_S = 10.0
ENDS_AWAITED_MAX = 64


# How an attempt fails when its upstream ends or closes the connection.
BROKEN_OFF_KINDS = frozenset([FailureKind.RESET, FailureKind.TRUNCATED])


class Upstream(Protocol):
    """An upstream as listed; see `applespring.core.catalog.ListedUpstream`."""

    name: str
    address: str
    identity: tuple[str, int]


class Upstreams(Protocol):
    """What is known of the listed upstreams."""

    def is_ready(self, name: str) -> bool:
        """Returns whether an upstream accepts new work."""

    def is_listed(self, identity: tuple[str, int]) -> bool:
        """Returns whether this start of an upstream is listed."""


class CrashPeers(Protocol):
    """The other instances.

    Attributes:
        name: Name of this instance.
    """

    name: str

    def reachable_names(self) -> list[str]:
        """Returns the names of the instances that can be reached."""

    async def send_crashes(
        self,
        crashes: Sequence[message.UpstreamCrash],
        histories: Sequence[message.CandidateHistory],
        *,
        to_all: bool,
    ) -> None:
        """Sends crashes, to all instances or to some."""

    async def request_trial(
        self, decider: str, trial: message.Trial
    ) -> message.Message:
        """Asks an instance for a trial and returns its reply.

        Raises:
            ApplespringError: There is none.
        """


class WatchedExchange(Protocol):
    """The state of a request that decides how it may be refused.

    Attributes:
        request_id: Id of the request.
        deadline_at: Latest time for the end of its answer.
        sent: Whether an upstream may have received it.
        started: Whether a part of its answer was sent.
        ended: Whether all of its answer was sent.
    """

    request_id: str
    deadline_at: float
    sent: bool
    started: bool
    ended: bool


class WatchedRequest:
    """A request in progress, which ends if it is quarantined.

    Attributes:
        exchange: State of the request.
        fingerprint: Its fingerprint.
        candidates: What a crash under it may be held against, with positions.
        is_trial: Whether it is a trial: it is sent to one upstream only.
        scope: Scope in which it is forwarded.
        quarantine: Why it was ended, or None.
        breaks: How many upstreams have broken it off.
    """

    __slots__ = (
        "exchange",
        "fingerprint",
        "candidates",
        "is_trial",
        "scope",
        "quarantine",
        "breaks",
    )

    def __init__(
        self,
        exchange: WatchedExchange,
        fingerprint: str,
        candidates: Sequence[tuple[str, int]],
        *,
        is_trial: bool,
    ) -> None:
        self.exchange = exchange
        self.fingerprint = fingerprint
        self.candidates = tuple(candidates)
        self.is_trial = is_trial
        self.scope = anyio.CancelScope()
        self.quarantine: Quarantine | None = None
        self.breaks = 0

    @property
    def names(self) -> list[str]:
        """Names of the candidates."""
        return [name for name, _ in self.candidates]


class BreakCheck:
    """Requests that one upstream broke off, and whether it has ended.

    Attributes:
        upstream: The upstream.
        at: When the first of them was broken off.
        requests: Those that it had not begun to answer.
        done: Set once it is known whether the upstream has ended.
        ended: Whether it has.
    """

    __slots__ = ("upstream", "at", "requests", "done", "ended")

    def __init__(self, upstream: Upstream, at: float) -> None:
        self.upstream = upstream
        self.at = at
        self.requests: list[BrokenRequest] = []
        self.done = anyio.Event()
        self.ended = False


class CrashWatch:
    """Concludes from broken requests which upstreams ended, and why.

    Attributes:
        ledger: The crashes, and what is quarantined.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        peers: CrashPeers,
        refuses_connections: Callable[[str], Awaitable[bool]],
        count: Callable[[str], None],
        clock: Callable[[], float],
        *,
        retry_after_share: float,
        on_end: Callable[[Upstream], None] = lambda _: None,
    ) -> None:
        """Starts without any crash.

        Args:
            upstreams: The listed upstreams.
            peers: The other instances.
            refuses_connections: Returns whether no process listens at an
                address (IP:port). False if that is not known.
            count: Counts an event by its name.
            clock: Clock in seconds.
            retry_after_share: Largest Retry-After as a share of the time until
                the caller's deadline.
            on_end: Called with an upstream where no process listens any more.
        """
        self.ledger = CrashLedger()
        self._upstreams = upstreams
        self._peers = peers
        self._refuses_connections = refuses_connections
        self._count = count
        self._clock = clock
        self._retry_after_share = retry_after_share
        self._on_end = on_end
        self._checks: dict[tuple[str, int], BreakCheck] = {}
        # Upstreams that were found listening after a break.
        self._listening: dict[tuple[str, int], BreakCheck] = {}
        self._watched: set[WatchedRequest] = set()
        self._trial_denied_until: dict[str, float] = {}
        self._applied: frozenset[str] = frozenset()
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Confirms crashes and exchanges them with peers until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            while True:
                await anyio.sleep(ROUND_S)
                now = self._clock()
                await self._find_listed_ends(now)
                self.ledger.expire(now)
                self._apply_changes()
                await self._send(
                    self.ledger.select_crashes(
                        now,
                        count_max=CRASHES_SENT_MAX,
                        age_max_s=CRASH_SENT_AGE_MAX_S,
                    ),
                    to_all=False,
                )

    @asynccontextmanager
    async def admit(
        self, exchange: WatchedExchange, parts: Iterable[str], fingerprint: str
    ) -> AsyncIterator[WatchedRequest]:
        """Admits a request to upstreams for as long as the block lasts.

        The block ends if the request is quarantined meanwhile, unless it is a
        trial or its answer has begun.

        Args:
            exchange: State of the request.
            parts: Shared parts of its prompt, in order.
            fingerprint: Its fingerprint.

        Raises:
            RefusalError: The request or a part of its prompt is quarantined.
        """
        candidates = list_candidates(parts, fingerprint)
        found = self.ledger.find_quarantines(dict(candidates), fingerprint)
        is_trial = bool(found) and await self._obtain_trials(found, exchange)
        if found and not is_trial:
            raise self._make_refusal(exchange, found[0])
        watched = WatchedRequest(
            exchange, fingerprint, candidates, is_trial=is_trial
        )
        if not is_trial:
            self._watched.add(watched)
        try:
            with watched.scope:
                yield watched
        finally:
            self._watched.discard(watched)
        if watched.quarantine is not None and not exchange.ended:
            raise self._make_refusal(exchange, watched.quarantine)

    def start_attempt(self, watched: WatchedRequest) -> BrokenRequest:
        """Returns the evidence if the attempt that starts now is broken off."""
        return self.describe(watched.candidates, breaks=watched.breaks)

    def describe(
        self, candidates: Sequence[tuple[str, int]], *, breaks: int = 0
    ) -> BrokenRequest:
        """Returns the evidence if a request that is sent now is broken off.

        Args:
            candidates: What a crash under it may be held against.
            breaks: How many upstreams have broken it off so far. Their crashes
                may not be recorded yet.
        """
        return BrokenRequest(
            candidates,
            [
                max(breaks, self.ledger.count_crashes(name))
                for name, _ in candidates
            ],
        )

    def record_break(
        self, upstream: Upstream, broken: Iterable[BrokenRequest]
    ) -> BreakCheck | None:
        """Records that an upstream broke off requests.

        Args:
            upstream: The upstream.
            broken: Those requests that it had not begun to answer.

        Returns:
            The check whether it has ended; None for one that is leaving, which
            ends as planned.
        """
        if not self._upstreams.is_ready(upstream.name) or self._tasks is None:
            return None
        check = self._checks.get(upstream.identity)
        if check is None:
            check = BreakCheck(upstream, self._clock())
            self._checks[upstream.identity] = check
            self._tasks.start_soon(self._check_break, check)
        check.requests += broken
        return check

    def record_answer(self, names: Iterable[str]) -> None:
        """Records that an upstream answered a request or pieces of one.

        Args:
            names: Names of the candidates.
        """
        if self.ledger.record_answer(names, self._clock()):
            self._apply_changes()

    async def _check_break(self, check: BreakCheck) -> None:
        """Records a crash if nothing listens at the upstream's address.

        An upstream that lives may have reset some of its connections.
        """
        upstream = check.upstream
        check.ended = await self._refuses_connections(upstream.address)
        self._checks.pop(upstream.identity, None)
        if check.ended:
            self._on_end(upstream)
            await self._record_crash(check)
        elif len(self._listening) < ENDS_AWAITED_MAX:
            held = self._listening.setdefault(upstream.identity, check)
            if held is not check:
                held.at, held.requests = check.at, check.requests
        check.done.set()

    async def _find_listed_ends(self, now: float) -> None:
        """Records the crashes that only the registry shows.

        An upstream that broke off requests, while it was not leaving, has
        ended if its entry is that of another start or has lapsed.
        """
        for identity, check in list(self._listening.items()):
            if not self._upstreams.is_listed(identity):
                del self._listening[identity]
                await self._record_crash(check)
            elif now - check.at > END_LISTED_S:
                del self._listening[identity]

    async def _record_crash(self, check: BreakCheck) -> None:
        """Records that an upstream ended, and tells all peers at once."""
        upstream = check.upstream
        self._count("upstream_crashed")
        names = {n for r in check.requests for n, _ in r.candidates}
        logger.bind(
            event="upstream_crashed",
            upstream=upstream.name,
            candidates=sorted(names),
        ).warning(
            "upstream {} ended; {} requests there had not begun",
            upstream.name,
            len(check.requests),
        )
        self.ledger.record_crash(upstream.identity, check.requests, check.at)
        self._apply_changes()
        if check.requests:
            newest = self.ledger.select_crashes(
                self._clock(),
                count_max=CRASHES_SENT_MAX,
                age_max_s=END_LISTED_S,
            )
            await self._send(
                [c for c in newest if c.upstream == upstream.identity],
                to_all=True,
            )

    def _make_refusal(
        self, exchange: WatchedExchange, quarantine: Quarantine
    ) -> RefusalError:
        self._count("quarantine_refused")
        refusal_reason = reason.PROMPT_QUARANTINED
        if quarantine.fingerprint:
            refusal_reason = reason.REQUEST_QUARANTINED
        detail = f"{quarantine.crashes} upstreams crashed on {quarantine.label}"
        if exchange.sent:
            return RefusalError(
                reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, detail
            )
        now = self._clock()
        # It may be sound, which its first trial will show. Callers come back
        # within a share of the time that they have left.
        retry_after_s: float | None = (
            max(0.0, quarantine.trial_due_at - now) + TRIAL_RUN_S
        )
        stays_s = self._retry_after_share * (exchange.deadline_at - now)
        if quarantine.trials or retry_after_s > stays_s:
            retry_after_s = None
        return RefusalError(
            refusal_reason,
            Verdict.NOT_RUN,
            detail,
            retry_after_s=retry_after_s,
        )

    async def _obtain_trials(
        self, quarantines: Sequence[Quarantine], exchange: WatchedExchange
    ) -> bool:
        """Returns whether a request may be sent as a trial of these."""
        now = self._clock()
        for quarantine in quarantines:
            denied_until = self._trial_denied_until.get(quarantine.name, now)
            if now < max(quarantine.trial_due_at, denied_until):
                return False
        for quarantine in quarantines:
            if not await self._obtain_trial(quarantine, exchange):
                return False
        return True

    async def _obtain_trial(
        self, quarantine: Quarantine, exchange: WatchedExchange
    ) -> bool:
        """Asks the instance that decides on trials of the name for one."""
        name, now = quarantine.name, self._clock()
        reachable = self._peers.reachable_names()
        decider = rank(f"trial\x1f{name}", [self._peers.name, *reachable])[0]
        self._trial_denied_until[name] = now + TRIAL_RETRY_S
        try:
            reply = await self._peers.request_trial(
                decider, message.Trial(name=name)
            )
            granted = isinstance(reply, message.Ack) and reply.accepted
            detail = "granted" if granted else "denied"
        except ApplespringError as exc:
            granted, detail = False, str(exc)
        logger.bind(
            event="quarantine_trial",
            request=exchange.request_id,
            candidate=name,
            decider=decider,
            granted=granted,
            trials=quarantine.trials,
        ).info("trial of {}: {}", quarantine.label, detail)
        return granted

    async def grant_trial(self, msg: message.Trial) -> message.Message:
        """Answers an instance that asks for a trial."""
        granted = self.ledger.start_trial(msg.name, self._clock())
        if granted:
            self._count("quarantine_trial")
            await self._send(
                self.ledger.select_crashes(
                    self._clock(), count_max=CRASHES_SENT_MAX, age_max_s=0.0
                ),
                to_all=True,
            )
        return message.Ack(accepted=granted)

    def _apply_changes(self) -> None:
        """Logs what came into quarantine or left it.

        Requests in progress that are newly quarantined are ended.
        """
        quarantined = self.ledger.quarantined
        if quarantined.keys() == self._applied:
            return
        for name in sorted(quarantined.keys() - self._applied):
            quarantine = quarantined[name]
            self._count("quarantined")
            logger.bind(
                event="quarantined",
                candidate=name,
                crashes=quarantine.crashes,
                trials=quarantine.trials,
            ).warning(
                "{} is quarantined: {} upstreams crashed on it",
                quarantine.label,
                quarantine.crashes,
            )
            self._withdraw(quarantine)
        for name in sorted(self._applied - quarantined.keys()):
            self._count("quarantine_released")
            self._trial_denied_until.pop(name, None)
            logger.bind(event="quarantine_released", candidate=name).info(
                "{} is no longer quarantined", name
            )
        self._applied = frozenset(quarantined)

    def _withdraw(self, quarantine: Quarantine) -> None:
        """Ends the requests in quarantine whose answers have not begun."""
        for watched in self._watched:
            is_quarantined = quarantine.name in watched.names or (
                quarantine.fingerprint == watched.fingerprint
            )
            if is_quarantined and not watched.exchange.started:
                watched.quarantine = quarantine
                watched.scope.cancel()

    def receive(
        self,
        crashes: Iterable[message.UpstreamCrash],
        histories: Iterable[message.CandidateHistory],
    ) -> None:
        """Adds what a peer has sent."""
        now = self._clock()
        self.ledger.merge(
            [read_crash(crash, now) for crash in crashes],
            read_histories(histories, now),
            now,
        )
        self._apply_changes()

    async def _send(
        self, crashes: Iterable[UpstreamCrash], *, to_all: bool
    ) -> None:
        """Sends crashes, and what is known of their candidates, to peers."""
        now = self._clock()
        quarantined = self.ledger.quarantined
        messages = [describe_crash(c, quarantined, now) for c in crashes]
        if not messages:
            return
        names = sorted({c.name for m in messages for c in m.candidates})
        histories = [
            describe_history(
                name, self.ledger.history(name) or CandidateHistory(), now
            )
            for name in names
        ]
        await self._peers.send_crashes(messages, histories, to_all=to_all)


def is_broken_off(exc: StageError) -> bool:
    """Returns whether the upstream ended or closed the connection.

    A connection that ends since nothing was acknowledged may be behind a
    partition; an upstream that ends closes its connections.
    """
    if exc.kind not in BROKEN_OFF_KINDS or exc.verdict is Verdict.NOT_RUN:
        return False
    cause: BaseException | None = exc
    while cause is not None and not isinstance(cause, TimeoutError):
        cause = cause.__cause__
    return cause is None
