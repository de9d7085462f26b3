"""Steps on orders to engines, with the planner alone."""

from behave import given, then, when

from applespring.core.fleet import StageKind
from applespring.core.order import (
    EngineReport,
    EngineState,
    OrderPlanner,
    find_issuer,
)
from features.fixtures.documents import make_fleet, make_pool

LOCAL_ENTRIES = {"koper": ["koper-1"]}


def parse_state(text):
    fields = dict(field.split("=") for field in text.split())
    return {"model": "", **fields}


def set_pool(context, state):
    pool = make_pool(
        "llm",
        context.engines,
        StageKind.GENERATE,
        fencing=context.fencing,
        **parse_state(state),
    )
    rate = getattr(context, "rate", 1000.0)
    context.fleet = make_fleet(1, [pool], weight_loads_per_s=rate)


def make_reports(context, text, now):
    state = EngineState(**parse_state(text))
    names = [name.partition("@")[0] for name in context.engines.split()]
    return {name: EngineReport(state, now) for name in names}


@given('an order planner for pool "{state}" of engines "{engines}"')
def given_planner(context, state, engines, fencing=True):
    context.engines = engines
    context.fencing = fencing
    context.state = state
    set_pool(context, state)
    context.planner = OrderPlanner("koper-1", 0.0)
    context.reports = {}
    context.sent = []
    context.now = 0


@given(
    'an order planner for pool "{state}" of engines "{engines}"'
    " with fencing {fencing:w}"
)
def given_planner_fencing(context, state, engines, fencing):
    given_planner(context, state, engines, fencing == "on")


@given("the weight store allows {rate:g} loads a second")
def given_rate(context, rate):
    context.rate = rate
    set_pool(context, context.state)


@given('the engines report "{text}" at {now:g} s')
def given_reports(context, text, now):
    context.reports = make_reports(context, text, now)


@when('the pool becomes "{state}"')
def when_pool(context, state):
    set_pool(context, state)


@when(
    "orders are planned at {now:g} s"
    " with the configuration confirmed at {at:g} s"
)
def when_plans(context, now, at):
    context.confirmed_at = None if at < 0 else at
    context.orders = context.planner.plan(
        context.fleet, context.reports, LOCAL_ENTRIES, context.confirmed_at, now
    )


@when(
    "orders are planned every 1 s for {duration:d} s"
    ' while the engines report "{text}"'
)
def when_plans_often(context, duration, text):
    for _ in range(duration):
        now = context.now
        reports = make_reports(context, text, now)
        orders = context.planner.plan(
            context.fleet, reports, LOCAL_ENTRIES, now, now
        )
        context.sent += [(now, order.engine) for order in orders]
        context.now += 1


@then('the orders are "{engines}"')
def then_orders(context, engines):
    found = [order.engine for order in context.orders]
    assert found == engines.split(), found


@then('the orders are ""')
def then_no_orders(context):
    then_orders(context, "")


@then('the order has fence {fence:d} and state "{state}"')
def then_order(context, fence, state):
    (order,) = context.orders
    assert order.fence == fence
    assert order.state == EngineState(**parse_state(state))


@then('the orders were sent at "{times}"')
def then_sent_at(context, times):
    found = [time for time, _ in context.sent]
    assert found == [int(time) for time in times.split()], found


@then("every engine was sent an order")
def then_every_engine(context):
    found = {engine for _, engine in context.sent}
    assert found == set(context.engines.split()), context.sent


@then(
    "with revision {revision:d} in force at {now:g} s"
    " the order may be sent: {may:w}"
)
def then_may_send(context, revision, now, may):
    (order,) = context.orders
    found = context.planner.may_send(order, revision, context.confirmed_at, now)
    assert found is (may == "yes")


def plan_all(engines, entries):
    """Returns engine name to the names of the instances that order it."""
    pool = make_pool("llm", engines, StageKind.GENERATE, role="prefill")
    fleet = make_fleet(1, [pool])
    report = EngineReport(EngineState("a"), 0.0)
    reports = {u.name: report for u in pool.upstreams}
    issuers = {u.name: [] for u in pool.upstreams}
    for name in [n for group in entries.values() for n in group]:
        planner = OrderPlanner(name, 0.0)
        for order in planner.plan(fleet, reports, entries, 0.0, 0.0):
            issuers[order.engine].append(name)
    return issuers


@then(
    "{engines:d} engines in 2 domains of {instances:d} instances"
    " have one local issuer each"
)
def then_issuers(context, engines, instances):
    domains = ("koper", "izola")
    entries = {d: [f"{d}-{i}" for i in range(instances)] for d in domains}
    names = " ".join(f"g{i}@{domains[i % 2]}" for i in range(engines))
    issuers = plan_all(names, entries)
    for number in range(engines):
        (issuer,) = issuers[f"g{number}"]
        assert issuer in entries[domains[number % 2]]
    context.issuers = issuers
    context.entries = entries
    context.names = names


@then("the loss of one instance changes the issuer of only the engines it had")
def then_moves(context):
    lost = context.entries["koper"].pop()
    moved = plan_all(context.names, context.entries)
    for engine, before in context.issuers.items():
        if before != [lost]:
            assert moved[engine] == before
    assert find_issuer("g1", []) == ""


@then(
    "{instances:d} instances that start together send at most"
    " {loads_max:d} loads in {duration:d} s at 1 a second"
)
def then_rate(context, instances, loads_max, duration):
    names = [f"koper-{i}" for i in range(instances)]
    engines = " ".join(f"g{i}" for i in range(100))
    pool = make_pool("llm", engines, StageKind.GENERATE, model="a")
    fleet = make_fleet(1, [pool], weight_loads_per_s=1.0)
    planners = [OrderPlanner(name, 0.0) for name in names]
    sent = 0
    for now in range(0, duration + 1, 10):
        report = EngineReport(EngineState("b"), now)
        reports = {u.name: report for u in pool.upstreams}
        for planner in planners:
            orders = planner.plan(fleet, reports, {"koper": names}, now, now)
            sent += len(orders)
    # An instance can exceed its share by up to one load, since it sends no part
    # of one. The hash of the names spreads these loads, so that the sum stays
    # near the rate.
    assert duration / 2 < sent <= loads_max, sent
