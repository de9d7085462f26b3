"""Steps about what an instance measures of its engines and its event loop."""

import random

from behave import given, then, when

from applespring.core.first_event import FirstEventEstimate
from applespring.relay.loop_monitor import LoopMonitor


@given("engines that read {speed:d} tokens/s and need {fixed:g} s beside that")
def given_engines(context, speed, fixed):
    context.estimate = FirstEventEstimate()
    context.speed = speed
    context.fixed_s = fixed


@when(
    "{count:d} requests of {low:d} to {high:d} unread tokens get their first "
    "event"
)
def when_events(context, count, low, high):
    rng = random.Random(1)
    context.took_s = []
    for _ in range(count):
        tokens = rng.randint(low, high)
        noise = rng.uniform(0.8, 1.2)
        took_s = noise * context.fixed_s + tokens / context.speed
        context.took_s.append(took_s)
        context.estimate.record(tokens, took_s)


@then("the reading speed is known to within a fifth")
def then_speed(context):
    ratio = context.estimate.tokens_per_s / context.speed
    assert 0.8 <= ratio <= 1.2, context.estimate.tokens_per_s


@then("nine in ten first events come within the expected time")
def then_expected(context):
    last = context.took_s[-200:]
    within = sum(took_s <= context.estimate.run_s for took_s in last)
    assert 0.8 <= within / len(last) <= 0.98, within


@given("a monitor of the event loop")
def given_monitor(context):
    context.monitor = LoopMonitor(lambda: 0.0)


@when("{count:d} tasks run {seconds:g} s late")
def when_late(context, count, seconds):
    for _ in range(count):
        context.monitor.record_delay(seconds)


@then("the loop is overloaded")
def then_overloaded(context):
    assert context.monitor.overloaded


@then("the loop is not overloaded")
def then_not_overloaded(context):
    assert not context.monitor.overloaded
