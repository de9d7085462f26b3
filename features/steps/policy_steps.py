"""Steps about the gate of a pool, driven in virtual time."""

import random

from behave import given, then, when

from applespring.core.errors import FailureKind
from applespring.core.fleet import Preference
from applespring.core.gate import LoadReport, PoolGate
from applespring.core.health import HealthState
from applespring.core.prefix import CacheChange, CacheEvent
from applespring.core.verdict import Verdict
from features.fixtures.gate_model import check_sequence
from features.fixtures.gates import GateDriver, make_pool, run_with_fault

PREFIX = (11, 12, 13, 14)


@given("a gate with {count:d} upstreams of {slots:d} slots and calls of 1 s")
def given_gate(context, count, slots):
    context.driver = GateDriver(make_pool(count, slots))


@given(
    "a gate with {count:d} upstreams of {slots:d} slots in domains"
    " and calls of 1 s"
)
def given_gate_in_domains(context, count, slots):
    context.driver = GateDriver(make_pool(count, slots, domains="abc"))


@given('a "{policy}" gate with {count:d} upstreams of {slots:d} slots')
def given_policy_gate(context, policy, count, slots):
    context.driver = GateDriver(make_pool(count, slots), policy)


@given('a site that prefers "{preference}"')
def given_preference(context, preference):
    context.driver.gate.set_preference(Preference(preference))


@given("a queue of at most {count:d}")
def given_queue_max(context, count):
    context.driver = GateDriver(make_pool(1, 1, queue_max=count))


@given("a share of {share:f}")
def given_share(context, share):
    context.driver.gate.set_share(share, context.driver.now)


@given('"{name}" holds the prefix')
def given_prefix(context, name):
    events = [
        CacheEvent(i + 1, CacheChange.STORED, block)
        for i, block in enumerate(PREFIX)
    ]
    context.driver.gate.prefixes.apply(name, events)


@when("{count:d} calls are submitted")
def when_submitted(context, count):
    context.driver.submit(count)


@when("{count:d} calls with the prefix are submitted")
def when_prefix(context, count):
    context.driver.submit(count, prefix=PREFIX)


@when("{count:d} calls with {left:g} s left are submitted at 0 s")
def when_submitted_left(context, count, left):
    context.driver.submit(count, left_s=left)


@when("a call with {left:g} s left is submitted")
def when_one_submitted(context, left):
    context.driver.submit(left_s=left)


@when("a call that may not wait is submitted")
def when_no_wait(context):
    context.driver.submit(may_queue=False)


@when('{count:d} calls of account "{account}" are submitted')
def when_account(context, count, account):
    context.driver.submit(count, account=account)


@when(
    '{count:d} calls of account "{account}" with weight {weight:d}'
    " are submitted"
)
def when_weight(context, count, account, weight):
    context.driver.submit(count, account=account, weight=float(weight))


@when("{count:d} calls of priority {priority:d} are submitted")
def when_priority(context, count, priority):
    # Each priority has its own account and subqueue, so that neither fair
    # queueing nor the order within a subqueue decides.
    spill = "any" if priority == 0 else "full"
    account = f"p{priority}"
    context.driver.submit(
        count, account=account, priority=priority, spill=spill
    )


@when(
    "{count:d} calls of priority {priority:d} of the same account are submitted"
)
def when_priority_of_account(context, count, priority):
    context.driver.submit(count, priority=priority)


@when('{count:d} calls that exclude "{names}" are submitted')
def when_excluded(context, count, names):
    context.driver.submit(count, exclude=frozenset(names.split(",")))


@when('{count:d} calls with spill "{spill}" are submitted')
def when_spill(context, count, spill):
    context.driver.submit(count, spill=spill)


@when("{length:f} s pass without a call ending")
def when_pass(context, length):
    context.driver.now += length
    context.driver.take()


@when("a call succeeds")
def when_succeeds(context):
    context.driver.finish(context.driver.running[0])
    context.driver.take()


@when("{count:d} calls are run one after the other")
def when_run(context, count):
    driver = context.driver
    for _ in range(count - 1):
        driver.finish(driver.running[0])
        driver.take()


@when("no upstream is usable")
def when_none_usable(context):
    context.driver.gate.set_usable([], context.driver.now)
    context.driver.take()


@when('"{name}" reports that it is {state}')
def when_report_state(context, name, state):
    report = LoadReport(state, 0, 0, 2)
    context.driver.gate.record_report(name, report, context.driver.now)


@when('"{name}" reports {count:d} calls of others')
def when_report_load(context, name, count):
    report = LoadReport("serving", count, 0, 8)
    context.driver.gate.record_report(name, report, context.driver.now)


@when('"u0" is {fault} under {rate:d} calls a second for {length:d} s')
def when_fault(context, fault, rate, length):
    context.answered = run_with_fault(context.driver, fault, rate, length)


@when("every upstream ends 5 calls of 1 s, but those of u0 take 10 s")
def when_slow(context):
    driver = context.driver
    names = {u.name for u in driver.pool.upstreams}
    for _ in range(5):
        for name in sorted(names, reverse=True):
            driver.now += 0.1
            driver.submit(exclude=frozenset(names - {name}))
            for grant in list(driver.running):
                driver.finish(grant, None, 10.0 if name == "u0" else 1.0)


@when("all calls in flight fail")
def when_running_fail(context):
    for grant in list(context.driver.running):
        context.driver.finish(grant, FailureKind.RESET)


@when("every upstream fails {count:d} calls")
def when_all_fail(context, count):
    driver = context.driver
    for _ in range(count * 3):
        driver.submit(1)
        if driver.running:
            driver.finish(driver.running[0], FailureKind.RESET)
    driver.take()


@when("{count:d} calls are granted and cancelled")
def when_cancelled(context, count):
    driver = context.driver
    for _ in range(count):
        driver.submit()
        driver.finish(driver.running[0], FailureKind.CANCELLED)


@when('the pool is replaced by one that moves "{name}"')
def when_replaced(context, name):
    pool = make_pool(2, 1, moved=[name])
    driver = context.driver
    driver.gate.replace_pool(pool, driver.now)
    driver.running = [g for g in driver.running if g.upstream.name != name]


@when('"u0" fails until it is ejected')
def when_eject(context):
    driver = context.driver
    for _ in range(3):
        driver.submit(exclude=frozenset(["u1"]))
        driver.finish(driver.running[0], FailureKind.RESET)


@then("{count:d} calls are granted in all")
def then_granted(context, count):
    assert len(context.driver.grants) == count


@then('{count:d} calls are shed as "{reason}"')
def then_shed(context, count, reason):
    shed = [t.shed_reason.code for t in context.driver.shed]
    assert shed == [reason] * count, shed


@then('{count:d} calls of account "{account}" are shed as "{reason}"')
def then_account_shed(context, count, account, reason):
    shed = [(t.account, t.shed_reason.code) for t in context.driver.shed]
    assert shed == [(account, reason)] * count, shed


@then('it is refused as "{reason}" without a retry time')
def then_refused_for_good(context, reason):
    assert _last_refusal(context, reason).retry_after_s is None


@then('it is refused as "{reason}" with {low:d} to {high:d} s to retry')
def then_refused(context, reason, low, high):
    retry_s = _last_refusal(context, reason).retry_after_s
    assert low <= retry_s <= high, retry_s


@then('the last one is refused as "{reason}"')
def then_last_refused(context, reason):
    _last_refusal(context, reason)


def _last_refusal(context, reason):
    exc = context.driver.refused[-1]
    assert exc.reason.code == reason, exc
    assert exc.verdict is Verdict.NOT_RUN
    return exc


@then('account "{account}" got {count:d} of them')
def then_account_got(context, account, count):
    got = [g.ticket.account for g in context.driver.grants]
    assert got.count(account) == count, got


@then("the second had priority {priority:d}")
def then_second(context, priority):
    assert context.driver.grants[1].ticket.priority == priority


@then('{count:d} calls are in flight at "{name}"')
def then_in_flight(context, count, name):
    assert context.driver.in_flight(name) == count


@then('at least {count:d} calls are in flight at "{name}"')
def then_at_least_in_flight(context, count, name):
    assert context.driver.in_flight(name) >= count


@then('at most {calls:d} of the last {last:d} calls went to "u0"')
def then_few_calls(context, calls, last):
    names = [g.upstream.name for g in context.driver.grants[-last:]]
    assert names.count("u0") <= calls, names.count("u0")


@then("at least {share:d} percent of the calls were answered")
def then_answered(context, share):
    assert context.answered * 100 >= share, context.answered


@then("{count:d} upstreams are ejected")
def then_ejected(context, count):
    driver = context.driver
    pool_upstreams = [
        driver.gate.pool_upstream(u.name) for u in driver.pool.upstreams
    ]
    ejected = sum(driver.now < m.health.ejected_until for m in pool_upstreams)
    assert ejected == count, ejected


@then("a new call is granted")
def then_new_granted(context):
    before = len(context.driver.grants)
    context.driver.submit()
    assert len(context.driver.grants) == before + 1


@then('"{name}" has a failure ratio of {ratio:g}')
def then_failure_ratio(context, name, ratio):
    health = context.driver.gate.pool_upstream(name).health
    assert health.failure_ratio == ratio, health.failure_ratio


@then("every upstream has a failure ratio of 0")
def then_no_failures(context):
    driver = context.driver
    for upstream in driver.pool.upstreams:
        assert (
            driver.gate.pool_upstream(upstream.name).health.failure_ratio == 0.0
        )


@then('the next wake is when the ejection of "u0" ends')
def then_wake(context):
    driver = context.driver
    ends_at = driver.gate.pool_upstream("u0").health.ejected_until
    wake_at = driver.gate.next_wake(driver.now)
    assert 0.0 <= wake_at - ends_at < 1e-6, (wake_at, ends_at)
    driver.now = wake_at
    assert driver.take()[0].upstream.name == "u0"


@then("its load is below {bound:f} after {age:d} s")
def then_load(context, bound, age):
    assert context.driver.gate.pool_upstream("u0").load(age) < bound


@then('the policy "{name}" is rejected with "{known}"')
def then_rejected(context, name, known):
    try:
        PoolGate(make_pool(1, 1), "a", random.Random(1), name)
    except ValueError as exc:
        assert known in str(exc)
    else:
        raise AssertionError(f"policy {name!r} was accepted")


@then("the gate keeps its invariants under generated sequences")
def then_invariants(context):
    check_sequence()


@when('"u0" refuses one connection')
def when_refused(context):
    driver = context.driver
    driver.submit(exclude=frozenset(["u1", "u2"]))
    driver.finish(driver.running[0], FailureKind.CONNECT)


@then('"{name}" is ejected')
def then_upstream_ejected(context, name):
    driver = context.driver
    health = driver.gate.pool_upstream(name).health
    assert health.state(driver.now) is HealthState.EJECTED
