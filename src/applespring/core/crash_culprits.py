"""Finds the prompt parts that explain why engines crashed.

An engine that ends breaks off all its requests, most of which had nothing to do
with it. The requests whose answers had not begun are the candidates. A part
that crashes engines is among the candidates of crash after crash and is never
answered; a sound one is among them by chance, and answered soon after.
"""

from collections.abc import Iterable, Mapping, Sequence

# Crashes closer together than this count as one: a power loss ends several
# engines at once, and an instance whose connections are reset sees the same.
SIMULTANEOUS_S = 0.2
# Least crashes at which a part is a culprit. Where other crashes happen too, a
# sound part is among the candidates twice by chance, so each further
# `CRASHES_PER_STEP` crashes without the part require one more, as does an
# answer to a request with the part before its first crash, up to the maximum.
CULPRIT_CRASHES_MIN = 2
CRASHES_PER_STEP = 4
CULPRIT_CRASHES_MAX = 4
# Most culprits. More of them would not be the cause of what is wrong, and each
# costs a pass over all crashes.
CULPRITS_MAX = 8
# Other crashes count from this long before the first one with the part.
OTHER_CRASHES_WINDOW_S = 30.0


class CandidatePart:
    """A prompt part of requests that were broken off before their answers.

    Attributes:
        position: Its position in the prompt; later parts are shared by fewer
            requests.
        answered_before: Whether requests with it were answered before that.
    """

    __slots__ = ("position", "answered_before")

    def __init__(self, position: int, answered_before: bool) -> None:
        self.position = position
        self.answered_before = answered_before


class EngineCrash:
    """The end of one start of an engine.

    Attributes:
        engine: Name and start time of the engine, see `ListedUpstream`.
        at: When it ended.
        parts: Candidates by name; empty if all broken requests had begun.
    """

    __slots__ = ("engine", "at", "parts")

    def __init__(
        self,
        engine: tuple[str, int],
        at: float,
        parts: dict[str, CandidatePart],
    ) -> None:
        self.engine = engine
        self.at = at
        self.parts = parts


class Culprit:
    """A part that explains crashes.

    Attributes:
        part: Name of the part.
        crashes: Number of crashes, not counting simultaneous ones.
        last_crash_at: When the last of them happened.
    """

    __slots__ = ("part", "crashes", "last_crash_at")

    def __init__(self, part: str, crashes: int, last_crash_at: float) -> None:
        self.part = part
        self.crashes = crashes
        self.last_crash_at = last_crash_at


def find_culprits(
    crashes: Iterable[EngineCrash], answered_at: Mapping[str, float]
) -> list[Culprit]:
    """Returns the parts that explain the crashes, strongest evidence first.

    A crash that one culprit explains is no evidence against other parts, which
    were there by chance or come in its company. Of two parts with the same
    crashes, the one that was never answered is the culprit, else the later one
    in the prompt.

    Args:
        crashes: The crashes.
        answered_at: When a request with a part was last answered; earlier
            crashes are no evidence against the part.
    """
    unexplained = sorted(crashes, key=lambda crash: crash.at)
    culprits: list[Culprit] = []
    while len(culprits) < CULPRITS_MAX:
        best, best_key = None, None
        for part, hits in _hits_by_part(unexplained, answered_at).items():
            times = _separate_times([crash.at for crash in hits])
            if len(times) < CULPRIT_CRASHES_MIN:
                continue
            seen = [crash.parts[part] for crash in hits]
            never_answered = not any(s.answered_before for s in seen)
            if len(times) < _needed(part, times, unexplained, never_answered):
                continue
            position = max(s.position for s in seen)
            key = (len(times), never_answered, position, part)
            if best_key is None or key > best_key:
                best, best_key = Culprit(part, len(times), hits[-1].at), key
        if best is None:
            break
        culprits.append(best)
        unexplained = [c for c in unexplained if best.part not in c.parts]
    return culprits


def _hits_by_part(
    crashes: Sequence[EngineCrash], answered_at: Mapping[str, float]
) -> dict[str, list[EngineCrash]]:
    """Returns the crashes that are evidence against each part."""
    hits: dict[str, list[EngineCrash]] = {}
    for crash in crashes:
        for part in crash.parts:
            if crash.at > answered_at.get(part, -1.0):
                hits.setdefault(part, []).append(crash)
    return hits


def _needed(
    part: str,
    times: Sequence[float],
    crashes: Sequence[EngineCrash],
    never_answered: bool,
) -> int:
    """Returns how many crashes make the part a culprit."""
    others = _separate_times(
        [
            crash.at
            for crash in crashes
            if part not in crash.parts
            and times[0] - OTHER_CRASHES_WINDOW_S <= crash.at <= times[-1]
        ]
    )
    needed = CULPRIT_CRASHES_MIN + len(others) // CRASHES_PER_STEP
    if not never_answered:
        needed += 1
    return min(CULPRIT_CRASHES_MAX, needed)


def _separate_times(times: Sequence[float]) -> list[float]:
    """Returns the starts of the groups of simultaneous crashes.

    Args:
        times: Times of crashes in ascending order.
    """
    starts: list[float] = []
    for at in times:
        if not starts or at - starts[-1] >= SIMULTANEOUS_S:
            starts.append(at)
    return starts
