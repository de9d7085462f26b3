"""Finds what explains why upstreams crashed.

An upstream that ends breaks off all its requests, most of which had nothing to
do with it. The requests whose answers had not begun, the shared parts of their
prompts, and the pieces of a stage call are the candidates. One that crashes
upstreams is a candidate of crash after crash and is never answered; a sound one
is a candidate by chance, and answered soon after.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable, Mapping, Sequence

# Crashes closer together than this count as one: a power loss ends several
# upstreams at once or one after the other. A request that was sent after an
# earlier crash shows that they are two, unless others happened near them.
SIMULTANEOUS_S = 0.2
# Least crashes of which a candidate is the culprit. Where other crashes happen
# too, a sound one is a candidate twice by chance, so each further
# `CRASHES_PER_STEP` crashes without it require one more, as does an answer
# before its first crash, and another request with the same crashes, up to the
# maximum.
CULPRIT_CRASHES_MIN = 2
CRASHES_PER_STEP = 4
CULPRIT_CRASHES_MAX = 4
# Most culprits. More of them would not be the cause of what is wrong, and each
# costs a pass over all crashes.
CULPRITS_MAX = 8
# Other crashes count from this long before the first one with the candidate.
OTHER_CRASHES_WINDOW_S = 30.0
# Position of a request, which follows all parts of its prompt, and of a piece.
REQUEST_POSITION = 0xFFFF
# Names of parts have no colon, so that no caller can name a part like a request
# (`PromptPart`).
_REQUEST_PREFIX = "request:"
_PIECE_PREFIX = "piece:"


def request_candidate(fingerprint: str) -> str:
    """Returns the name of a request as a candidate, given its fingerprint."""
    return _REQUEST_PREFIX + fingerprint


def piece_candidate(fingerprint: str, stage: int, segment: int) -> str:
    """Returns the name of a piece of a request as a candidate."""
    return f"{_PIECE_PREFIX}{fingerprint}/{stage}/{segment}"


def is_request(name: str) -> bool:
    """Returns whether a candidate is a whole request."""
    return name.startswith(_REQUEST_PREFIX)


def fingerprint_of(name: str) -> str:
    """Returns the fingerprint of a request or piece, or "" for a part."""
    kind, colon, rest = name.partition(":")
    return rest.partition("/")[0] if colon and kind else ""


class Candidate:
    """A part, request or piece that was broken off before its answer.

    Attributes:
        position: Its position in the prompt, or `REQUEST_POSITION`; later ones
            are shared by fewer requests.
        answered_before: Whether requests with it were answered before that.
        crashes_before: Crashes that were held against it when the last such
            request was sent.
    """

    __slots__ = ("position", "answered_before", "crashes_before")

    def __init__(
        self,
        position: int,
        answered_before: bool = False,
        crashes_before: int = 0,
    ) -> None:
        self.position = position
        self.answered_before = answered_before
        self.crashes_before = crashes_before


class UpstreamCrash:
    """The end of one start of an upstream.

    Attributes:
        upstream: Name and start time of the upstream, see `ListedUpstream`.
        at: When it ended.
        candidates: Candidates by name; empty if all broken requests had begun.
    """

    __slots__ = ("upstream", "at", "candidates")

    def __init__(
        self,
        upstream: tuple[str, int],
        at: float,
        candidates: dict[str, Candidate],
    ) -> None:
        self.upstream = upstream
        self.at = at
        self.candidates = candidates


class Culprit:
    """A candidate that explains crashes.

    Attributes:
        name: Name of the candidate.
        crashes: Number of crashes, not counting simultaneous ones.
        last_crash_at: When the last of them happened.
    """

    __slots__ = ("name", "crashes", "last_crash_at")

    def __init__(self, name: str, crashes: int, last_crash_at: float) -> None:
        self.name = name
        self.crashes = crashes
        self.last_crash_at = last_crash_at


def find_culprits(
    crashes: Iterable[UpstreamCrash], answered_at: Mapping[str, float]
) -> list[Culprit]:
    """Returns what explains the crashes, strongest evidence first.

    A crash that one culprit explains is no evidence against other candidates,
    which were there by chance or come in its company. Of two candidates with
    the same crashes, the one that was never answered is the culprit, else the
    later one in the prompt.

    Args:
        crashes: The crashes.
        answered_at: When a candidate was last answered; earlier crashes are no
            evidence against it.
    """
    unexplained = sorted(crashes, key=lambda crash: crash.at)
    culprits: list[Culprit] = []
    while len(culprits) < CULPRITS_MAX:
        best = _find_best(unexplained, answered_at)
        if best is None:
            break
        culprits.append(best)
        unexplained = [c for c in unexplained if best.name not in c.candidates]
    return culprits


class _Ranked:
    """A candidate that has enough crashes against it.

    Attributes:
        name: Name of the candidate.
        strength: Separate crashes, whether it was never answered, and its
            position; the largest is the culprit.
        needed: Least number of crashes.
        last_crash_at: When the last of them happened.
    """

    __slots__ = ("name", "strength", "needed", "last_crash_at")

    def __init__(
        self,
        name: str,
        strength: tuple[int, bool, int],
        needed: int,
        last_crash_at: float,
    ) -> None:
        self.name = name
        self.strength = strength
        self.needed = needed
        self.last_crash_at = last_crash_at


def _find_best(
    crashes: Sequence[UpstreamCrash], answered_at: Mapping[str, float]
) -> Culprit | None:
    """Returns the candidate with the strongest evidence, if it suffices."""
    by_count: dict[int, list[tuple[str, list[UpstreamCrash]]]] = {}
    for name, hits in _hits_by_candidate(crashes, answered_at).items():
        by_count.setdefault(len(hits), []).append((name, hits))
    ranked: list[_Ranked] = []
    for count in sorted(by_count, reverse=True):
        # Those with fewer crashes can't be stronger, and there may be many.
        best = _choose_best(ranked)
        if count < CULPRIT_CRASHES_MIN or (best and best.crashes > count):
            return best
        for name, hits in by_count[count]:
            found = _rank(name, hits, crashes)
            if found is not None:
                ranked.append(found)
    return _choose_best(ranked)


def _rank(
    name: str, hits: Sequence[UpstreamCrash], crashes: Sequence[UpstreamCrash]
) -> _Ranked | None:
    """Returns a candidate with its evidence, or None if that is too weak."""
    times = _separate_hits(name, hits, crashes)
    if len(times) < CULPRIT_CRASHES_MIN:
        return None
    seen = [crash.candidates[name] for crash in hits]
    never_answered = not any(s.answered_before for s in seen)
    needed = _needed(name, times, crashes, never_answered)
    if len(times) < needed:
        return None
    position = max(s.position for s in seen)
    strength = (len(times), never_answered, position)
    return _Ranked(name, strength, needed, hits[-1].at)


def _choose_best(ranked: Sequence[_Ranked]) -> Culprit | None:
    """Returns the strongest candidate that no other request rivals."""
    for found in sorted(
        ranked, key=lambda r: (r.strength, r.name), reverse=True
    ):
        count, _, position = found.strength
        rivals = {
            fingerprint_of(r.name)
            for r in ranked
            if r.strength == found.strength
        }
        is_rivalled = position == REQUEST_POSITION and len(rivals) > 1
        if is_rivalled and count < min(CULPRIT_CRASHES_MAX, found.needed + 1):
            # Requests that were broken off together twice: the next answer or
            # crash tells them apart.
            continue
        return Culprit(found.name, count, found.last_crash_at)
    return None


def _hits_by_candidate(
    crashes: Sequence[UpstreamCrash], answered_at: Mapping[str, float]
) -> dict[str, list[UpstreamCrash]]:
    """Returns the crashes that are evidence against each candidate."""
    hits: dict[str, list[UpstreamCrash]] = {}
    for crash in crashes:
        for name in crash.candidates:
            if crash.at > answered_at.get(name, -1.0):
                hits.setdefault(name, []).append(crash)
    return hits


def _needed(
    name: str,
    times: Sequence[float],
    crashes: Sequence[UpstreamCrash],
    never_answered: bool,
) -> int:
    """Returns how many crashes make the candidate a culprit."""
    first_at = times[0] - OTHER_CRASHES_WINDOW_S
    others = _separate_times(
        [
            (at, 0)
            for at in _times_without(name, crashes)
            if first_at <= at <= times[-1]
        ],
        lambda: (),
    )
    needed = CULPRIT_CRASHES_MIN + len(others) // CRASHES_PER_STEP
    if not never_answered:
        needed += 1
    return min(CULPRIT_CRASHES_MAX, needed)


def count_crashes(
    name: str, crashes: Iterable[UpstreamCrash], answered_at: float
) -> int:
    """Returns how many crashes are held against a candidate.

    Args:
        name: The candidate.
        crashes: The crashes.
        answered_at: When it was last answered, or -1.
    """
    ordered = sorted(crashes, key=lambda crash: crash.at)
    hits = [c for c in ordered if name in c.candidates and c.at > answered_at]
    return len(_separate_hits(name, hits, ordered))


def _times_without(name: str, crashes: Iterable[UpstreamCrash]) -> list[float]:
    """Returns when the crashes happened of which a name is no candidate."""
    return [crash.at for crash in crashes if name not in crash.candidates]


def _separate_hits(
    name: str, hits: Sequence[UpstreamCrash], crashes: Sequence[UpstreamCrash]
) -> list[float]:
    """Returns the starts of the groups of simultaneous crashes of one name.

    Args:
        name: The candidate.
        hits: The crashes that are held against it, by time.
        crashes: All crashes, by time.
    """
    return _separate_times(
        [(crash.at, crash.candidates[name].crashes_before) for crash in hits],
        lambda: _times_without(name, crashes),
    )


def _separate_times(
    crashes: Sequence[tuple[float, int]],
    list_others: Callable[[], Sequence[float]],
) -> list[float]:
    """Returns the starts of the groups of simultaneous crashes.

    Args:
        crashes: Time of each crash, ascending, and how many earlier ones were
            known when a request was sent that was there.
        list_others: Returns the times of other crashes, ascending.
    """
    starts: list[float] = []
    for at, crashes_before in crashes:
        if not starts or at - starts[-1] >= SIMULTANEOUS_S:
            starts.append(at)
        elif crashes_before >= len(starts):
            others = list_others()
            first_other = bisect_left(others, starts[-1] - SIMULTANEOUS_S)
            if first_other == bisect_right(others, at):
                starts.append(at)
    return starts
