"""Steps on where requests of a plain pool go, with many instances."""

from behave import then, when

from features.fixtures.choice_model import Point, Slowdown, play


def play_learned(context, point):
    context.point = point
    context.result = play(point, "learned")


@when(
    "{instances:d} instances send requests to {upstreams:d} equal upstreams at "
    "{load:g} of their capacity"
)
def when_equal(context, instances, upstreams, load):
    play_learned(context, Point(instances, upstreams, load))


@when(
    "{instances:d} instances choose as fixed among {upstreams:d} equal "
    "upstreams at {load:g} of their capacity"
)
def when_fixed(context, instances, upstreams, load):
    context.result = play(Point(instances, upstreams, load), "fixed")


@when(
    "{instances:d} instances send requests to {upstreams:d} upstreams at "
    "{load:g} of their capacity, of which one becomes 5 times slower at 4 s"
)
def when_slower(context, instances, upstreams, load):
    slow = Slowdown(5.0, 4.0, 9.0)
    play_learned(context, Point(instances, upstreams, load, slowdown=slow))


@when(
    "{instances:d} instances send requests to {upstreams:d} upstreams at "
    "{load:g} of their capacity, and one comes back at 6 s"
)
def when_returns(context, instances, upstreams, load):
    play_learned(context, Point(instances, upstreams, load, absent=(4.0, 6.0)))


@then(
    "in any second no upstream gets over 1.25 times its share and 3 deviations"
)
def then_even(context):
    assert context.result.peak() <= 1.0, context.result.peak()


@then(
    "in some second an upstream gets over 1.25 times its share and 3 deviations"
)
def then_uneven(context):
    assert context.result.peak() > 1.0, context.result.peak()


@then(
    "the 99th percentile of requests at an upstream is at most that of the "
    "fixed choice"
)
def then_not_deeper(context):
    fixed = play(context.point, "fixed")
    found = context.result.quantile(context.result.depths, 0.99)
    bound = fixed.quantile(fixed.depths, 0.99)
    assert found <= bound, (found, bound)


@then("the 95th percentile of times is at most that of the fixed choice")
def then_not_later(context):
    fixed = play(context.point, "fixed")
    found = context.result.quantile(context.result.times_s, 0.95)
    bound = fixed.quantile(fixed.times_s, 0.95)
    assert found <= bound, (found, bound)


@then("from 6 s to 9 s it gets at most a fifth of its share")
def then_less(context):
    found = context.result.share(0, 6.0, 9.0)
    assert found <= 0.2, found


@then("it gets between half of its share and twice its share from 7 s on")
def then_share(context):
    found = context.result.share(0, 7.0, 10.0)
    assert 0.5 <= found <= 2.0, found


@then("in the first second after 6 s it gets at most twice its share")
def then_no_flood(context):
    found = context.result.share(0, 6.0, 7.0)
    assert found <= 2.0, found
