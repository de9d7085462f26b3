"""Steps about failure domains that are cut off and queue waits of stages."""

from behave import given, then, when

from applespring.core.chain import Chain
from applespring.core.queue_waits import QueueWaits, excess_s, retry_after_s
from applespring.core.reachability import DomainReachability
from applespring.core.route import StageStep
from features.fixtures.relay import make_upstream


@given(
    "the instances of izola are {instances} and the last call there was {call}"
)
def given_domain(context, instances, call):
    context.reachability = DomainReachability()
    context.reachability.record_call("izola", True, 1.0)
    context.reachability.record_call("izola", False, 2.0)
    if call == "answered":
        context.reachability.record_call("izola", True, 3.0)
    context.lost_domains = {"izola"} if instances == "unreachable" else set()


@then("the upstreams of izola are left out")
def then_left_out(context):
    assert used(context, "koper", "izola") == ["koper"]


@then("the upstreams of izola are used")
def then_used(context):
    assert used(context, "koper", "izola") == ["koper", "izola"]


@then("the upstreams of izola are used when there are no others")
def then_used_alone(context):
    assert used(context, "izola") == ["izola"]


def used(context, *domains):
    listed = [make_upstream(d, "p", d) for d in domains]
    kept = context.reachability.filter_reachable(listed, context.lost_domains)
    return [u.failure_domain for u in kept]


@given("stages of {call:g} s each and queue waits of {wait:g} s")
def given_chain(context, call, wait):
    steps = [
        StageStep(n, f"pool{n}", [n - 1] if n else [], 8e3) for n in range(3)
    ]
    context.chain = Chain(steps, [1, 1, 1])
    context.call_s = dict.fromkeys(range(3), call)
    context.queue_waits = QueueWaits()
    for n in range(3):
        context.queue_waits.put(f"pool{n}", wait, wait, 0.0, 0.0)
    context.now = 0.0


@given("the second stage has a queue wait of {wait:g} s")
def given_wait(context, wait):
    context.queue_waits.put("pool1", wait, wait, 0.0, 0.0)


@when("{seconds:d} s pass")
def when_pass(context, seconds):
    context.now = float(seconds)


def excess(context, target):
    return excess_s(
        context.chain,
        context.call_s,
        context.queue_waits,
        run_s=0.25,
        target_in_s=target,
        leaves_in_s=6.0,
        now=context.now,
    )


@then("a request with a target of {target:g} s is admitted")
def then_admitted(context, target):
    assert excess(context, target) == 0.0


@then(
    "a request that is {excess_s:g} s too late and whose caller leaves in "
    "{leaves_in_s:g} s is to be retried after {after_s:g} s"
)
def then_retried(context, excess_s, leaves_in_s, after_s):
    assert abs(retry_after_s(excess_s, leaves_in_s) - after_s) < 1e-9


@then("a request with a target of {target:g} s is {late:g} s too late")
def then_late(context, target, late):
    # 0.25 s to run, 0.9 s of calls and 6.2 s of queue waits, less 0.75 of the
    # 6 s until the caller leaves.
    expected = 0.25 + 0.9 + 6.2 - 4.5
    assert abs(expected - late) < 0.3
    assert abs(excess(context, target) - expected) < 1e-9
