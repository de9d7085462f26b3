"""Checks the records of a run against the guarantees of the relay."""

import math
from collections.abc import Callable, Iterator, Sequence

from soak import document
from soak.document import SEGMENTS
from soak.record import (
    DISCONNECTED,
    RETRYABLE,
    STAGED,
    STALL,
    STARVED,
    STREAMING,
    UNSAFE,
    CallerRequest,
    Execution,
    LimitedArrival,
    Piece,
    Records,
    SentAnswer,
)
from soak.relays import MEMORY_MB, SOCKETS_MAX, TERM_GRACE_S
from soak.upstream import DEADLY_PART, make_event

# Settings of the users' deployments, with the name of each setting.
CONFIG_APPLY_S = 2.0  # configApplyMs
DRAIN_NOTICE_S = 2.0  # drainMs
CONTACT_S = 3.0  # contactMs
EVACUATE_S = 5.0  # evacuateMs
LOSS_SLACK_S = 0.2  # lossSlackMs
RETRY_RATIO = 0.2  # retryBudgetRatio
RETRY_EXTRA = 50  # budgetExtraRetries, its default
RETRY_WINDOW_S = 10.0  # budgetWindowS
# From this time after an upstream asked for a pause it gets at most so many
# requests of the instance until the end of the pause (rule BUDGET).
PAUSE_SLACK_S = 0.5
PAUSED_REQUESTS_MAX = 2
# From `CONTACT_S` after an upstream first named a rate limit it gets in
# `LIMIT_WINDOW_S` at most this multiple of it and so many requests of the
# instances that have known it for `LIMIT_SLACK_S` (rule LIMIT).
LIMIT_SLACK_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
# The users count answers as late when more than LATE_ANSWERS_MAX requests, and
# over a quarter of those that reach their deadline, have no answer after a
# further LATE_ANSWER_S (rule CONFIG).
LATE_ANSWER_S = 0.5
LATE_ANSWERS_MAX = 7
# A request sent later than this after SIGTERM may still be in progress when the
# process has to end, so that its loss is no violation (rule LOST).
TERM_ACCEPT_S = 3.0
# After this many crashes of engines on a prompt part, or of workers on a
# request, at most so many further ones reach them (rule BUDGET).
PART_CRASHES = 5
REQUEST_CRASHES = 3
DEADLY_REQUESTS_MAX = 3
# Lowest share of requests served after all faults have ended (rule RECOVER).
RECOVERED_SHARE_MIN = 0.25
# Statuses that guarantee that the request was not executed and never will be.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
# Statuses with which workers refuse a request.
REFUSED_STATUSES = NOT_RUN_STATUSES | {409}
ROUTE_ERROR_STATUSES = frozenset([401, 403, 404])
# Headers that only the system may set on a request to an upstream.
SYSTEM_HEADERS = ("hold", "pin-ms", "kv-from", "kv-backup", "x-api-key")

Check = Callable[[Records], Iterator[str]]
CHECKS: dict[str, Check] = {}


def check(name: str) -> Callable[[Check], Check]:
    """Registers a check, a generator of one line for each violation."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def audit(records: Records) -> list[str]:
    """Returns every violation, as `NAME: description`."""
    return [
        f"{name}: {violation}"
        for name, function in CHECKS.items()
        for violation in function(records)
    ]


def _each_run(
    records: Records,
) -> Iterator[tuple[Execution, CallerRequest | None]]:
    for request_id, executions in records.executions.items():
        for execution in executions:
            yield execution, records.requests.get(request_id)


@check("unasked")
def check_unasked(records: Records) -> Iterator[str]:
    """Upstreams execute what callers sent, for the account of the API key."""
    for execution, request in _each_run(records):
        label = f"{execution.request_id} at {execution.upstream}"
        if request is None:
            yield f"{label}: executed, but no caller sent it"
        elif (execution.path, execution.body) != (request.path, request.body):
            yield f"{label}: path or body differs from what was sent"
        elif execution.account != document.ACCOUNT:
            yield f"{label}: executed for account {execution.account!r}"
        elif any(name in execution.headers for name in SYSTEM_HEADERS):
            yield f"{label}: a reserved header of the caller was passed on"


@check("route")
def check_route(records: Records) -> Iterator[str]:
    """Requests are executed at the pool of their route."""
    for execution, request in _each_run(records):
        if (
            request is not None
            and execution.pool != document.POOL_BY_KIND[request.kind]
        ):
            yield (
                f"{execution.request_id} ({request.kind}) was executed at "
                f"pool {execution.pool}"
            )


@check("twice")
def check_twice(records: Records) -> Iterator[str]:
    """Requests are executed once, retryable ones up to `maxAttempts` times."""
    for request_id, executions in records.executions.items():
        request = records.requests.get(request_id)
        if request is None:
            continue
        allowed = document.ATTEMPTS_MAX[request.kind]
        if request.kind not in RETRYABLE:
            allowed = 1
        if len(executions) > allowed:
            upstreams = [execution.upstream for execution in executions]
            yield (
                f"{request_id} ({request.kind}) was executed at {upstreams}, "
                f"above {allowed} times"
            )


@check("refused")
def check_refused(records: Records) -> Iterator[str]:
    """A request whose answer guarantees that it was not executed was not."""
    for request in records.requests.values():
        executions = records.executions.get(request.request_id, [])
        if (
            request.complete
            and request.status in NOT_RUN_STATUSES
            and executions
        ):
            yield (
                f"{request.request_id} ({request.kind}) was answered "
                f"{request.status} and executed at {executions[0].upstream}"
            )


@check("mixed")
def check_mixed(records: Records) -> Iterator[str]:
    """A success is the complete answer of an upstream to this request.

    It is the answer of that upstream to the last time that the request was sent
    to it, and a failure with a signature that to the last time it didn't refuse
    the request.
    """
    yield from _find_earlier_answers(records)
    for request in records.requests.values():
        if not request.served:
            continue
        executions = records.executions.get(request.request_id, [])
        signature = request.headers.get("response-signature", "")
        name = f"{request.request_id} ({request.kind})"
        if request.headers.get("request-id") != request.request_id:
            yield f"{name} got the answer of another request"
        elif signature not in [execution.signature for execution in executions]:
            yield f"{name} got a success that no upstream signed"
        elif request.kind in STREAMING:
            if request.answer != _complete_stream(request):
                yield f"{name} got a stream that is not every event once"
        elif request.answer not in [
            execution.answer for execution in executions
        ]:
            yield f"{name} got a body that no upstream sent"


def _find_earlier_answers(records: Records) -> Iterator[str]:
    """Yields the signed answers that aren't those to the last sending."""
    sent: dict[tuple[str, str], list[SentAnswer]] = {}
    for arrival in records.arrivals:
        upstream = arrival.start.partition("#")[0]
        key = (arrival.request.request_id, upstream)
        sent.setdefault(key, []).append(arrival.answer)
    for request in records.requests.values():
        signature = request.headers.get("response-signature", "")
        if not request.complete or not signature:
            continue
        upstream = signature.partition(".")[0]
        answers = sent.get((request.request_id, upstream), [])
        if request.status != 200:
            # An instance passes on the failure of an earlier run, since a
            # refusal would say that the request did not run.
            answers = [a for a in answers if a.status not in REFUSED_STATUSES]
        if not answers or not _is_answer(request, answers[-1]):
            shown = [(answer.status, len(answer.body)) for answer in answers]
            yield (
                f"{request.request_id} ({request.kind}) got {request.status} "
                f"with {len(request.answer)} bytes, {upstream} sent {shown}"
            )


def _is_answer(request: CallerRequest, answer: SentAnswer) -> bool:
    """Returns whether what a caller got may be the answer of an upstream.

    A resumed stream ends with the events of the upstream that resumed it.
    """
    if request.status != answer.status:
        return False
    if request.kind in STREAMING and request.status == 200:
        return not answer.complete or request.answer.endswith(answer.body)
    return request.answer == answer.body


@check("order")
def check_order(records: Records) -> Iterator[str]:
    """A stream that breaks off consists of its first events in order."""
    for request in records.requests.values():
        if request.kind not in STREAMING or request.status != 200:
            continue
        if not _complete_stream(request).startswith(request.answer):
            yield f"{request.request_id} got events out of order"


def _complete_stream(request: CallerRequest) -> bytes:
    numbers = range(1, request.events + 1)
    return b"".join(make_event(request.request_id, n) for n in numbers)


@check("stages")
def check_stages(records: Records) -> Iterator[str]:
    """Pieces and streams use the results of their own request as inputs."""
    for piece in records.pieces:
        request = records.requests.get(piece.request_id)
        name = f"piece {piece.name}"
        if request is None or request.kind != STAGED:
            yield f"{name} belongs to no staged request of a caller"
            continue
        if piece.stage == 0:
            if piece.key != request.piece_key or piece.inputs:
                yield f"{name} was made from key {piece.key!r}"
        elif piece.input_count != SEGMENTS[0] or not (
            set(_piece_names(piece.inputs))
            <= set(_expected_pieces(piece.request_id, 0))
            and len(set(_piece_names(piece.inputs))) == len(piece.inputs)
        ):
            # A result may have expired or been released. Those that exist must
            # belong to the request, and none may be used twice.
            yield (
                f"{name} had the inputs {_piece_names(piece.inputs)} of "
                f"{piece.input_count} named"
            )
    for execution, request in _each_run(records):
        if request is None or request.kind != STAGED:
            continue
        if _piece_names(execution.inputs) != _expected_pieces(
            execution.request_id, 1
        ):
            yield (
                f"{execution.request_id} was executed with "
                f"{_piece_names(execution.inputs)}"
            )


def _piece_names(pieces: list[Piece]) -> list[tuple[str, int, int]]:
    return sorted(piece.name for piece in pieces)


def _expected_pieces(request_id: str, stage: int) -> list[tuple[str, int, int]]:
    return [(request_id, stage, n) for n in range(SEGMENTS[stage])]


@check("late")
def check_late(records: Records) -> Iterator[str]:
    """Callers have a complete answer soon after their deadline."""
    due_count, late = 0, []
    for request in records.requests.values():
        due_at = request.sent_at + request.deadline_s
        if request.failure == DISCONNECTED or request.ended_at < due_at:
            continue
        if not records.is_undisturbed(
            request.sent_at - CONTACT_S,
            request.ended_at,
            [f"instance:{request.instance}", f"term:{request.instance}"],
        ):
            continue
        due_count += 1
        if request.ended_at > due_at + LATE_ANSWER_S:
            late.append(request.request_id)
    if len(late) > LATE_ANSWERS_MAX and len(late) > due_count / 4:
        yield f"{len(late)} of {due_count} had no answer in time: {late[:5]}"


@check("answered")
def check_answered(records: Records) -> Iterator[str]:
    """An answer, a refusal or a stream begins while the caller waits for it.

    The caller of a stream waits for the first event for its patience, others
    wait until their deadline. Nothing that an upstream does is an excuse: the
    instance can answer that the request has failed. A busy machine that keeps
    the instance from running counts as a slow-down of it.
    """
    for request in records.requests.values():
        wait_s = request.deadline_s
        if request.kind in STREAMING:
            wait_s = min(wait_s, document.patience_s(request.kind))
        if (
            request.answered_at <= request.sent_at + wait_s
            or request.failure == DISCONNECTED
            or not was_read(records, request)
            or not was_sound(records, request, ["peer:"])
            or not records.is_undisturbed(
                request.sent_at,
                request.ended_at,
                [f"starved:{request.instance}"],
            )
        ):
            continue
        yield (
            f"{describe(request)} had no answer within {wait_s:.2f} s and "
            f"ended after {request.ended_at - request.sent_at:.2f} s with "
            f"{request.failure or request.status}"
        )


@check("lost")
def check_lost(records: Records) -> Iterator[str]:
    """A request that was read is answered, even while its instance stops.

    Once a stream has begun, only its own upstreams, its deadline and its caller
    may end it. The silence of an upstream is no reason to do so.
    """
    for request in records.requests.values():
        if request.complete or request.disconnected:
            continue
        executions = records.executions.get(request.request_id, [])
        excuses = ["peer:", "place:"]
        if request.kind in STREAMING and request.status == 200:
            if request.ended_at >= request.sent_at + request.deadline_s:
                continue
            excuses = ["peer:"]
            for execution in executions:
                excuses.append(f"place:{execution.host}")
                excuses.append(f"leaving:{execution.host}")
        if was_read(records, request) and was_sound(records, request, excuses):
            yield (
                f"{describe(request)} ended with {request.failure} after "
                f"{request.ended_at - request.sent_at:.2f} s"
                + (", although it was executed" if executions else "")
            )


def was_sound(
    records: Records, request: CallerRequest, excuses: Sequence[str]
) -> bool:
    """Returns whether no fault or stop excuses the instance of a request.

    Args:
        records: Records of the run.
        request: The request.
        excuses: Targets whose faults excuse the instance, besides its own.
    """
    until = request.ended_at
    if not records.is_undisturbed(
        request.sent_at - CONTACT_S,
        until,
        [f"instance:{request.instance}", *excuses],
    ):
        return False
    sigterm_at = records.last_sigterm_at(request.instance, until)
    return request.sent_at <= sigterm_at + TERM_ACCEPT_S or (
        until >= sigterm_at + TERM_GRACE_S + 1.0
    )


def was_read(records: Records, request: CallerRequest) -> bool:
    """Returns whether callers and upstreams saw that a request was read.

    A request that crosses the end of its connection is not read.
    """
    return (
        request.request_id in records.executions
        or request.ended_at > request.sent_at + LOSS_SLACK_S
    )


def describe(request: CallerRequest) -> str:
    """Returns the words with which a violation names a request."""
    return (
        f"{request.request_id} ({request.kind}) at {request.instance}, sent "
        f"{request.sent_at:.3f} after a rest of {request.rested_s:.3f} s,"
    )


@check("config")
def check_config(records: Records) -> Iterator[str]:
    """A configuration is in force within `CONFIG_APPLY_S` of its storage."""
    versions = {version.number: version for version in records.versions}
    for request in records.requests.values():
        version = versions.get(request.version)
        if version is None or not records.is_undisturbed(
            request.sent_at - CONTACT_S - CONFIG_APPLY_S,
            request.ended_at,
            ["store:", "peer:", f"instance:{request.instance}"],
        ):
            continue
        in_force_at = version.acked_at + CONFIG_APPLY_S
        dropped_at = version.replaced_at + CONFIG_APPLY_S
        name = f"{request.request_id} for version {request.version}"
        if (
            request.sent_at > dropped_at
            and request.request_id in records.executions
        ):
            yield f"{name} executed {request.sent_at - dropped_at:.2f} s late"
        if (
            request.status in ROUTE_ERROR_STATUSES
            and request.sent_at > in_force_at
            and request.ended_at < version.replaced_at
        ):
            late_s = request.sent_at - in_force_at
            yield f"{name} got {request.status}, {late_s:.2f} s late"


@check("denied")
def check_denied(records: Records) -> Iterator[str]:
    """Requests that every configuration allows get no client error."""
    for request in records.requests.values():
        if (
            not request.version
            and 400 <= request.status < 500
            and request.status not in NOT_RUN_STATUSES
        ):
            yield f"{request.request_id} got {request.status}"


@check("drain")
def check_drain(records: Records) -> Iterator[str]:
    """A draining upstream gets no request after `DRAIN_NOTICE_S`.

    Connections to the store that went silent excuse all instances until
    `CONTACT_S` later.
    """
    for execution, request in _each_run(records):
        acked_at = records.drain_acked_at.get(execution.start, math.inf)
        if request is None or execution.started_at <= acked_at + DRAIN_NOTICE_S:
            continue
        if records.is_undisturbed(
            acked_at - CONTACT_S,
            execution.started_at,
            ["store:", "peer:", f"instance:{request.instance}"],
        ) and records.is_undisturbed(
            execution.started_at - CONTACT_S,
            execution.started_at,
            ["silent:store"],
        ):
            late_s = execution.started_at - acked_at - DRAIN_NOTICE_S
            yield (
                f"{execution.request_id} reached {execution.upstream} "
                f"{late_s:.2f} s late"
            )


@check("leaving")
def check_leaving(records: Records) -> Iterator[str]:
    """An instance that an upstream told that it leaves sends it no more.

    Requests that callers sent up to `DRAIN_NOTICE_S` after the answer may still
    reach it, and any after a restart or freeze of the instance.
    """
    told_at: dict[tuple[str, str], float] = {}
    for notice in records.notices:
        if notice.pause_s is None:
            told_at.setdefault((notice.start, notice.instance), notice.at)
    for arrival in records.arrivals:
        request = arrival.request
        at = told_at.get((arrival.start, request.instance), math.inf)
        if request.sent_at > at + DRAIN_NOTICE_S and records.is_undisturbed(
            at,
            arrival.at,
            [f"instance:{request.instance}", f"term:{request.instance}"],
        ):
            yield (
                f"{describe(request)} reached {arrival.start} "
                f"{request.sent_at - at:.2f} s after its notice"
            )


@check("evacuated")
def check_evacuated(records: Records) -> Iterator[str]:
    """An evacuated failure domain gets no request after `EVACUATE_S`."""
    for arrival in records.arrivals:
        request = arrival.request
        for order in records.evacuations:
            late_s = arrival.at - order.acked_at - EVACUATE_S
            if (
                records.domains.get(arrival.start) == order.domain
                and late_s > 0.0
                and arrival.at < order.ended_at
                and records.is_undisturbed(
                    order.acked_at - CONTACT_S,
                    arrival.at,
                    ["store:", "peer:", f"instance:{request.instance}"],
                )
            ):
                yield (
                    f"{describe(request)} reached {arrival.start} "
                    f"{late_s:.2f} s late"
                )


@check("paused")
def check_paused(records: Records) -> Iterator[str]:
    """An upstream gets few requests from whom it asked for a pause.

    A restart, freeze or cut of the instance excuses it.
    """
    times: dict[tuple[str, str], list[float]] = {}
    for arrival in records.arrivals:
        key = (arrival.start, arrival.request.instance)
        times.setdefault(key, []).append(arrival.at)
    for notice in records.notices:
        if notice.pause_s is None:
            continue
        since, until = notice.at + PAUSE_SLACK_S, notice.at + notice.pause_s
        found = [
            at
            for at in times.get((notice.start, notice.instance), ())
            if since < at < until
        ]
        host = notice.start.partition("#")[0].rpartition("-")[0]
        if len(found) > PAUSED_REQUESTS_MAX and records.is_undisturbed(
            notice.at,
            until,
            [
                f"{kind}:{notice.instance}"
                for kind in ("instance", "term", "peer", "store")
            ]
            + [f"place:{host}"],
        ):
            yield (
                f"{len(found)} requests of {notice.instance} reached "
                f"{notice.start}, which had asked it at {notice.at:.3f} s for "
                f"{notice.pause_s:g} s without any"
            )


@check("limited")
def check_limited(records: Records) -> Iterator[str]:
    """An upstream gets what its rate limit allows from those that it told.

    A restart, freeze or cut of an instance excuses what that instance sent.
    """
    by_start: dict[str, list[LimitedArrival]] = {}
    for arrival in records.limited_arrivals:
        by_start.setdefault(arrival.start, []).append(arrival)
    for start, arrivals in by_start.items():
        told_at: dict[str, float] = {}
        for arrival in arrivals:
            told_at.setdefault(arrival.instance, arrival.at)
        counted_from = arrivals[0].at + CONTACT_S
        counted = [
            arrival
            for arrival in arrivals
            if arrival.at >= counted_from
            and arrival.at >= told_at[arrival.instance] + LIMIT_SLACK_S
            and _is_instance_undisturbed(records, arrival)
        ]
        for number, first in enumerate(counted):
            window = [
                arrival
                for arrival in counted[number:]
                if arrival.at < first.at + LIMIT_WINDOW_S
            ]
            per_s = max(arrival.per_s for arrival in window)
            allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * per_s + LIMIT_EXTRA
            if len(window) > allowed:
                yield (
                    f"{len(window)} requests reached {start} in 4 s from "
                    f"{first.at:.3f} s; its limit of {per_s:g} a second allows "
                    f"{allowed:g}"
                )
                break


@check("cold")
def check_cold(records: Records) -> Iterator[str]:
    """A cold upstream gets in no second more than its bound, whoever sends."""
    by_start: dict[str, list[float]] = {}
    for arrival in records.cold_arrivals:
        by_start.setdefault(arrival.start, []).append(arrival.at)
    for start, times in by_start.items():
        for number, first in enumerate(times):
            count = sum(at < first + 1.0 for at in times[number:])
            # Requests that were sent before a pause of the soak arrive after.
            if count > document.COLD_SECOND_MAX and records.is_undisturbed(
                first - 1.0, first + 1.0, []
            ):
                yield (
                    f"{count} requests reached {start}, which is cold, in the "
                    f"second from {first:.3f} s; it takes "
                    f"{document.COLD_SECOND_MAX:g}"
                )
                break


def _is_instance_undisturbed(records: Records, arrival: LimitedArrival) -> bool:
    instance = arrival.instance
    return records.is_undisturbed(
        arrival.at - LIMIT_WINDOW_S - CONTACT_S,
        arrival.at,
        [f"{kind}:{instance}" for kind in ("instance", "term", "peer")],
    )


@check("budget")
def check_budget(records: Records) -> Iterator[str]:
    """Added attempts of any cause stay within the retry budget of a pool."""
    for pool in (document.PLAIN, document.ENGINES):
        sent = sorted(
            request.sent_at
            for request in records.requests.values()
            if document.POOL_BY_KIND[request.kind] == pool
        )
        added = sorted(
            execution.started_at
            for executions in records.executions.values()
            for execution in sorted(
                executions, key=lambda execution: execution.started_at
            )[1:]
            if execution.pool == pool
        )
        for start in added:
            end = start + RETRY_WINDOW_S
            count = sum(start <= at < end for at in added)
            eligible = sum(start - RETRY_WINDOW_S <= at < end for at in sent)
            if count > RETRY_RATIO * eligible + RETRY_EXTRA:
                yield (
                    f"{count} added attempts at {pool} for {eligible} requests,"
                    f" above {RETRY_RATIO:g} of them plus {RETRY_EXTRA}"
                )
                break


@check("deadly")
def check_deadly(records: Records) -> Iterator[str]:
    """Few requests follow the crashes of a request, or of a prompt part."""
    for cause, crashes in records.deadly_crashes.items():
        count = PART_CRASHES if cause == DEADLY_PART else REQUEST_CRASHES
        if len(crashes) >= count:
            yield from _find_deadly(records, cause, sorted(crashes), count)


def _find_deadly(
    records: Records, cause: str, crashes: Sequence[float], count: int
) -> Iterator[str]:
    """Yields a violation if too many requests follow the crashes.

    Args:
        records: Records of the run.
        cause: The deadly prompt part, or the path of the request.
        crashes: When workers crashed on it, in order.
        count: Number of crashes after which it has to be known.
    """
    known_at = crashes[count - 1] + CONTACT_S
    late = [
        (execution, request)
        for execution, request in _each_run(records)
        if (
            execution.path == cause
            or f"{cause}:" in execution.headers.get("prompt-prefix", "")
        )
        and execution.started_at > known_at
        and request is not None
        and records.is_undisturbed(
            execution.started_at - CONTACT_S,
            execution.started_at,
            [
                f"{kind}:{request.instance}"
                for kind in ("instance", "term", "peer", "store")
            ],
        )
    ]
    if len(late) > DEADLY_REQUESTS_MAX:
        yield (
            f"{len(late)} requests with {cause}, under which {count} workers "
            f"had crashed at {known_at - CONTACT_S:.3f} s, reached workers, "
            f"the last one {late[-1][0].request_id}; "
            f"{len(crashes)} workers crashed"
        )


@check("ended")
def check_ended(records: Records) -> Iterator[str]:
    """No process ends unless the soak ends it."""
    for name, _, code in records.unexpected_exits:
        yield f"{name} ended with {code}"


@check("memory")
def check_memory(records: Records) -> Iterator[str]:
    """No process uses more memory than its machine has."""
    for name, peak_mb in records.oversized.items():
        yield f"{name} used {peak_mb:.0f} MB; its machine has {MEMORY_MB} MB"


@check("sockets")
def check_sockets(records: Records) -> Iterator[str]:
    """No process has more sockets than its machine has descriptors for."""
    for name, count in records.most_sockets.items():
        yield f"{name} had {count} sockets; it may have {SOCKETS_MAX}"


@check("overstay")
def check_overstay(records: Records) -> Iterator[str]:
    """A process exits within `TERM_GRACE_S` of SIGTERM."""
    for name, at in records.late_exits:
        if records.is_undisturbed(
            at - TERM_GRACE_S - 1.0, at, [f"instance:{name}"]
        ):
            yield f"{name} was still running {TERM_GRACE_S:g} s after SIGTERM"


@check("recover")
def check_recover(records: Records) -> Iterator[str]:
    """Every kind of request is served again after all faults have ended."""
    for kind in document.POOL_BY_KIND:
        eligible = [
            request
            for request in records.requests.values()
            if request.kind == kind
            and request.sent_at >= records.faults_ended_at
            and not request.version
            and request.failure != DISCONNECTED
        ]
        served = sum(request.served for request in eligible)
        if served < RECOVERED_SHARE_MIN * len(eligible):
            yield (
                f"{served} of {len(eligible)} {kind} requests were served "
                "after the last fault"
            )


def summarize(records: Records) -> str:
    """Returns the counts of a run in one line."""
    requests = list(records.requests.values())
    served = sum(request.served for request in requests)
    refused = sum(request.status in NOT_RUN_STATUSES for request in requests)
    late = sum(
        math.inf > request.answered_at > request.sent_at + request.deadline_s
        for request in requests
    )
    disconnected = sum(a.failure == DISCONNECTED for a in requests)
    unsafe = sum(request.kind == UNSAFE for request in requests)
    executions = sum(map(len, records.executions.values()))
    kinds = [fault.kind for fault in records.faults]
    stalls, waits = kinds.count(STALL), kinds.count(STARVED)
    return (
        f"{len(requests)} requests ({unsafe} unsafe), {served} served, "
        f"{refused} refused, {late} after their deadline, "
        f"{disconnected} disconnected, "
        f"{executions} executions, "
        f"{len(records.pieces)} pieces, {len(kinds) - stalls - waits} faults, "
        f"{len(records.versions)} configurations, {stalls} pauses of the soak, "
        f"{waits} waits of instances"
    )
