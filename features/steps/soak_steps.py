"""Steps for the soak and its audit."""

import math
import pathlib
import tempfile

from behave import given, then, when

from soak import document
from soak.audit import audit
from soak.log_audit import audit_logs
from soak.main import run_seed
from soak.record import (
    NO_EVENT,
    RESUMABLE,
    SAFE,
    STAGED,
    STALL,
    STREAM,
    STREAMING,
    TESTBED,
    UNSAFE,
    Arrival,
    CallerRequest,
    ColdArrival,
    Evacuation,
    Execution,
    Fault,
    LimitedArrival,
    Notice,
    Piece,
    Records,
    SentAnswer,
    Version,
)
from soak.testbed import Plan
from soak.upstream import DEADLY_PART, make_event

SENT_AT = 100.0
ANSWER_TIME_S = 0.1
EVENTS = 3
VIOLATIONS = {}


def violation(name):
    """Registers a function that adds a violation to records."""

    def register(function):
        VIOLATIONS[name] = function
        return function

    return register


def add_request(records, kind, request_id, sent_at=SENT_AT, **options):
    """Adds a successful request with its execution."""
    request = CallerRequest(
        request_id,
        kind,
        instance="relay-0",
        path=f"/{kind}/{request_id}",
        key=document.KEY,
        body=b"" if kind == SAFE else b"body",
        events=EVENTS if kind in STREAMING else 0,
        piece_key="k" if kind == STAGED else "",
        deadline_s=document.TIMEOUTS_S[kind],
        sent_at=sent_at,
        **options,
    )
    request.answered_at = request.ended_at = sent_at + ANSWER_TIME_S
    request.status, request.complete = 200, True
    inputs = []
    if kind == STAGED:
        first_pieces = [Piece(request_id, 0, n, "k", [], 0) for n in range(2)]
        inputs = [Piece(request_id, 1, 0, "", first_pieces, 2)]
        records.pieces += [*first_pieces, *inputs]
    execution = Execution(
        request_id,
        "worker-1",
        document.POOL_BY_KIND[kind],
        sent_at + ANSWER_TIME_S / 2,
        path=request.path,
        body=request.body,
        account=document.ACCOUNT,
        inputs=inputs,
        answer=b"answer",
        signature=f"worker-1.{request_id}",
    )
    records.add_execution(execution)
    records.requests[request_id] = request
    request.headers = {
        "request-id": request_id,
        "response-signature": execution.signature,
    }
    request.answer = execution.answer
    if kind in STREAMING:
        events = range(1, EVENTS + 1)
        request.answer = b"".join(make_event(request_id, n) for n in events)
    add_arrival(records, request, body=request.answer)
    return request


def add_arrival(records, request, status=200, body=b"answer", after_s=0.05):
    """Adds a sending of a request to its upstream, which has answered it."""
    answer = SentAnswer(status, body, complete=True)
    at = request.sent_at + after_s
    records.arrivals.append(Arrival("worker-1", request, at, answer))


def refuse(request, status):
    """Lets the instance refuse a request by itself."""
    request.status, request.headers = status, {}


def add_execution(records, request_id, upstream="worker-2"):
    """Adds another execution of a request, 10 ms after the first."""
    first = records.executions[request_id][0]
    records.add_execution(
        Execution(
            request_id,
            upstream,
            first.pool,
            first.started_at + 0.01,
            path=first.path,
            body=first.body,
            account=first.account,
            inputs=first.inputs,
        )
    )


@given("records of 1 successful request of each kind")
def given_records(context):
    context.records = Records()
    context.records.versions.append(Version(1, 0.0))
    context.records.faults_ended_at = SENT_AT
    for kind in document.POOL_BY_KIND:
        add_request(context.records, kind, kind)


@when('the soak runs seed {seed:d} with {count:d} faults "{kinds}"')
def when_runs_kinds(context, seed, count, kinds):
    plan = Plan(
        seed,
        length_s=4.0,
        faults=count,
        relays=3,
        callers=6,
        only=kinds.split(","),
    )
    run_and_audit(context, plan)


@when("the soak runs seed {seed:d}")
def when_runs_seed(context, seed):
    run_and_audit(
        context, Plan(seed, length_s=4.0, faults=5, relays=3, callers=6)
    )


def run_and_audit(context, plan):
    with tempfile.TemporaryDirectory() as directory:
        outcome = run_seed(plan, pathlib.Path(directory))
    context.violations = outcome.violations


@then("no guarantee is violated")
def then_not_violated(context):
    assert not context.violations, context.violations


@when("a request is refused and its instance logs nothing")
def when_not_logged(context):
    request = context.records.requests[SAFE]
    request.status = 503
    context.records.executions.pop(SAFE)
    context.log_line = '{"event": "start"}'


@when("its instance has logged it")
def when_logged(context):
    context.log_line = f'{{"event": "request", "request": "{UNSAFE}"}}'


@then("the audit of the logs finds {name:w} for the {kind:w} request")
def then_log_found(context, name, kind):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "relay-0.log"
        path.write_text(f"{context.log_line}\n")
        found = audit_logs(context.records, {"relay-0": path})
    assert len(found) == 1, found
    assert found[0].startswith(f"{name}: {kind} "), found


@when("in the records {what}")
def when_broken(context, what):
    VIOLATIONS[what](context.records)


@then("the audit finds nothing")
def then_nothing(context):
    assert audit(context.records) == []


@then("the audit finds {names} and nothing else")
def then_finds(context, names):
    found = audit(context.records)
    found_names = {line.partition(":")[0] for line in found}
    assert found_names == set(names.split(", ")), found


@violation("an upstream executes what no caller sent")
def violate_unknown(records):
    records.add_execution(
        Execution("other", "worker-1", document.PLAIN, SENT_AT)
    )


@violation("an upstream executes a changed body")
def violate_changed(records):
    records.executions[UNSAFE][0].body = b"changed"


@violation("an upstream receives another account")
def violate_account(records):
    records.executions[UNSAFE][0].account = "another"


@violation("a header of the caller is passed on")
def violate_header(records):
    records.executions[UNSAFE][0].headers = {"hold": "1"}


@violation("a safe request is executed at an engine")
def violate_pool(records):
    records.executions[SAFE][0].pool = document.ENGINES


@violation("an unsafe request is executed twice")
def violate_twice(records):
    add_execution(records, UNSAFE)


@violation("a safe request is executed three times")
def violate_thrice(records):
    add_execution(records, SAFE)
    add_execution(records, SAFE, "worker-3")


@violation("a request that was executed is answered 503")
def violate_refused(records):
    refuse(records.requests[UNSAFE], 503)
    records.faults_ended_at = SENT_AT + 1


@violation("a caller gets the answer of another request")
def violate_other(records):
    records.requests[SAFE].headers["request-id"] = UNSAFE


@violation("a caller gets a changed body")
def violate_body(records):
    records.requests[SAFE].answer = b"ans"


@violation("a caller gets a success that no upstream signed")
def violate_unsigned(records):
    records.requests[SAFE].headers["response-signature"] = ""


@violation("a caller gets a 202 that no upstream signed")
def violate_unsigned_202(records):
    records.requests[SAFE].status = 202
    violate_unsigned(records)


@violation("an upstream refuses the last sending of a request that succeeds")
def violate_refusal_last(records):
    add_arrival(records, records.requests[SAFE], 503, b"")


@violation("an upstream fails the last sending of a request that succeeds")
def violate_failure_last(records):
    add_arrival(records, records.requests[RESUMABLE], 500, b"failed")


@violation("an upstream completes the last sending of a request that fails")
def violate_success_last(records):
    request = fail_first(records)
    add_arrival(records, request)


@violation("an upstream fails a request and refuses its last sending")
def violate_refused_again(records):
    add_arrival(records, fail_first(records), 503, b"")


def fail_first(records):
    """Lets an upstream fail a request, and its caller get this answer."""
    request = records.requests[SAFE]
    request.status, request.answer = 500, b"failed"
    answer = records.arrivals[0].answer
    answer.status, answer.body = request.status, request.answer
    records.faults_ended_at = SENT_AT + 1
    return request


@violation("an upstream fails a request and its caller gets another body")
def violate_failure_body(records):
    fail_first(records).answer = b"other"


@violation("a stream lacks its last event and ends as complete")
def violate_short(records):
    records.requests[STREAM].answer = make_event(STREAM, 1)


@violation("a stream that breaks off has its events out of order")
def violate_order(records):
    request = records.requests[RESUMABLE]
    request.answer = make_event(RESUMABLE, 2)
    request.complete, request.disconnected = False, True
    records.faults_ended_at = SENT_AT + 1


@violation("a piece uses the results of another request")
def violate_foreign(records):
    records.pieces[-1].inputs[0].request_id = "another"
    records.requests["another"] = records.requests[STAGED]


@violation("a piece uses the same result twice")
def violate_repeated_input(records):
    records.pieces[-1].inputs = records.pieces[-1].inputs[:1] * 2


@violation("a piece uses only some of its input results")
def violate_some(records):
    records.pieces[-1].inputs.pop()
    records.pieces[-1].input_count = 1


@violation("a stream is generated without its input results")
def violate_no_inputs(records):
    records.executions[STAGED][0].inputs = []


@violation("8 answers come 0.6 s after their deadline")
def violate_late(records):
    for n in range(8):
        request = add_request(records, SAFE, f"late-{n}")
        request.ended_at = SENT_AT + request.deadline_s + 0.6


@violation(
    "a request that was executed is not answered while its instance stops"
)
def violate_lost(records):
    records.sigterms["relay-0"] = [SENT_AT - 1.0]
    records.faults.append(Fault("term", ["term:relay-0"], SENT_AT - 1.0))
    records.faults_ended_at = SENT_AT + 1
    request = records.requests[UNSAFE]
    request.complete, request.status = False, 0
    request.answered_at = math.inf


@violation("a caller waits in vain for the first event of a stream")
def violate_no_event(records):
    wait_in_vain(records.requests[STREAM], document.patience_s(STREAM))
    records.faults_ended_at = SENT_AT + 1


@violation("the answer to an unsafe request comes 0.01 s after its deadline")
def violate_answer_late(records):
    request = records.requests[UNSAFE]
    request.ended_at = SENT_AT + request.deadline_s + 0.01
    request.answered_at = request.ended_at


@violation("a request that was executed ends with its connection")
def violate_closed(records):
    """Closes a connection that rested, at a time without planned work."""
    request = records.requests[UNSAFE]
    request.rested_s = 1.0
    request.complete, request.status = False, 0
    request.failure, request.answered_at = "closed", math.inf
    records.faults_ended_at = SENT_AT + 1


@violation("a request that no upstream got ends with its connection")
def violate_crossed(records):
    violate_closed(records)
    records.executions.pop(UNSAFE)


@violation("its upstream is silent")
def violate_silent(records):
    add_fault(records, "silent:worker")


@violation("its instance waits for a processor")
def violate_starved(records):
    add_fault(records, "starved:relay-0")


@violation("its upstream is cut off")
def violate_cut_off(records):
    add_fault(records, "place:worker")


@violation("another upstream is cut off")
def violate_cut_off_other(records):
    add_fault(records, "place:another")


@violation("a stream that had begun breaks off")
def violate_broken(records):
    request = records.requests[RESUMABLE]
    request.answer = make_event(RESUMABLE, 1)
    request.complete, request.failure = False, "closed"
    records.faults_ended_at = SENT_AT + 1


@violation("a stream that had begun breaks off at its deadline")
def violate_due(records):
    violate_broken(records)
    request = records.requests[RESUMABLE]
    request.ended_at = SENT_AT + request.deadline_s
    records.faults_ended_at = request.ended_at


def wait_in_vain(request, wait_s):
    """Lets a caller leave after a time without an answer."""
    request.ended_at, request.answered_at = SENT_AT + wait_s, math.inf
    request.status, request.answer, request.complete = 0, b"", False
    request.disconnected, request.failure = True, NO_EVENT


def add_fault(records, target):
    """Adds a fault that lasts until the requests have ended."""
    fault = Fault("fault", [target], SENT_AT)
    fault.ended_at = SENT_AT + ANSWER_TIME_S
    records.faults.append(fault)


@violation("the soak's own process was paused meanwhile")
def violate_stall(records):
    stall = Fault(STALL, [TESTBED], SENT_AT)
    stall.ended_at = SENT_AT + 0.2
    records.faults.append(stall)


@violation("a new route is unknown 2.1 s after it was stored")
def violate_route(records):
    records.versions.append(Version(2, SENT_AT - 2.1))
    request = add_request(records, SAFE, "new", version=2)
    refuse(request, 404)
    records.executions.pop("new")


@violation("a removed key is accepted 2.1 s after its removal")
def violate_key(records):
    records.versions[0].replaced_at = SENT_AT - 2.1
    add_request(records, SAFE, "old", version=1)


@violation("a valid request gets 404")
def violate_denied(records):
    refuse(records.requests[SAFE], 404)
    records.faults_ended_at = SENT_AT + 1


@violation("a request reaches an upstream 2.1 s after it started to drain")
def violate_drain(records):
    records.drain_acked_at["worker-1"] = (
        records.executions[SAFE][0].started_at - 2.1
    )
    records.executions = {SAFE: records.executions[SAFE]}
    records.requests = {SAFE: records.requests[SAFE]}
    records.pieces.clear()


@violation("connections to the store went silent 2.9 s before that")
def excuse_by_silence(records):
    add_silence(records, 2.9)


@violation("connections to the store went silent 3.1 s before that")
def do_not_excuse_by_silence(records):
    add_silence(records, 3.1)


def add_silence(records, ago_s):
    at = records.executions[SAFE][0].started_at - ago_s
    fault = Fault("silence", ["silent:store"], at)
    fault.ended_at = at
    records.faults.append(fault)


@violation(
    "a request reaches an upstream 2.1 s after it told the instance that it "
    "leaves"
)
def violate_leaving(records):
    request = records.requests[SAFE]
    records.notices.append(
        Notice("worker-1", request.instance, request.sent_at - 2.1)
    )
    add_arrival(records, request, after_s=0.01)


@violation(
    "3 requests reach an upstream that had asked the instance for a pause"
)
def violate_paused(records):
    request = records.requests[SAFE]
    records.notices.append(
        Notice("worker-1", request.instance, SENT_AT - 1.0, pause_s=2.0)
    )
    for n in range(3):
        add_arrival(records, request, after_s=n / 100)


@violation("a request reaches an upstream 5.1 s after its domain is evacuated")
def violate_evacuated(records):
    records.domains["worker-1"] = "zone-1"
    records.evacuations.append(Evacuation("zone-1", SENT_AT - 5.1))
    request = records.requests[SAFE]
    add_arrival(records, request, after_s=0.01)


@violation("12 requests in 4 s reach an upstream with a limit of 1 a second")
def violate_limit(records):
    for n in range(-30, 12):
        # Few requests before the rule counts.
        if n in (-30, -20, -10) or n >= 0:
            at = SENT_AT + n / 4 if n < 0 else SENT_AT + n / 3
            records.limited_arrivals.append(
                LimitedArrival("worker-1", "instance-1", at, 1.0)
            )


@violation("6 requests in 1 s reach a cold upstream that takes 4")
def violate_cold(records):
    for n in range(-11, 6):
        at = SENT_AT + (n if n < 0 else n / 7)
        records.cold_arrivals.append(ColdArrival("worker-1", at))


@violation("a window has 60 added attempts and 40 requests")
def violate_budget(records):
    for n in range(40):
        request_id = f"again-{n}"
        add_request(records, RESUMABLE, request_id)
        add_execution(records, request_id)
    for n in range(20):
        request_id = f"safe-{n}"
        add_request(records, RESUMABLE, request_id, SENT_AT - 11.0)
        add_execution(records, request_id)
        records.executions[request_id][1].started_at = SENT_AT + 0.1


@violation("4 requests reach engines 3.1 s after a part crashed the fifth one")
def violate_deadly(records):
    records.deadly_crashes = {DEADLY_PART: [SENT_AT - 3.1] * 5}
    for number in range(4):
        request = add_request(records, STREAM, f"deadly-{number}")
        (execution,) = records.executions[request.request_id]
        execution.headers = {"prompt-prefix": "1:100,dead:60,f0:40"}


@violation("4 requests reach upstreams 3.1 s after one crashed the third")
def violate_repeated(records):
    path = "/safe/repeated?n=0"
    records.deadly_crashes = {path: [SENT_AT - 3.1] * 3}
    for number in range(4):
        request = add_request(records, SAFE, f"repeated-{number}")
        (execution,) = records.executions[request.request_id]
        request.path = execution.path = path


@violation("a process ends unexpectedly")
def violate_ended(records):
    records.unexpected_exits.append(("relay-0", SENT_AT, 1))


@violation("a process uses more memory than its machine has")
def violate_memory(records):
    records.oversized["relay-0"] = 161.0


@violation("a process has more sockets than its machine has descriptors")
def violate_sockets(records):
    records.most_sockets["relay-0"] = 201


@violation("a process does not exit in time after SIGTERM")
def violate_overstay(records):
    records.late_exits.append(("relay-0", SENT_AT))


@violation("no stream is served after the last fault")
def violate_recover(records):
    refuse(records.requests[STREAM], 502)
