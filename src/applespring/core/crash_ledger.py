"""Record of engine crashes, and the prompt parts quarantined because of them.

Every instance holds a ledger and passes its entries on, so that five crashes
that five instances saw count as five everywhere. Merging entries in any order,
any number of times, gives the same ledger.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from applespring.core.crash_culprits import (
    CULPRIT_CRASHES_MAX,
    CandidatePart,
    Culprit,
    EngineCrash,
    find_culprits,
)

# How long a crash is evidence. A part is tried far more often than this, so a
# sound one leaves quarantine long before.
CRASH_AGE_MAX_S = 600.0
CULPRIT_CRASH_AGE_MAX_S = 6 * 3600.0
# Crashes and answered parts that are remembered, and candidates of one crash.
# The oldest are evicted.
CRASHES_MAX = 128
ANSWERED_PARTS_MAX = 4096
CANDIDATES_MAX = 64
# A quarantined part is tried again this long after its last crash or trial,
# then after four times as long, and so on: a sound part is released soon, and
# one that still crashes engines costs few of them.
TRIAL_DELAY_S = 5.0
TRIAL_DELAY_FACTOR = 4.0
TRIALS_MAX = 8
# Times of other instances arrive as ages and seem later by the time of their
# journey. A time replaces an earlier one only if it differs by more than this;
# else each exchange would make it later.
TIME_ERROR_MAX_S = 0.5


class PartHistory:
    """What is known of one part beside the crashes.

    Attributes:
        answered_at: When a request with it was last answered after a crash, or
            -1.
        trial_at: When one was last sent as a trial, or -1.
        trials: Number of trials since then without an answer.
        crash_at: When the newest crash with it among the candidates was, or -1.
    """

    __slots__ = ("answered_at", "trial_at", "trials", "crash_at")

    def __init__(
        self,
        answered_at: float = -1.0,
        trial_at: float = -1.0,
        trials: int = 0,
    ) -> None:
        self.answered_at = answered_at
        self.trial_at = trial_at
        self.trials = trials
        self.crash_at = -1.0


class Quarantine:
    """A part with which no requests are sent to engines, except as trials.

    Attributes:
        part: Name of the part.
        crashes: Number of crashes that it explains.
        trials: Number of trials so far.
        trial_due_at: From when on the next trial may be sent.
    """

    __slots__ = ("part", "crashes", "trials", "trial_due_at")

    def __init__(self, culprit: Culprit, history: PartHistory | None) -> None:
        self.part = culprit.part
        self.crashes = culprit.crashes
        self.trials = history.trials if history else 0
        last_at = max(
            culprit.last_crash_at, history.trial_at if history else -1.0
        )
        delay_s = TRIAL_DELAY_S * TRIAL_DELAY_FACTOR ** min(
            self.trials, TRIALS_MAX
        )
        self.trial_due_at = last_at + delay_s


class CrashLedger:
    """The crashes that this instance knows of, and the quarantined parts."""

    __slots__ = ("_crashes", "_histories", "_answered", "_quarantined")

    def __init__(self) -> None:
        self._crashes: OrderedDict[tuple[str, int], EngineCrash] = OrderedDict()
        self._histories: dict[str, PartHistory] = {}
        # Parts of answered requests, least recently answered first.
        self._answered: OrderedDict[str, None] = OrderedDict()
        self._quarantined: dict[str, Quarantine] = {}

    @property
    def quarantined(self) -> dict[str, Quarantine]:
        """The quarantined parts by name."""
        return self._quarantined

    def find_quarantine(self, parts: Iterable[str]) -> Quarantine | None:
        """Returns the quarantine of the first of these parts that has one."""
        if not self._quarantined:
            return None
        return next(
            (self._quarantined[p] for p in parts if p in self._quarantined),
            None,
        )

    def record_break(
        self,
        engine: tuple[str, int],
        prompts: Iterable[Sequence[str]],
        now: float,
    ) -> None:
        """Records that an engine ended.

        Args:
            engine: Name and start time of the engine.
            prompts: Shared parts of each request that was broken off before
                its answer, in order.
            now: When that happened.
        """
        # Merging adds which parts were answered before.
        parts: dict[str, CandidatePart] = {}
        for prompt in prompts:
            for position, part in enumerate(prompt):
                parts[part] = CandidatePart(position, False)
        self.merge([EngineCrash(engine, now, parts)], {}, now)

    def record_answer(self, parts: Iterable[str], now: float) -> bool:
        """Records that an engine answered a request, which clears its parts.

        Returns:
            Whether that is news for other instances.
        """
        cleared = False
        for part in parts:
            self._answered[part] = None
            self._answered.move_to_end(part)
            history = self._histories.get(part)
            if history is not None and history.crash_at > history.answered_at:
                history.answered_at = now
                history.trials = 0
                cleared = True
        while len(self._answered) > ANSWERED_PARTS_MAX:
            self._answered.popitem(last=False)
        if cleared:
            self._update()
        return cleared

    def start_trial(self, part: str, now: float) -> bool:
        """Records a trial, if one is due; returns whether it may be sent.

        To be called at one instance only, which decides for all.
        """
        quarantine = self._quarantined.get(part)
        if quarantine is None or now < quarantine.trial_due_at:
            return False
        history = self._histories[part]
        history.trial_at = now
        history.trials += 1
        self._update()
        return True

    def merge(
        self,
        crashes: Iterable[EngineCrash],
        histories: dict[str, PartHistory],
        now: float,
    ) -> None:
        """Adds what another instance knows."""
        changed = False
        for crash in crashes:
            if now - crash.at <= CULPRIT_CRASH_AGE_MAX_S:
                changed |= self._merge_crash(crash)
        for part, history in histories.items():
            changed |= self._merge_history(part, history)
        if changed:
            self._update()

    def _merge_crash(self, crash: EngineCrash) -> bool:
        """Adds a crash and its candidates; returns whether any are new."""
        changed = False
        held = self._crashes.get(crash.engine)
        if held is None:
            held = EngineCrash(crash.engine, crash.at, {})
            self._crashes[crash.engine] = held
            changed = True
        held.at = min(held.at, crash.at)
        for part, seen in crash.parts.items():
            answered = seen.answered_before or part in self._answered
            known = held.parts.get(part)
            if known is not None:
                changed |= answered and not known.answered_before
                known.position = max(known.position, seen.position)
                known.answered_before |= answered
            elif len(held.parts) < CANDIDATES_MAX:
                held.parts[part] = CandidatePart(seen.position, answered)
                history = self._histories.setdefault(part, PartHistory())
                history.crash_at = max(history.crash_at, held.at)
                changed = True
        while len(self._crashes) > CRASHES_MAX:
            self._crashes.popitem(last=False)
        return changed

    def _merge_history(self, part: str, history: PartHistory) -> bool:
        """Adds answers and trials of a part; returns whether any are new."""
        held = self._histories.get(part)
        if held is None:
            # No crash is known here that the part may explain.
            return False
        changed = False
        if history.answered_at > held.answered_at + TIME_ERROR_MAX_S:
            held.answered_at = history.answered_at
            if held.trial_at < held.answered_at:
                held.trials = 0
            changed = True
        is_current = history.trial_at > held.answered_at
        if is_current and history.trials > held.trials:
            held.trial_at = max(held.trial_at, history.trial_at)
            held.trials = history.trials
            changed = True
        return changed

    def expire(self, now: float) -> None:
        """Discards crashes that are too old, and histories without a crash."""
        for engine, crash in list(self._crashes.items()):
            is_culprit = not self._quarantined.keys().isdisjoint(crash.parts)
            age_max_s = (
                CULPRIT_CRASH_AGE_MAX_S if is_culprit else CRASH_AGE_MAX_S
            )
            if now - crash.at > age_max_s:
                del self._crashes[engine]
        named = {p for crash in self._crashes.values() for p in crash.parts}
        for part in list(self._histories):
            if part not in named:
                del self._histories[part]
        self._update()

    def _update(self) -> None:
        """Finds the culprits again after a change."""
        culprits = find_culprits(
            self._crashes.values(),
            {part: h.answered_at for part, h in self._histories.items()},
        )
        self._quarantined = {
            culprit.part: Quarantine(culprit, self._histories.get(culprit.part))
            for culprit in culprits
        }

    def select_crashes(
        self, now: float, *, count_max: int, age_max_s: float
    ) -> list[EngineCrash]:
        """Returns the crashes that other instances should know of.

        Those that put parts into quarantine come first, whatever their age,
        then the newest others.

        Args:
            now: Current time.
            count_max: Largest number of crashes.
            age_max_s: Age up to which the others are returned.
        """
        newest = sorted(self._crashes.values(), key=lambda c: -c.at)
        selected: dict[tuple[str, int], EngineCrash] = {}
        for part in self._quarantined:
            having = [c for c in newest if part in c.parts]
            selected.update((c.engine, c) for c in having[:CULPRIT_CRASHES_MAX])
        for crash in newest:
            if now - crash.at <= age_max_s:
                selected.setdefault(crash.engine, crash)
        return list(selected.values())[:count_max]

    def history(self, part: str) -> PartHistory | None:
        """Returns what is known of a part, or None."""
        return self._histories.get(part)
