"""Steps on the learned choice of an upstream of a plain pool."""

import collections
import math
import random

import anyio
from behave import given, then, when
from loguru import logger

from applespring.core.choice import even
from applespring.core.choice.cost import CostTable, RequestFeatures
from applespring.core.choice.plain import LearnedChoice
from applespring.core.plain_choice import make_plain_choice
from applespring.core.plain_selector import PlainSelector
from features.fixtures.relay import make_upstream
from features.fixtures.relay_world import RelayWorld
from features.fixtures.virtual import run_virtual


def ignore(*_):
    """Counts nothing."""


def make_features(number, **fields):
    return RequestFeatures(f"r{number}", "plain", "route", **fields)


@when(
    "400 requests of {classes} come whose costs differ by a factor of 8 and by "
    "chance of {chance:g}"
)
def when_costs(context, classes, chance):
    rng, costs = random.Random(4), CostTable()
    context.errors, context.mean_errors = [], []
    seen = []
    for number in range(400):
        power = rng.randrange(4)
        cost_s = 0.05 * 2**power * rng.uniform(1.0 - chance, 1.0 + chance)
        if classes == "4 sizes":
            features = make_features(number, size=100 * 2**power)
        else:
            features = make_features(number, account=f"account{power}")
        now = 0.1 * number
        if number >= 100:
            estimate = costs.estimate(features, now)
            context.errors.append(abs(estimate.mean_s - cost_s))
            context.mean_errors.append(abs(sum(seen) / len(seen) - cost_s))
        seen.append(cost_s)
        costs.record(features, cost_s, now)


@then(
    "the mean error of the learned cost is at most half of that of the route's "
    "mean"
)
def then_error(context):
    found, bound = sum(context.errors), 0.5 * sum(context.mean_errors)
    assert found <= bound, (found, bound)


@when("{count:d} accounts send a request")
def when_accounts(context, count):
    context.costs = CostTable()
    for number in range(count):
        features = make_features(number, account=f"account{number}")
        context.costs.record(features, 0.1, float(number))


@then("at most {count:d} classes of requests are remembered")
def then_classes(context, count):
    assert len(context.costs) <= count


@given(
    "upstreams a, b and c of which a and b answered 50 requests in {took:g} s"
)
def given_answered(context, took):
    context.choice = LearnedChoice("one", ignore)
    context.listed = [make_upstream(name, "plain") for name in "abc"]
    context.domain, context.tried = "koper", ()
    for number in range(50):
        for upstream in context.listed[:2]:
            at = number * took
            sent = context.choice.start(upstream, make_features(number), at)
            context.choice.end(sent, at + took, failed=False)
    context.now = 51 * took


@given("only c is in the own failure domain")
def given_domains(context):
    context.listed = [
        make_upstream(
            name, "plain", "koper" if name == "c" else "izola", slots=4
        )
        for name in "abc"
    ]


@given("c has 1 request")
def given_running(context):
    context.choice.start(context.listed[2], make_features(0), context.now)


@when(
    "one of {instances:d} instances chooses among {upstreams:d} upstreams of "
    "one domain"
)
def when_compares(context, instances, upstreams):
    listed = [make_upstream(f"u{n}", "plain") for n in range(upstreams)]
    context.compared = []

    def cost(upstream):
        context.compared.append(upstream.name)
        return 0.0

    even.choose(
        listed, cost, failure_domain="koper", instances=instances, seed=1
    )


@then("it compares {count:d} of them")
def then_compares(context, count):
    assert len(set(context.compared)) == count, context.compared


def count_chosen(context, count):
    chosen = collections.Counter()
    for number in range(count):
        upstream = context.choice.choose(
            context.listed,
            context.domain,
            context.tried,
            context.now,
            make_features(f"{number}x"),
            7,
        )
        chosen[upstream.name] += 1
    return chosen


@when("300 requests are chosen for while all are idle")
def when_chosen(context):
    context.chosen = count_chosen(context, 300)


@then("each of a, b and c is chosen for {least:d} to {most:d} of them")
def then_each(context, least, most):
    for name in "abc":
        assert least <= context.chosen[name] <= most, context.chosen


@when("a has failed")
def when_failed(context):
    sent = context.choice.start(
        context.listed[0], make_features(0), context.now
    )
    context.choice.end(sent, context.now, failed=True)


@when("{names} has been tried")
@when("{names} have been tried")
def when_tried(context, names):
    context.tried = names.split(" and ")


@then("{name} is chosen for none of 100 requests")
def then_not_chosen(context, name):
    assert count_chosen(context, 100)[name] == 0


@then("c is chosen for all of 100 requests")
def then_all(context):
    assert count_chosen(context, 100)["c"] == 100


@then("not for all of them while it has 20 requests")
def then_not_all(context):
    for number in range(20):
        context.choice.start(
            context.listed[2], make_features(number), context.now
        )
    assert count_chosen(context, 100)["c"] < 100


@when("2000 requests are sent and end at random with the fixed choice")
def when_fixed_choice(context):
    rng = random.Random(9)
    choice = make_plain_choice("fixed", "one", ignore)
    selector = PlainSelector()
    listed = [
        make_upstream(f"u{n}", "plain", rng.choice(("koper", "izola")))
        for n in range(8)
    ]
    running, now = [], 0.0
    context.decisions = []
    for number in range(2000):
        now += rng.expovariate(50.0)
        while running and rng.random() < 0.5:
            sent = running.pop(rng.randrange(len(running)))
            took_s, failed = now - sent.sent_at, rng.random() < 0.1
            choice.end(sent, now, failed)
            selector.end_request(sent.upstream, now, took_s, failed)
        tried = rng.sample([u.name for u in listed], rng.randrange(3))
        features = make_features(number)
        found = choice.choose(listed, "koper", tried, now, features, 7)
        expected = selector.choose(listed, "koper", tried, now)
        context.decisions.append((found, expected))
        running.append(choice.start(found, features, now))
        selector.start_request(expected.name)


@then("each decision is that of the selector by mean call times")
def then_same(context):
    assert all(found is expected for found, expected in context.decisions)


@given(
    "{instances:d} instances with the choice {choice} and {upstreams:d} equal "
    "upstreams that answer in {took:g} s"
)
def given_instances(context, instances, choice, upstreams, took):
    context.world = RelayWorld()
    context.world.settings = {"choice": choice}
    context.count = instances
    for number in range(upstreams):
        upstream = context.world.add_upstream(f"u{number}", "plain")
        upstream.head_delay_s = took


@when("{per_s:d} requests a second come for {seconds:d} s")
def when_requests(context, per_s, seconds):
    rng, world = random.Random(6), context.world
    context.lines = []
    sink = logger.add(
        lambda line: context.lines.append(line.record["extra"]), level="INFO"
    )

    async def run():
        async with anyio.create_task_group() as tasks:
            for number in range(context.count):
                await world.start(f"i{number}", tasks)
            await anyio.sleep(2.0)
            async with anyio.create_task_group() as callers:
                for number in range(per_s * seconds):
                    await anyio.sleep(rng.expovariate(per_s))
                    instance = f"i{rng.randrange(context.count)}"
                    callers.start_soon(
                        send, world, instance, f"request-{number}"
                    )
            first = world.instances["i0"]
            context.peaks = first.plain_choice.peaks(anyio.current_time())
            context.metrics = first.metrics.render()
            tasks.cancel_scope.cancel()

    try:
        run_virtual(run)
    finally:
        logger.remove(sink)


async def send(world, instance, request):
    reply = await world.request(instance, "/safe/x", request=request)
    assert reply.status == 200, reply.status


@then(
    "the most loaded upstream gets {bound} 1.25 times its share and 3 "
    "deviations"
)
def then_most(context, bound):
    arrivals = context.world.arrivals
    counts = collections.Counter(a.upstream for a in arrivals)
    even = len(arrivals) / len(context.world.upstreams)
    most, limit = max(counts.values()), 1.25 * even + 3.0 * math.sqrt(even)
    assert most > limit if bound == "over" else most <= limit, (most, limit)


@then(
    "the last attempts are logged with an expected time of {least:g} s to "
    "{most:g} s"
)
def then_logged(context, least, most):
    attempts = [x for x in context.lines if x.get("event") == "attempt"]
    for attempt in attempts[-20:]:
        assert least <= attempt["expected_s"] <= most, attempt


@then("the metrics have choices by reason, expected and taken time")
def then_metrics(context):
    for text in (
        'choices_total{pool="plain",reason="least_end"}',
        'work_seconds_total{kind="expected",pool="plain"}',
        'work_seconds_total{kind="taken",pool="plain"}',
    ):
        assert f"applespring_relay_{text}" in context.metrics, text


@then("the largest share of an upstream is from 1 to 2")
def then_peak(context):
    assert 1.0 <= context.peaks["plain"] <= 2.0, context.peaks
