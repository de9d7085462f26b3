"""Messages about crashes between instances; times travel as ages."""

from collections.abc import (
    Callable,
    Container,
    Iterable,
    Iterator,
    Sequence,
)

from loguru import logger

from applespring.core.crash_culprits import Candidate, UpstreamCrash
from applespring.core.crash_ledger import CandidateHistory
from applespring.core.errors import MessageError
from applespring.peer import message
from applespring.peer.codec import DATAGRAM_BYTES_MAX, encode

# Candidates of one crash that are sent at a time.
CANDIDATES_SENT_MAX = 48
CRASHES_BEFORE_MAX = 0xFF


def describe_crash(
    crash: UpstreamCrash, quarantined: Container[str], now: float
) -> message.UpstreamCrash:
    """Returns the message about a crash, strongest candidates first."""
    names = sorted(
        crash.candidates,
        key=lambda name: (
            name not in quarantined,
            -crash.candidates[name].crashes_before,
            crash.candidates[name].answered_before,
        ),
    )
    upstream, born_ms = crash.upstream
    return message.UpstreamCrash(
        upstream=upstream,
        born_ms=born_ms,
        age_s=max(0.0, now - crash.at),
        candidates=[
            message.CrashCandidate(
                name=name,
                position=crash.candidates[name].position,
                answered_before=crash.candidates[name].answered_before,
                crashes_before=min(
                    CRASHES_BEFORE_MAX, crash.candidates[name].crashes_before
                ),
            )
            for name in names[:CANDIDATES_SENT_MAX]
        ],
    )


def read_crash(msg: message.UpstreamCrash, now: float) -> UpstreamCrash:
    """Returns the crash that a message describes."""
    return UpstreamCrash(
        (msg.upstream, msg.born_ms),
        now - msg.age_s,
        {
            c.name: Candidate(c.position, c.answered_before, c.crashes_before)
            for c in msg.candidates
        },
    )


def describe_history(
    name: str, history: CandidateHistory, now: float
) -> message.CandidateHistory:
    """Returns the message about the answers and trials of a candidate."""
    return message.CandidateHistory(
        name=name,
        answered_age_s=_age_of(history.answered_at, now),
        trial_age_s=_age_of(history.trial_at, now),
        trials=history.trials,
    )


def read_histories(
    histories: Iterable[message.CandidateHistory], now: float
) -> dict[str, CandidateHistory]:
    """Returns the answers and trials that messages describe, by name."""
    return {
        history.name: CandidateHistory(
            _time_of(history.answered_age_s, now),
            _time_of(history.trial_age_s, now),
            history.trials,
        )
        for history in histories
    }


def split_crashes(
    make_message: Callable[..., message.Message],
    crashes: Sequence[message.UpstreamCrash],
    histories: Sequence[message.CandidateHistory],
) -> Iterator[bytes]:
    """Yields the datagrams in which crashes are sent.

    Args:
        make_message: Returns the message with these `crashes` and `histories`.
        crashes: The crashes.
        histories: What is known of their candidates.
    """
    named = {c.name for crash in crashes for c in crash.candidates}
    report = make_message(
        crashes=crashes, histories=[h for h in histories if h.name in named]
    )
    try:
        yield encode(report, DATAGRAM_BYTES_MAX)
        return
    except MessageError as exc:
        halves = _halve(crashes)
        if not halves:
            logger.bind(event="crash_not_sent", candidates=sorted(named)).error(
                "a crash does not fit a datagram: {}", exc
            )
            return
    for half in halves:
        yield from split_crashes(make_message, half, histories)


def _halve(
    crashes: Sequence[message.UpstreamCrash],
) -> list[list[message.UpstreamCrash]]:
    """Returns two halves, of the crashes or of the candidates of one."""
    middle = len(crashes) // 2
    if middle:
        return [list(crashes[:middle]), list(crashes[middle:])]
    crash = crashes[0]
    middle = len(crash.candidates) // 2
    if not middle:
        return []
    return [
        [
            message.UpstreamCrash(
                upstream=crash.upstream,
                born_ms=crash.born_ms,
                age_s=crash.age_s,
                candidates=candidates,
            )
        ]
        for candidates in (crash.candidates[:middle], crash.candidates[middle:])
    ]


def _age_of(at: float, now: float) -> float:
    """Returns the age of an event, or -1 if it has not happened."""
    return -1.0 if at < 0.0 else max(0.0, now - at)


def _time_of(age_s: float, now: float) -> float:
    """Returns the time of an event of this age, or -1 if it is negative."""
    return -1.0 if age_s < 0.0 else now - age_s
