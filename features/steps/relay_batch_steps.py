"""Steps about the batch queue of a stage pool."""

import math
import re

from behave import given, then, use_step_matcher, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from applespring.core.batch import BatchQueue
from applespring.core.homes import DomainRegions
from applespring.core.piece import Piece
from applespring.core.route import BatchSpec
from features.fixtures.relay import make_upstream

SIZES = {"kB": 1e3, "MB": 1e6}
DEADLINE_S = 5.0
TARGET_S = 1.3


def names(text):
    return [n.strip() for n in text.split(",")]


def offer(context, request, count, size, at, **options):
    settings = {
        "deadline_at": at + DEADLINE_S,
        "target_at": at + TARGET_S,
        **options,
    }
    context.queue.offer(
        [
            Piece(
                request=request,
                stage=0,
                segment=n,
                result_bytes=size,
                arrived_at=at,
                **settings,
            )
            for n in range(count)
        ],
        at,
    )


@given(
    "a stage pool of {count:d} upstreams in {domains} with {batch:d} pieces "
    "a call, {call:d} ms a call, {piece:d} ms a piece, {memory:d} MB of results"
)
def given_pool(context, count, domains, batch, call, piece, memory):
    assert len(names(domains)) == count
    spec = BatchSpec(1, batch, call / 1e3, piece / 1e3, memory * 1e6, 4.0)
    context.queue = BatchQueue(spec)
    context.upstreams = {
        d: make_upstream(f"u-{d}", "stage", d) for d in names(domains)
    }
    context.queue.set_upstreams(context.upstreams.values())
    context.calls = []
    context.made = {}


@given("the upstream in {domain} is busy")
@given("the upstreams in {domain} are busy")
def given_busy(context, domain):
    for name in names(domain):
        upstream = context.upstreams[name]
        context.queue.set_upstreams([upstream])
        offer(context, "busy", 1, 0.0, 0.0)
        assert len(context.queue.next_calls(0.0)) == 1
        busy = [context.queue._upstreams[upstream.name]]
        context.busy = [*getattr(context, "busy", []), *busy]
        context.queue.set_upstreams(context.upstreams.values())
    for stage_upstream in context.busy:
        context.queue._upstreams[stage_upstream.upstream.name] = stage_upstream


use_step_matcher("re")


@when(
    r"requests? (?P<who>[\w, ]+?) (?:each )?offers? (?P<count>\d+) pieces? of "
    r"(?P<size>\d+) (?P<unit>kB|MB)(?: for (?P<domain>\w+))? at "
    r"(?P<at>[\d.]+)(?: with priority (?P<priority>\d+))?"
    r"(?: with its target at (?P<target>[\d.]+))?"
    r"(?: with its deadline at (?P<deadline>[\d.]+))?"
)
def when_offer(
    context, who, count, size, unit, domain, at, priority, target, deadline
):
    options = {}
    if domain:
        options["failure_domain"] = domain
    if priority:
        options["priority"] = int(priority)
    if target:
        options["target_at"] = float(target)
    if deadline:
        options["deadline_at"] = float(deadline)
    many = re.fullmatch(r"(\d+) requests", who)
    requests = [f"r{n}" for n in range(int(many[1]))] if many else names(who)
    for request in requests:
        amount = int(size) * SIZES[unit]
        offer(context, request, int(count), amount, float(at), **options)


@when(r"(?P<number>\d+) requests each offer 1 piece of 8 kB at 0.0")
def when_many(context, number):
    for n in range(int(number)):
        offer(context, f"r{n}", 1, 8e3, 0.0)


use_step_matcher("parse")


@when("{number:d} started requests each offer {count:d} pieces of 60 kB at 0.0")
def when_started(context, number, count):
    for n in range(number):
        offer(context, f"r{n}", count, 60e3, 0.0, started=True)


@when("the next calls are made at {at:g}")
def when_made(context, at):
    context.calls += context.queue.next_calls(at)


def finish(context, call, at):
    handles = [f"{p.request}/{p.segment}" for p in call.pieces]
    for piece, handle in zip(call.pieces, handles, strict=True):
        context.made.setdefault(piece.request, []).append(handle)
    return context.queue.succeed(call, handles, at)


@when("the first call ends at {at:g}")
def when_ends(context, at):
    context.unneeded = finish(context, context.calls.pop(0), at)


@when("the first call ends at {at:g} without memory for its results")
def when_ends_without_memory(context, at):
    call = context.calls.pop(0)
    context.queue.succeed(call, [""] * len(call.pieces), at)
    for piece in call.pieces:
        context.queue.requeue(piece, call, at)


@when("every call ends and no result is released")
def when_all(context):
    now = 0.0
    for _ in range(12):
        calls = context.queue.next_calls(now)
        now += 0.1
        for call in calls:
            finish(context, call, now)


@when("only the upstream in {domain} is idle at {at:g}")
def when_only(context, domain, at):
    context.queue.set_upstreams([context.upstreams[domain]])
    context.at = at


@when("the upstream in {domain} reports {size:d} MB of free memory at {at:g}")
def when_reported(context, domain, size, at):
    context.queue.set_free_bytes(f"u-{domain}", size * 1e6, at)


@when("a result of {request} is released")
def when_released(context, request):
    context.queue.release(context.made[request][:1])


@when("the next call fails at {at:g}")
def when_fails(context, at):
    (call,) = context.queue.next_calls(0.0)
    context.failed_call = call
    assert context.queue.fail(call, at) == []
    context.at = at


@when("the next call fails at {at:g} and may not be repeated")
def when_fails_last(context, at):
    (call,) = context.queue.next_calls(0.0)
    context.spent = context.queue.fail(call, at, repeat=False)


@then("{count:d} pieces are given up")
def then_given_up(context, count):
    assert len(context.spent) == count


@when("its call fails {count:d} times")
def when_fails_often(context, count):
    for n in range(count):
        (call,) = context.queue.next_calls(n * 10.0)
        context.spent = context.queue.fail(call, n * 10.0)


@when(
    "submission {one} of request {request} offers {count:d} pieces and "
    "submission {other} offers {count_other:d}"
)
def when_submissions(context, one, request, count, other, count_other):
    offer(context, request, count, 8e3, 0.0, origin=one)
    offer(context, request, count_other, 8e3, 0.0, origin=other)


@when("submission {submission} of request {request} is withdrawn")
def when_submission_withdrawn(context, submission, request):
    context.queue.withdraw(request, submission)


@when("the next call finds the upstream unreachable at {at:g}")
def when_unreachable(context, at):
    (call,) = context.queue.next_calls(at)
    assert context.queue.fail(call, at, refused=True, unreachable=True) == []


@when(
    "for {seconds:g} s every call ends after {call_s:g} s and its results are "
    "released {release_s:g} s later"
)
def when_slow_releases(context, seconds, call_s, release_s):
    ends, releases = [], []
    for tick in range(int(seconds / 0.1)):
        now = tick * 0.1
        for call, handles in [
            c for c in ends if c[0].started_at + call_s <= now
        ]:
            ends.remove((call, handles))
            context.queue.succeed(call, handles, now)
            releases.append((now + release_s, handles))
        for due in [r for r in releases if r[0] <= now]:
            releases.remove(due)
            context.queue.release(due[1])
        for call in context.queue.next_calls(now):
            handles = [f"{p.request}/{p.segment}" for p in call.pieces]
            ends.append((call, handles))


@when("request {request} is withdrawn")
def when_withdrawn(context, request):
    context.queue.withdraw(request)


@then("the next calls hold {count:d} pieces")
def then_hold(context, count):
    context.calls = context.queue.next_calls(0.0)
    assert sum(len(c.pieces) for c in context.calls) == count


@then("the call to one upstream holds pieces of {requests}")
def then_one(context, requests):
    calls = context.calls or context.queue.next_calls(
        getattr(context, "at", 0.31)
    )
    assert len(calls) == 1, calls
    assert [p.request for p in calls[0].pieces] == names(requests)


@then("the next calls go to {domain}")
def then_domain(context, domain):
    calls = context.queue.next_calls(0.0)
    assert [c.upstream.failure_domain for c in calls] == [domain]


@then("there is no call at {at:g}")
def then_none(context, at):
    assert context.queue.next_calls(at) == []


@then("there is a call at {at:g}")
def then_call(context, at):
    assert len(context.queue.next_calls(at)) == 1


@then("only complete requests have results")
def then_complete(context):
    then_complete_of(context, 5)


@then("only complete requests of {count:d} pieces have results")
def then_complete_of(context, count):
    made = context.made
    assert all(len(handles) == count for handles in made.values()), made


@then("at least {count:d} requests have results")
def then_least(context, count):
    assert len(context.made) >= count, context.made


@then("the next call goes to another upstream")
def then_other(context):
    (call,) = context.queue.next_calls(context.at)
    assert call.upstream is not context.failed_call.upstream


@then("the piece is given up")
def then_spent(context):
    assert len(context.spent) == 1


@then("its result is to be released")
def then_unneeded(context):
    assert context.unneeded == ["a/0"]


@then("a request with {left:d} s left is not admitted at {at:g}")
def then_not_admitted(context, left, at):
    assert not context.queue.admits(left, at)


@then("a request with {left:d} s left is admitted at {at:g}")
def then_admitted(context, left, at):
    assert context.queue.admits(left, at)


@then("the piece is overdue at {at:g}")
def then_overdue(context, at):
    assert [p.request for p in context.queue.take_overdue(at)] == ["a"]
    assert len(context.queue) == 0


# Domain, when an upstream opens and until when it is paused, its calls a second
# and its slowdown.
UPSTREAM_STATES = st.tuples(
    st.sampled_from(["koper", "izola", "piran"]),
    st.one_of(st.just(-math.inf), st.floats(-5.0, 5.0)),
    st.one_of(st.just(-math.inf), st.floats(-5.0, 5.0)),
    st.one_of(st.just(math.inf), st.floats(1e-9, 100.0)),
    st.floats(0.0, 100.0),
)


@then("any of {count:d} generated queues has estimates from 0 to infinity")
def then_estimates(context, count):
    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @generated(
        st.lists(UPSTREAM_STATES, max_size=4),
        st.integers(0, 8),
        st.sampled_from([0.0, 0.15]),
        st.sampled_from([0.0, 0.03]),
    )
    def check(states, pieces, call_s, piece_s):
        queue = BatchQueue(
            BatchSpec(1, 4, call_s, piece_s, 28e6, 4.0),
            DomainRegions({"koper": "north", "izola": "north", "piran": "x"}),
        )
        upstreams = [
            make_upstream(f"u{n}", "stage", state[0])
            for n, state in enumerate(states)
        ]
        named = dict(zip((u.name for u in upstreams), states, strict=True))
        queue.set_upstreams(
            upstreams,
            {name: state[1] for name, state in named.items()},
            {name: state[3] for name, state in named.items()},
        )
        for name, state in named.items():
            queue._upstreams[name].pause.until = state[2]
            queue._upstreams[name].slowdown = state[4]
        context.queue = queue
        offer(context, "r", pieces, 8e3, 0.0)
        for now in (0.0, 0.05, 1.5, 4.0):
            regions = frozenset(["north"])
            estimates = [
                queue.wait_s(now),
                queue.wait_s(now, on_time=True),
                queue.wait_s(now, regions=regions),
                queue.opens_in_s(now),
                queue.capacity_pieces_per_s(now),
            ]
            assert all(e >= 0.0 for e in estimates), estimates
            queue.admits(1.0, now)
            queue.take_overdue(now)
            queue.next_calls(now)
            assert not math.isnan(queue.next_wake_at(now))

    check()


@when(
    "its upstream has a limit of {rate:g} calls a second that opens at "
    "{opens:g}, and is paused until {until:g}"
)
def when_limited_and_paused(context, rate, opens, until):
    (upstream,) = context.upstreams.values()
    name = upstream.name
    context.queue.set_upstreams([upstream], {name: opens}, {name: rate})
    context.queue._upstreams[name].pause.until = until


@then("a new piece is expected to wait for {seconds:g} s at {at:g}")
def then_waits(context, seconds, at):
    found = context.queue.wait_s(at)
    assert abs(found - seconds) < 1e-9, found
