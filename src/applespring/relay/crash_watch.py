"""Keeps requests with prompt parts that crash engines away from engines."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager

import anyio
from loguru import logger

from applespring.core import reason
from applespring.core.catalog import ListedUpstream
from applespring.core.crash_culprits import CandidatePart, EngineCrash
from applespring.core.crash_ledger import CrashLedger, PartHistory, Quarantine
from applespring.core.errors import ApplespringError, RefusalError
from applespring.core.placement import rank
from applespring.core.verdict import Verdict
from applespring.peer import message
from applespring.relay.exchange import RETRY_AFTER_SHARE, Exchange
from applespring.relay.metrics import RelayMetrics
from applespring.relay.peers import Peers
from applespring.relay.state import RelayState

# Time from the first broken attempt at an engine to the conclusion that it
# ended. The other attempts there break within it, or show by their progress
# that only connections were reset.
CONFIRM_S = 0.1
# Progress up to this long after a break may have arrived before it.
PROGRESS_DELAY_S = 0.03
# Interval at which recent crashes and those of quarantined parts are sent
# again, to peers that missed them or have just started.
ROUND_S = 1.0
# Age up to which crashes are sent again that no quarantined part explains.
CRASH_SENT_AGE_MAX_S = 30.0
# Bounds of one message, which has to fit a datagram.
CRASHES_SENT_MAX = 12
CANDIDATES_SENT_MAX = 24
# Pause before an instance that was denied a trial asks again.
TRIAL_RETRY_S = 1.0
# Time from a trial to its first event, for the Retry-After of the others.
TRIAL_RUN_S = 1.0


class _Break:
    """Attempts at one engine that broke off at about the same time."""

    __slots__ = ("at", "prompts")

    def __init__(self, at: float) -> None:
        self.at = at
        self.prompts: list[Sequence[str]] = []


class _TrackedRequest:
    """A request in progress that ends if a part of it is quarantined."""

    __slots__ = ("exchange", "parts", "scope", "quarantine")

    def __init__(self, exchange: Exchange, parts: Sequence[str]) -> None:
        self.exchange = exchange
        self.parts = parts
        self.scope = anyio.CancelScope()
        self.quarantine: Quarantine | None = None


class CrashWatch:
    """Concludes from broken attempts which engines ended, and because of what.

    Attributes:
        ledger: The crashes and the quarantined parts.
    """

    def __init__(
        self, state: RelayState, peers: Peers, metrics: RelayMetrics
    ) -> None:
        self.ledger = CrashLedger()
        self._state = state
        self._peers = peers
        self._metrics = metrics
        self._breaks: dict[tuple[str, int], _Break] = {}
        self._break_recorded = anyio.Event()
        self._tracked: set[_TrackedRequest] = set()
        self._trial_denied_until: dict[str, float] = {}
        self._applied: frozenset[str] = frozenset()
        peers.set_crash_receiver(self._on_gossip)
        peers.register_handler(message.PartTrial, self._on_trial)

    async def run(self) -> None:
        """Confirms crashes and exchanges them with peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._confirm_breaks)
            while True:
                await anyio.sleep(ROUND_S)
                now = self._state.clock()
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

    def record_break(
        self, upstream: ListedUpstream, prompt: Sequence[str], *, begun: bool
    ) -> None:
        """Records that an engine broke off a request.

        Args:
            upstream: The engine.
            prompt: Shared parts of the request's prompt, in order.
            begun: Whether the engine had begun the answer.
        """
        if not self._state.catalog.is_ready(upstream.name):
            # It is leaving and ends as planned.
            return
        found = self._breaks.get(upstream.identity)
        if found is None:
            found = _Break(self._state.clock())
            self._breaks[upstream.identity] = found
        if not begun and prompt:
            found.prompts.append(prompt)
        self._break_recorded.set()

    def record_answer(self, prompt: Sequence[str]) -> None:
        """Records that an engine has begun an answer and gone on with it."""
        if self.ledger.record_answer(prompt, self._state.clock()):
            self._apply_changes()

    async def admit(self, exchange: Exchange, prompt: Sequence[str]) -> bool:
        """Decides whether a request may be sent to engines.

        Returns:
            Whether it is a trial of a quarantined part.

        Raises:
            RefusalError: A part of its prompt is quarantined.
        """
        quarantined = self.ledger.quarantined
        if not quarantined:
            return False
        found = [quarantined[part] for part in prompt if part in quarantined]
        if not found:
            return False
        if len(found) == 1 and await self._obtain_trial(found[0], exchange):
            return True
        raise self._make_refusal(exchange, found[0])

    @contextmanager
    def track(
        self, exchange: Exchange, prompt: Sequence[str], *, is_trial: bool
    ) -> Iterator[None]:
        """Ends the block if a part of the prompt is quarantined meanwhile.

        A trial and a request whose answer has begun are not ended.

        Raises:
            RefusalError: The block was ended.
        """
        tracked = _TrackedRequest(exchange, prompt)
        if not is_trial:
            self._tracked.add(tracked)
        try:
            with tracked.scope:
                yield
        finally:
            self._tracked.discard(tracked)
        if tracked.quarantine is not None and not exchange.ended:
            raise self._make_refusal(exchange, tracked.quarantine)

    def _make_refusal(
        self, exchange: Exchange, quarantine: Quarantine
    ) -> RefusalError:
        self._metrics.state_changes.inc("part_refused")
        detail = (
            f"{quarantine.crashes} engines crashed on the prompt part "
            f"{quarantine.part}"
        )
        if exchange.sent:
            return RefusalError(
                reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, detail
            )
        now = self._state.clock()
        # The part may be sound, which its first trial will show. Callers come
        # back within a share of the time that they have left.
        retry_after_s: float | None = (
            max(0.0, quarantine.trial_due_at - now) + TRIAL_RUN_S
        )
        stays_s = RETRY_AFTER_SHARE * (exchange.deadline_at - now)
        if quarantine.trials or retry_after_s > stays_s:
            retry_after_s = None
        return RefusalError(
            reason.PROMPT_QUARANTINED,
            Verdict.NOT_RUN,
            detail,
            retry_after_s=retry_after_s,
        )

    async def _obtain_trial(
        self, quarantine: Quarantine, exchange: Exchange
    ) -> bool:
        """Asks the instance that decides on trials of the part for one."""
        part, now = quarantine.part, self._state.clock()
        if now < max(
            quarantine.trial_due_at, self._trial_denied_until.get(part, now)
        ):
            return False
        reachable = [p.name for p in self._peers.table.reachable(now)]
        decider = rank(f"trial\x1f{part}", [self._peers.name, *reachable])[0]
        self._trial_denied_until[part] = now + TRIAL_RETRY_S
        try:
            reply = await self._peers.request(
                self._peers.address_of(decider), message.PartTrial(part=part)
            )
            granted = isinstance(reply, message.Ack) and reply.accepted
            detail = "granted" if granted else "denied"
        except ApplespringError as exc:
            granted, detail = False, str(exc)
        logger.bind(
            event="part_trial",
            request=exchange.req.request_id,
            part=part,
            decider=decider,
            granted=granted,
            trials=quarantine.trials,
        ).info("trial of prompt part {}: {}", part, detail)
        return granted

    async def _on_trial(self, msg: message.PartTrial) -> message.Message:
        granted = self.ledger.start_trial(msg.part, self._state.clock())
        if granted:
            self._metrics.state_changes.inc("part_trial")
            await self._send(
                self.ledger.select_crashes(
                    self._state.clock(),
                    count_max=CRASHES_SENT_MAX,
                    age_max_s=0.0,
                ),
                to_all=True,
            )
        return message.Ack(accepted=granted)

    async def _confirm_breaks(self) -> None:
        """Records engines that ended, and tells all peers at once."""
        while True:
            await self._break_recorded.wait()
            await anyio.sleep(CONFIRM_S)
            self._break_recorded = anyio.Event()
            breaks, self._breaks = self._breaks, {}
            now = self._state.clock()
            told = set()
            for engine, found in breaks.items():
                if self._state.engines.progressed_after(
                    engine[0], found.at + PROGRESS_DELAY_S
                ):
                    # It lives; only some of its connections were reset.
                    continue
                self._metrics.state_changes.inc("engine_crashed")
                logger.bind(
                    event="engine_crashed",
                    upstream=engine[0],
                    candidates=sorted({p for ps in found.prompts for p in ps}),
                ).warning(
                    "engine {} ended; {} requests there had not begun",
                    engine[0],
                    len(found.prompts),
                )
                self.ledger.record_break(engine, found.prompts, found.at)
                if found.prompts:
                    told.add(engine)
            self._apply_changes()
            if told:
                newest = self.ledger.select_crashes(
                    now, count_max=CRASHES_SENT_MAX, age_max_s=2 * CONFIRM_S
                )
                await self._send(
                    [c for c in newest if c.engine in told], to_all=True
                )

    def _apply_changes(self) -> None:
        """Logs parts that came into quarantine or left it.

        Requests in progress with a newly quarantined part are ended.
        """
        quarantined = self.ledger.quarantined
        if quarantined.keys() == self._applied:
            return
        for part in sorted(quarantined.keys() - self._applied):
            quarantine = quarantined[part]
            self._metrics.state_changes.inc("part_quarantined")
            logger.bind(
                event="part_quarantined",
                part=part,
                crashes=quarantine.crashes,
                trials=quarantine.trials,
            ).warning(
                "prompt part {} is quarantined: {} engines crashed on it",
                part,
                quarantine.crashes,
            )
            self._withdraw(quarantine)
        for part in sorted(self._applied - quarantined.keys()):
            self._metrics.state_changes.inc("part_released")
            logger.bind(event="part_released", part=part).info(
                "prompt part {} is no longer quarantined", part
            )
        self._applied = frozenset(quarantined)

    def _withdraw(self, quarantine: Quarantine) -> None:
        """Ends the requests with a part whose answers have not begun."""
        for tracked in self._tracked:
            if quarantine.part in tracked.parts and not (
                tracked.exchange.started
            ):
                tracked.quarantine = quarantine
                tracked.scope.cancel()

    def _on_gossip(self, gossip: message.Gossip) -> None:
        if not gossip.crashes:
            return
        now = self._state.clock()
        self.ledger.merge(
            [_from_message(crash, now) for crash in gossip.crashes],
            {
                history.name: PartHistory(
                    _time_of(history.answered_age_s, now),
                    _time_of(history.trial_age_s, now),
                    history.trials,
                )
                for history in gossip.histories
            },
            now,
        )
        self._apply_changes()

    async def _send(
        self, crashes: Iterable[EngineCrash], *, to_all: bool
    ) -> None:
        """Sends crashes, and what is known of their candidates, to peers."""
        now = self._state.clock()
        messages = [self._to_message(crash, now) for crash in crashes]
        if not messages:
            return
        names = sorted({part.name for m in messages for part in m.parts})
        histories = [self._describe_history(name, now) for name in names]
        await self._peers.send_crashes(messages, histories, to_all=to_all)

    def _to_message(
        self, crash: EngineCrash, now: float
    ) -> message.EngineCrash:
        quarantined = self.ledger.quarantined
        names = sorted(
            crash.parts,
            key=lambda name: (
                name not in quarantined,
                crash.parts[name].answered_before,
            ),
        )
        engine, born_ms = crash.engine
        return message.EngineCrash(
            engine=engine,
            born_ms=born_ms,
            age_s=max(0.0, now - crash.at),
            parts=_describe_candidates(
                crash.parts, names[:CANDIDATES_SENT_MAX]
            ),
        )

    def _describe_history(self, name: str, now: float) -> message.PartHistory:
        history = self.ledger.history(name) or PartHistory()
        return message.PartHistory(
            name=name,
            answered_age_s=_age_of(history.answered_at, now),
            trial_age_s=_age_of(history.trial_at, now),
            trials=history.trials,
        )


def _describe_candidates(
    parts: Mapping[str, CandidatePart], names: Iterable[str]
) -> list[message.CrashCandidate]:
    return [
        message.CrashCandidate(
            name=name,
            position=parts[name].position,
            answered_before=parts[name].answered_before,
        )
        for name in names
    ]


def _from_message(msg: message.EngineCrash, now: float) -> EngineCrash:
    return EngineCrash(
        (msg.engine, msg.born_ms),
        now - msg.age_s,
        {
            part.name: CandidatePart(part.position, part.answered_before)
            for part in msg.parts
        },
    )


def _age_of(at: float, now: float) -> float:
    """Returns the age of an event, or -1 if it has not happened."""
    return -1.0 if at < 0.0 else max(0.0, now - at)


def _time_of(age_s: float, now: float) -> float:
    """Returns the time of an event of this age, or -1 if it is negative."""
    return -1.0 if age_s < 0.0 else now - age_s
