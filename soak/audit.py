"""Checks what was seen in a run against what the relay promises."""

import json
import math
import pathlib
from collections.abc import Callable, Iterator

from soak import document
from soak.document import SEGMENTS
from soak.record import (
    DISCONNECTED,
    RETRYABLE,
    STAGED,
    STALL,
    STREAMING,
    UNSAFE,
    CallerRequest,
    Execution,
    Piece,
    Records,
)
from soak.relays import TERM_GRACE_S
from soak.upstream import make_event

# Figures of the users' deployments, in seconds.
CONFIG_APPLY_S = 2.0  # configApplyMs
DRAIN_NOTICE_S = 2.0  # drainMs
CONTACT_S = 3.0  # contactMs
LOSS_SLACK_S = 0.2  # lossSlackMs
RETRY_RATIO = 0.2  # retryBudgetRatio
RETRY_EXTRA = 50  # budgetExtraRetries, when the settings do not say
RETRY_WINDOW_S = 10.0  # budgetWindowS
# CONFIG: eight or more, and over a quarter of those that reach the timeout,
# without an answer half a second later.
LATE_ANSWER_S = 0.5
LATE_ANSWERS_MAX = 7
# LOST: requests sent later than this after SIGTERM may still be at work when
# the process has to end.
TERM_ACCEPT_S = 3.0
# RECOVER: the share of requests that must be served once all is well.
RECOVERED_SHARE_MIN = 0.25
# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
ROUTE_ERROR_STATUSES = frozenset([401, 403, 404])
# Settings fields that only the system may set.
SYSTEM_HEADERS = ("hold", "pin-ms", "kv-from", "kv-backup", "x-api-key")

Check = Callable[[Records], Iterator[str]]
CHECKS: dict[str, Check] = {}


def check(name: str) -> Callable[[Check], Check]:
    """Registers a check; it yields a line for each violation."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def audit(records: Records) -> list[str]:
    """Returns every violation, as `NAME: what was seen`."""
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
    """Upstreams run what callers sent, for the account of their key."""
    for execution, request in _each_run(records):
        label = f"{execution.request_id} at {execution.upstream}"
        if request is None:
            yield f"{label}: no caller sent it"
        elif (execution.path, execution.body) != (request.path, request.body):
            yield f"{label}: path or body was changed"
        elif execution.account != document.ACCOUNT:
            yield f"{label}: ran for account {execution.account!r}"
        elif any(name in execution.headers for name in SYSTEM_HEADERS):
            yield f"{label}: a header of the caller was passed on"


@check("route")
def check_route(records: Records) -> Iterator[str]:
    """Requests run at the pool of their route."""
    for execution, request in _each_run(records):
        if (
            request is not None
            and execution.pool != document.POOL_BY_KIND[request.kind]
        ):
            yield (
                f"{execution.request_id} ({request.kind}) ran at "
                f"{execution.pool}"
            )


@check("twice")
def check_twice(records: Records) -> Iterator[str]:
    """What may not be repeated runs once; the rest within its attempts."""
    for request_id, executions in records.executions.items():
        request = records.requests.get(request_id)
        if request is None:
            continue
        allowed = document.ATTEMPTS_MAX[request.kind]
        if request.kind not in RETRYABLE:
            allowed = 1
        if len(executions) > allowed:
            upstreams = [execution.upstream for execution in executions]
            yield f"{request_id} ({request.kind}) ran at {upstreams}"


@check("refused")
def check_refused(records: Records) -> Iterator[str]:
    """A refusal that promises that nothing has run is true."""
    for request in records.requests.values():
        executions = records.executions.get(request.request_id, [])
        if (
            request.complete
            and request.status in NOT_RUN_STATUSES
            and executions
        ):
            yield (
                f"{request.request_id} ({request.kind}) was answered "
                f"{request.status} and ran at {executions[0].upstream}"
            )


@check("mixed")
def check_mixed(records: Records) -> Iterator[str]:
    """A success is the whole answer of an upstream to this request."""
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
                yield f"{name} got a stream that is not whole, in order, once"
        elif request.answer not in [
            execution.answer for execution in executions
        ]:
            yield f"{name} got a body that no upstream sent"


@check("order")
def check_order(records: Records) -> Iterator[str]:
    """Also a stream that breaks off has its events in order."""
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
    """Pieces and streams are made of all results of their request."""
    for piece in records.pieces:
        request = records.requests.get(piece.request_id)
        name = f"piece {piece.name}"
        if request is None or request.kind != STAGED:
            yield f"{name} was not asked for by a caller"
            continue
        if piece.stage == 0:
            if piece.key != request.piece_key or piece.inputs:
                yield f"{name} was made from key {piece.key!r}"
        elif piece.input_count != SEGMENTS[0] or not (
            set(_piece_names(piece.inputs))
            <= set(_expected_pieces(piece.request_id, 0))
        ):
            # A result may be gone; what is there must be the right one.
            yield (
                f"{name} was made of {_piece_names(piece.inputs)} of "
                f"{piece.input_count}"
            )
    for execution, request in _each_run(records):
        if request is None or request.kind != STAGED:
            continue
        if _piece_names(execution.inputs) != _expected_pieces(
            execution.request_id, 1
        ):
            yield (
                f"{execution.request_id} ran with "
                f"{_piece_names(execution.inputs)}"
            )


def _piece_names(pieces: list[Piece]) -> list[tuple[str, int, int]]:
    return sorted(piece.name for piece in pieces)


def _expected_pieces(request_id: str, stage: int) -> list[tuple[str, int, int]]:
    return [(request_id, stage, n) for n in range(SEGMENTS[stage])]


@check("late")
def check_late(records: Records) -> Iterator[str]:
    """Callers have a final answer soon after their deadline."""
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


@check("lost")
def check_lost(records: Records) -> Iterator[str]:
    """A request that was read is answered, also while its instance stops."""
    for request in records.requests.values():
        if request.complete or request.disconnected:
            continue
        since, until = request.sent_at - CONTACT_S, request.ended_at
        if not records.is_undisturbed(
            since, until, [f"instance:{request.instance}", "peer:", "place:"]
        ):
            continue
        sigterm_at = records.last_sigterm_at(request.instance, until)
        if request.sent_at > sigterm_at + TERM_ACCEPT_S and (
            until < sigterm_at + TERM_GRACE_S + 1.0
        ):
            continue
        executed = request.request_id in records.executions
        if executed or until > request.sent_at + LOSS_SLACK_S:
            yield (
                f"{request.request_id} ({request.kind}) at {request.instance} "
                f"ended with {request.failure} after "
                f"{until - request.sent_at:.2f} s"
                + (", passed on" if executed else "")
            )


@check("config")
def check_config(records: Records) -> Iterator[str]:
    """A configuration is in force soon after it was stored."""
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
            yield f"{name} ran {request.sent_at - dropped_at:.2f} s too late"
        if (
            request.status in ROUTE_ERROR_STATUSES
            and request.sent_at > in_force_at
            and request.ended_at < version.replaced_at
        ):
            late_s = request.sent_at - in_force_at
            yield f"{name} got {request.status}, {late_s:.2f} s too late"


@check("denied")
def check_denied(records: Records) -> Iterator[str]:
    """Requests that every configuration allows are not refused as wrong."""
    for request in records.requests.values():
        if (
            not request.version
            and 400 <= request.status < 500
            and request.status not in NOT_RUN_STATUSES
        ):
            yield f"{request.request_id} got {request.status}"


@check("drain")
def check_drain(records: Records) -> Iterator[str]:
    """An upstream that leaves gets no request after its time."""
    for execution, request in _each_run(records):
        acked_at = records.drain_acked_at.get(execution.upstream, math.inf)
        if request is None or execution.started_at <= acked_at + DRAIN_NOTICE_S:
            continue
        if records.is_undisturbed(
            acked_at - CONTACT_S,
            execution.started_at,
            ["store:", "peer:", f"instance:{request.instance}"],
        ):
            late_s = execution.started_at - acked_at - DRAIN_NOTICE_S
            yield (
                f"{execution.request_id} reached {execution.upstream} "
                f"{late_s:.2f} s late"
            )


@check("budget")
def check_budget(records: Records) -> Iterator[str]:
    """Added attempts stay within their part of the requests of a pool."""
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
                    f"{count} added attempts at {pool} for {eligible} requests"
                )
                break


@check("ended")
def check_ended(records: Records) -> Iterator[str]:
    """No process ends by itself."""
    for name, _, code in records.unexpected_exits:
        yield f"{name} ended with {code}"


@check("overstay")
def check_overstay(records: Records) -> Iterator[str]:
    """A process that is asked to end does so in time."""
    for name, at in records.late_exits:
        if records.is_undisturbed(
            at - TERM_GRACE_S - 1.0, at, [f"instance:{name}"]
        ):
            yield f"{name} was still there {TERM_GRACE_S:g} s after SIGTERM"


@check("recover")
def check_recover(records: Records) -> Iterator[str]:
    """Every kind of request is served once all faults have ended."""
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
            yield f"{served} of {len(eligible)} {kind} requests were served"


def audit_logs(records: Records, logs: dict[str, pathlib.Path]) -> list[str]:
    """Returns failed requests that the logs do not explain.

    Processes that were killed lose their last lines, and a full buffer leaves
    lines out, which it tells.

    Args:
        records: What was seen.
        logs: Log file of each instance.
    """
    violations = []
    for instance, path in logs.items():
        logged_ids, is_complete = _read_log(path)
        if not is_complete:
            continue
        for request in records.requests.values():
            if (
                request.instance == instance
                and request.complete
                and request.status >= 400
                and request.request_id not in logged_ids
                and records.is_undisturbed(
                    request.sent_at,
                    request.ended_at + 1.0,
                    [f"instance:{instance}"],
                )
            ):
                violations.append(
                    f"log: {request.request_id} got {request.status} and has "
                    f"no line in {path.name}"
                )
    return violations


def _read_log(path: pathlib.Path) -> tuple[set[str], bool]:
    """Returns the requests that lines name, and whether none was left out."""
    logged_ids: set[str] = set()
    is_complete = True
    for text in path.read_bytes().splitlines():
        try:
            line = json.loads(text)
        except ValueError:
            # The last line of a killed process may be cut.
            continue
        is_complete = is_complete and (
            line.get("message") != "log lines left out"
        )
        if line.get("event") == "request":
            logged_ids.add(line["request"])
    return logged_ids, is_complete


def summarize(records: Records) -> str:
    """Returns the figures of a run in one line."""
    requests = list(records.requests.values())
    served = sum(request.served for request in requests)
    refused = sum(request.status in NOT_RUN_STATUSES for request in requests)
    disconnected = sum(a.failure == DISCONNECTED for a in requests)
    unsafe = sum(request.kind == UNSAFE for request in requests)
    executions = sum(map(len, records.executions.values()))
    stalls = sum(fault.kind == STALL for fault in records.faults)
    return (
        f"{len(requests)} requests ({unsafe} unsafe), {served} served, "
        f"{refused} refused, {disconnected} left, {executions} runs, "
        f"{len(records.pieces)} pieces, {len(records.faults) - stalls} faults, "
        f"{len(records.versions)} configurations, {stalls} stalls of the soak"
    )
