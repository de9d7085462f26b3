"""Record of crashes, and of what is quarantined because of them.

Every instance holds a ledger and passes its entries on, so that crashes that
several instances saw count together everywhere. Merging entries in any order,
any number of times, gives the same ledger.
"""

import math
from collections import OrderedDict
from collections.abc import Container, Iterable, Sequence

from applespring.core.crash_culprits import (
    CULPRIT_CRASHES_MAX,
    REQUEST_POSITION,
    Candidate,
    Culprit,
    UpstreamCrash,
    count_crashes,
    find_culprits,
    fingerprint_of,
    is_request,
    request_candidate,
)

# How long a crash is evidence. A candidate is tried far more often than this,
# so a sound one leaves quarantine long before.
CRASH_AGE_MAX_S = 600.0
CULPRIT_CRASH_AGE_MAX_S = 6 * 3600.0
# Crashes and answered candidates that are remembered, and candidates of one
# crash. Requests are counted apart, since most come only once and would evict
# all parts.
CRASHES_MAX = 128
ANSWERED_PARTS_MAX = 4096
ANSWERED_REQUESTS_MAX = 2048
CANDIDATES_MAX = 96
# A quarantined candidate is tried again this long after its last crash or
# trial, then after four times as long, and so on: a sound one is released soon,
# and one that still crashes upstreams costs few of them.
TRIAL_DELAY_S = 5.0
TRIAL_DELAY_FACTOR = 4.0
# Trials end with this many crashes: at most three requests may follow the third
# crash (the users' rules). The crashes are forgotten later.
TRIED_CRASHES_MAX = 6
TRIALS_MAX = 3
# Times of other instances arrive as ages and seem later by the time of their
# journey. A time replaces an earlier one only if it differs by more than this;
# else each exchange would make it later.
TIME_ERROR_MAX_S = 0.5


class BrokenRequest:
    """A request that an upstream broke off before its answer.

    Attributes:
        candidates: Names and positions of the shared parts of its prompt, and
            of the request itself.
        crashes_before: For each of them, how many crashes were held against it
            when the request was sent.
    """

    __slots__ = ("candidates", "crashes_before")

    def __init__(
        self,
        candidates: Sequence[tuple[str, int]],
        crashes_before: Sequence[int],
    ) -> None:
        self.candidates = tuple(candidates)
        self.crashes_before = tuple(crashes_before)


def list_candidates(
    parts: Iterable[str], fingerprint: str
) -> tuple[tuple[str, int], ...]:
    """Returns what a crash may be held against, with positions.

    Args:
        parts: Shared parts of the prompt, in order.
        fingerprint: Fingerprint of the request.
    """
    named = [(part, position) for position, part in enumerate(parts)]
    return (*named, (request_candidate(fingerprint), REQUEST_POSITION))


class CandidateHistory:
    """What is known of one candidate beside the crashes.

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
    """A candidate with which no requests are sent, except as trials.

    Attributes:
        name: Name of the prompt part, request or piece.
        crashes: Number of crashes that it explains.
        trials: Number of trials so far.
        trial_due_at: From when on the next trial may be sent; infinite after
            the last one.
    """

    __slots__ = ("name", "crashes", "trials", "trial_due_at")

    def __init__(
        self, culprit: Culprit, history: CandidateHistory | None
    ) -> None:
        self.name = culprit.name
        self.crashes = culprit.crashes
        self.trials = history.trials if history else 0
        last_at = max(
            culprit.last_crash_at, history.trial_at if history else -1.0
        )
        self.trial_due_at = math.inf
        if self.trials < TRIALS_MAX and self.crashes < TRIED_CRASHES_MAX:
            delay_s = TRIAL_DELAY_S * TRIAL_DELAY_FACTOR**self.trials
            self.trial_due_at = last_at + delay_s

    @property
    def label(self) -> str:
        """What is quarantined, for messages."""
        kind = "" if self.fingerprint else "prompt part "
        return kind + self.name

    @property
    def fingerprint(self) -> str:
        """Fingerprint of the quarantined request, or "" for a part."""
        return fingerprint_of(self.name)


class CrashLedger:
    """The crashes that this instance knows of, and what is quarantined."""

    __slots__ = (
        "_crashes",
        "_histories",
        "_answered_parts",
        "_answered_requests",
        "_quarantined",
    )

    def __init__(self) -> None:
        self._crashes: OrderedDict[tuple[str, int], UpstreamCrash] = (
            OrderedDict()
        )
        self._histories: dict[str, CandidateHistory] = {}
        self._answered_parts = RecentNames(ANSWERED_PARTS_MAX)
        self._answered_requests = RecentNames(ANSWERED_REQUESTS_MAX)
        self._quarantined: dict[str, Quarantine] = {}

    @property
    def quarantined(self) -> dict[str, Quarantine]:
        """What is quarantined, by name."""
        return self._quarantined

    @property
    def quarantined_fingerprints(self) -> set[str]:
        """Fingerprints of the requests and pieces that are quarantined."""
        return {q.fingerprint for q in self._quarantined.values()} - {""}

    def find_quarantines(
        self, names: Container[str], fingerprint: str = ""
    ) -> list[Quarantine]:
        """Returns the quarantines of a request.

        Args:
            names: Names of its candidates.
            fingerprint: Its fingerprint, which its pieces have in their names.
        """
        return [
            quarantine
            for name, quarantine in self._quarantined.items()
            if name in names
            or (fingerprint and quarantine.fingerprint == fingerprint)
        ]

    def count_crashes(self, name: str) -> int:
        """Returns how many crashes are held against a candidate."""
        history = self._histories.get(name)
        if history is None or history.crash_at <= history.answered_at:
            return 0
        return count_crashes(name, self._crashes.values(), history.answered_at)

    def record_crash(
        self,
        upstream: tuple[str, int],
        broken: Iterable[BrokenRequest],
        now: float,
    ) -> None:
        """Records that an upstream ended.

        Args:
            upstream: Name and start time of the upstream.
            broken: Each request that it broke off before its answer.
            now: When that happened.
        """
        # Merging adds which candidates were answered before.
        candidates: dict[str, Candidate] = {}
        for request in broken:
            for (name, position), crashes_before in zip(
                request.candidates, request.crashes_before, strict=True
            ):
                held = candidates.setdefault(name, Candidate(position))
                held.crashes_before = max(held.crashes_before, crashes_before)
        self.merge([UpstreamCrash(upstream, now, candidates)], {}, now)

    def record_answer(self, names: Iterable[str], now: float) -> bool:
        """Records that an upstream answered a request, which clears it.

        Args:
            names: Names of its candidates.
            now: Current time.

        Returns:
            Whether that is news for other instances.
        """
        cleared = False
        for name in names:
            if is_request(name):
                self._answered_requests.add(name)
            elif not fingerprint_of(name):
                self._answered_parts.add(name)
            history = self._histories.get(name)
            if history is not None and history.crash_at > history.answered_at:
                history.answered_at = now
                history.trials = 0
                cleared = True
        if cleared:
            self._update()
        return cleared

    def start_trial(self, name: str, now: float) -> bool:
        """Records a trial, if one is due; returns whether it may be sent.

        To be called at one instance only, which decides for all.
        """
        quarantine = self._quarantined.get(name)
        if quarantine is None or now < quarantine.trial_due_at:
            return False
        history = self._histories[name]
        history.trial_at = now
        history.trials += 1
        self._update()
        return True

    def merge(
        self,
        crashes: Iterable[UpstreamCrash],
        histories: dict[str, CandidateHistory],
        now: float,
    ) -> None:
        """Adds what another instance knows."""
        changed = False
        for crash in crashes:
            if now - crash.at <= CULPRIT_CRASH_AGE_MAX_S:
                changed |= self._merge_crash(crash)
        for name, history in histories.items():
            changed |= self._merge_history(name, history)
        if changed:
            self._update()

    def _merge_crash(self, crash: UpstreamCrash) -> bool:
        """Adds a crash and its candidates; returns whether any are new."""
        changed = False
        held = self._crashes.get(crash.upstream)
        if held is None:
            held = UpstreamCrash(crash.upstream, crash.at, {})
            self._crashes[crash.upstream] = held
            changed = True
        held.at = min(held.at, crash.at)
        for name, seen in crash.candidates.items():
            answered = (
                seen.answered_before
                or name in self._answered_requests
                or name in self._answered_parts
            )
            known = held.candidates.get(name)
            if known is None:
                if not self._make_room(held, name):
                    continue
                known = held.candidates[name] = Candidate(seen.position)
                history = self._histories.setdefault(name, CandidateHistory())
                history.crash_at = max(history.crash_at, held.at)
                changed = True
            changed |= answered and not known.answered_before
            changed |= seen.crashes_before > known.crashes_before
            known.position = max(known.position, seen.position)
            known.answered_before |= answered
            known.crashes_before = max(
                known.crashes_before, seen.crashes_before
            )
        while len(self._crashes) > CRASHES_MAX:
            self._evict_crash()
        return changed

    def _make_room(self, crash: UpstreamCrash, name: str) -> bool:
        """Returns whether another candidate of a crash can be remembered.

        One that was answered since is forgotten for it, else one of this crash
        alone if the other is of several.
        """
        if len(crash.candidates) < CANDIDATES_MAX:
            return True
        is_suspect = self.count_crashes(name) > 0
        for other in crash.candidates:
            held_against = self.count_crashes(other)
            if held_against == 0 or (is_suspect and held_against == 1):
                del crash.candidates[other]
                return True
        return False

    def _evict_crash(self) -> None:
        """Forgets the oldest crash, those of quarantined candidates last."""
        oldest = next(
            (
                upstream
                for upstream, crash in self._crashes.items()
                if self._quarantined.keys().isdisjoint(crash.candidates)
            ),
            next(iter(self._crashes)),
        )
        del self._crashes[oldest]

    def _merge_history(self, name: str, history: CandidateHistory) -> bool:
        """Adds answers and trials; returns whether any are new."""
        held = self._histories.get(name)
        if held is None:
            # No crash is known here that the candidate may explain.
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
        for upstream, crash in list(self._crashes.items()):
            is_culprit = not self._quarantined.keys().isdisjoint(
                crash.candidates
            )
            age_max_s = (
                CULPRIT_CRASH_AGE_MAX_S if is_culprit else CRASH_AGE_MAX_S
            )
            if now - crash.at > age_max_s:
                del self._crashes[upstream]
        named = {n for c in self._crashes.values() for n in c.candidates}
        for name in list(self._histories):
            if name not in named:
                del self._histories[name]
        self._update()

    def _update(self) -> None:
        """Finds the culprits again after a change."""
        culprits = find_culprits(
            self._crashes.values(),
            {name: h.answered_at for name, h in self._histories.items()},
        )
        self._quarantined = {
            culprit.name: Quarantine(culprit, self._histories.get(culprit.name))
            for culprit in culprits
        }

    def select_crashes(
        self, now: float, *, count_max: int, age_max_s: float
    ) -> list[UpstreamCrash]:
        """Returns the crashes that other instances should know of.

        Those that explain a quarantine come first, whatever their age, then the
        newest others.

        Args:
            now: Current time.
            count_max: Largest number of crashes.
            age_max_s: Age up to which the others are returned.
        """
        newest = sorted(self._crashes.values(), key=lambda c: -c.at)
        selected: dict[tuple[str, int], UpstreamCrash] = {}
        for name in self._quarantined:
            having = [c for c in newest if name in c.candidates]
            selected.update(
                (c.upstream, c) for c in having[:CULPRIT_CRASHES_MAX]
            )
        for crash in newest:
            if now - crash.at <= age_max_s:
                selected.setdefault(crash.upstream, crash)
        return list(selected.values())[:count_max]

    def history(self, name: str) -> CandidateHistory | None:
        """Returns what is known of a candidate, or None."""
        return self._histories.get(name)


class RecentNames:
    """A bounded set of names, without those that were added longest ago."""

    __slots__ = ("_names", "_count_max")

    def __init__(self, count_max: int) -> None:
        self._names: OrderedDict[str, None] = OrderedDict()
        self._count_max = count_max

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def add(self, name: str) -> None:
        """Adds a name, or marks it as added now."""
        self._names[name] = None
        self._names.move_to_end(name)
        if len(self._names) > self._count_max:
            self._names.popitem(last=False)
