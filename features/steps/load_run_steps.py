"""Steps about open-loop load."""

import contextlib
import io
import pathlib
import socket
import tempfile
from collections import defaultdict

import httpx
import orjson
from behave import given, then, when

from applespring.load.arrival import Arrival, plan_arrivals
from applespring.load.caller import Caller
from applespring.load.expect import parse_chains
from applespring.load.main import main
from applespring.load.run import Runner
from applespring.load.summary import Summary
from applespring.load.workload import Workload, parse_choice
from features.fixtures.asgi import run_virtual
from features.fixtures.entry import FakeEntry

DEADLINE_S = 2.0
GRACE_S = 2.0
CHAINS = "chat=generate:llm@256;pay=service:charge"
FLAGS = {
    "targets": "http://127.0.0.1:9",
    "pipelines": "chat=3,pay=1",
    "accounts": "a=1",
    "chains": CHAINS,
    "duration": 0.2,
    "rate": 50.0,
}


@given("a load of {rate:d} requests a second for {duration:d} s")
def given_load(context, rate, duration):
    context.settings = {"rate_per_s": rate, "duration_s": duration}


@given("the setting {name} is {value}")
def given_setting(context, name, value):
    context.settings[name] = orjson.loads(value)


@given("entry instances that answer after {seconds:g} s")
def given_slow(context, seconds):
    context.entry = FakeEntry(delay_s=seconds)


@given('entry instances that are "{fault}"')
def given_fault(context, fault):
    context.entry = FakeEntry(fault=fault)


def make_workload(context, seed=1):
    return Workload(
        ["http://a", "http://b", "http://c"],
        parse_choice("pipelines", "chat=3,pay=1"),
        parse_choice("accounts", "x=1,y=1"),
        parse_chains(CHAINS),
        seed=seed,
        deadline_s=DEADLINE_S,
        **context.settings,
    )


def plan(context, seed=1):
    return list(plan_arrivals(make_workload(context, seed), 0))


def members(arrivals):
    return [[getattr(a, n) for n in Arrival.__slots__] for a in arrivals]


def run_load(context, in_flight_max=1000):
    workload = make_workload(context)
    if "stream_share" in context.settings:
        # Only this pipeline can be streamed.
        workload.pipelines = parse_choice("pipelines", "chat")
    arrivals = list(plan_arrivals(workload, 0))
    context.arrivals = arrivals
    context.summary = Summary(DEADLINE_S)

    async def scenario():
        transport = context.entry.transport()
        async with httpx.AsyncClient(transport=transport) as client:
            caller = Caller([client], DEADLINE_S, GRACE_S)
            runner = Runner(workload, caller, context.summary, in_flight_max)
            await runner.run(arrivals, lambda _line: None)

    run_virtual(scenario)
    context.summary.add_broken()
    context.result = context.summary.to_json()


@when("the load is run")
def when_run(context):
    run_load(context)


@when("the load is run with at most {bound:d} in flight")
def when_run_bounded(context, bound):
    run_load(context, bound)


@then("seed {a:d} gives the same arrivals twice and seed {b:d} gives others")
def then_seeded(context, a, b):
    first = members(plan(context, a))
    assert first == members(plan(context, a))
    assert first != members(plan(context, b))


@then("between {low:d} and {high:d} requests arrive")
def then_between(context, low, high):
    arrivals = plan(context)
    assert low < len(arrivals) < high, len(arrivals)
    times = [arrival.at_s for arrival in arrivals]
    assert times == sorted(times)
    assert times[-1] < 10


def share(arrivals, predicate):
    return sum(map(predicate, arrivals)) / len(arrivals)


@then('about {a:g} are of pipeline "{x}" and {b:g} of "{y}"')
def then_mix(context, a, x, b, y):
    arrivals = plan(context)
    assert abs(share(arrivals, lambda r: r.pipeline == x) - a) < 0.05
    assert abs(share(arrivals, lambda r: r.pipeline == y) - b) < 0.05


@then('about {a:g} of "{x}" and {b:g} of "{y}" are streamed')
def then_streamed(context, a, x, b, y):
    for name, wanted in ((x, a), (y, b)):
        arrivals = [r for r in plan(context) if r.pipeline == name]
        assert abs(share(arrivals, lambda r: r.stream) - wanted) < 0.05


@then("about {wanted:g} are submitted again, all of them with a key")
def then_again(context, wanted):
    arrivals = plan(context)
    resubmitted = [arrival for arrival in arrivals if arrival.resubmit]
    assert abs(len(resubmitted) / len(arrivals) - wanted) < 0.05
    assert all(arrival.key for arrival in resubmitted)
    assert all(len(set(arrival.targets)) == 2 for arrival in resubmitted)


@then("every request was in flight at once")
def then_at_once(context):
    assert len(context.arrivals) > 20
    assert context.entry.running_max == len(context.arrivals)


@then('every outcome is "{outcome}" and no fault is found')
def then_no_fault(context, outcome):
    count = len(context.arrivals)
    assert context.result["outcomes"][outcome] == count > 20, context.result
    assert not context.summary.faulty, context.result["violations"]


@then('every outcome is "{outcome}" and every one is a fault')
def then_all_faults(context, outcome):
    count = len(context.arrivals)
    assert context.result["outcomes"][outcome] == count > 20, context.result
    assert context.result["violations"] == {outcome: count}
    assert context.result["examples"]


@then("the attainment is {ratio:g}")
def then_attainment(context, ratio):
    assert context.result["attainment"] == ratio, context.result
    assert context.result["requests"] == len(context.arrivals)


@then("the first token took {first:d} ms and each gap {gap:d} ms")
def then_times(context, first, gap):
    for name, wanted in (("first_token_ms", first), ("token_gap_ms", gap)):
        times = context.result[name]
        assert times["count"] >= len(context.arrivals)
        # The histogram keeps three significant digits.
        assert abs(times["p50"] - wanted) <= wanted / 1000, times
        assert abs(times["max"] - wanted) <= wanted / 1000, times


@then("all answers are late")
def then_late(context):
    assert context.result["late"] == len(context.arrivals)


@then('all refusals are "{names}"')
def then_refusals(context, names):
    reason, verdict, submission_verdict = names.split(",")
    wanted = {
        "reason": reason,
        "verdict": verdict,
        "submission_verdict": submission_verdict,
        "count": len(context.arrivals),
    }
    assert context.result["refusals"] == [wanted]


def submissions_by_key(context):
    seen = defaultdict(list)
    for target, key, text, at in context.entry.submissions:
        seen[key].append((target, text, at))
    assert len(seen) == len(context.arrivals)
    return seen


@then("each key was seen at two targets with one input")
def then_two_targets(context):
    for submissions in submissions_by_key(context).values():
        targets, texts, _ = zip(*submissions, strict=True)
        assert len(targets) == len(set(targets)) == 2, submissions
        assert len(set(texts)) == 1, submissions


@then("each key was seen at two targets at the same time with one input")
def then_same_time(context):
    then_two_targets(context)
    for submissions in submissions_by_key(context).values():
        assert len({at for _, _, at in submissions}) == 1, submissions


@then("each key was issued by the target that it was sent to")
def then_issued(context):
    for key, submissions in submissions_by_key(context).items():
        assert [context.entry.issued[key]] == [s[0] for s in submissions]


@then("no answer took over {most:d} ms")
def then_no_longer(context, most):
    times = context.result["whole_ms"]
    assert times["count"] == len(context.arrivals)
    # The histogram keeps three significant digits.
    assert times["max"] <= most * 1.001, times


@then("{count:d} requests were sent and the remaining ones counted as not sent")
def then_not_sent(context, count):
    assert context.result["submissions"] == count
    assert context.result["not_sent"] == len(context.arrivals) - count > 0


def make_argv(flags):
    options = {name.replace("_", "-"): flags[name] for name in flags}
    if options.pop("tolerate-broken", False):
        return ["--tolerate-broken", *make_argv(options)]
    return [f"--{name}={value}" for name, value in options.items()]


def run_program(context, **flags):
    log = io.StringIO()
    with tempfile.NamedTemporaryFile() as output:
        with contextlib.redirect_stderr(log):
            argv = make_argv(FLAGS | flags | {"output": output.name})
            context.code = main(argv, {})
        text = pathlib.Path(output.name).read_bytes()
    context.result = orjson.loads(text) if text else None
    context.log = log.getvalue()


@when('the program is run with "{flag}" set to "{value}"')
def when_flag(context, flag, value):
    run_program(context, **{flag: value})


@then('its exit code is {code:d} and the message names "{flag}"')
def then_message(context, code, flag):
    assert context.code == code
    assert context.log.startswith("applespring-load: "), context.log
    name = context.log.split()[1].partition("=")[0].rstrip(":").lstrip("-")
    assert name == flag.replace("_", "-"), context.log


def closed_port(context):
    # The port is bound but does not listen: connections to it are refused, and
    # no other process can take it.
    sock = socket.socket()
    context.add_cleanup(sock.close)
    sock.bind(("127.0.0.1", 0))
    return f"http://127.0.0.1:{sock.getsockname()[1]}"


@when("the program is run against a closed port with tolerance {tolerance}")
def when_closed(context, tolerance):
    flag = orjson.loads(tolerance)
    run_program(context, targets=closed_port(context), tolerate_broken=flag)


@when("the program is run against a closed port with records from it")
def when_no_records(context):
    url = closed_port(context)
    run_program(context, targets=url, records=url, tolerate_broken=True)


@then("its exit code is {code:d} and the file counts broken connections")
def then_code_broken(context, code):
    assert context.code == code
    assert context.result["outcomes"]["broken"] > 0, context.result


@then('its exit code is {code:d} and the file counts "{kind}"')
def then_code_kind(context, code, kind):
    assert context.code == code
    assert context.result["violations"] == {kind: 1}
