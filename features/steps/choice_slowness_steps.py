"""Steps on how slow upstreams are."""

import random

from behave import given, then, when

from applespring.core.choice.slowness import SlownessTable
from applespring.platform.wire import PlatformProtocol

UPSTREAM = ("a", 1)
WARM_S = 10.0


class _History:
    """Requests sent at even intervals, and the table as of any time."""

    def __init__(self, per_s, expected_s):
        self.per_s = per_s
        self.expected_s = expected_s
        self.factor = lambda _sent_at: 1.0
        self.cost = lambda _sent_at: 1.0
        self.until = float("inf")
        self.reports = []

    def table_at(self, now):
        table = SlownessTable()
        events = []
        for index in range(int(min(now, self.until) * self.per_s) + 1):
            sent_at = index / self.per_s
            expected_s = self.expected_s * self.cost(sent_at)
            ended_at = sent_at + expected_s * self.factor(sent_at)
            events.append((sent_at, 0, index, expected_s))
            events.append((ended_at, 1, index, None))
        work = {}
        for at, kind, index, expected_s in sorted(
            e for e in events if e[0] <= now
        ):
            if kind == 0:
                work[index] = table.start(UPSTREAM, expected_s, at)
            else:
                table.finish(work[index], at)
        for at, percent in self.reports:
            table.report(UPSTREAM, percent, at)
        return table


@given(
    "an upstream that answers {per_s:d} requests a second in their expected "
    "time of {expected_s:g} s"
)
def given_upstream(context, per_s, expected_s):
    context.history = _History(per_s, expected_s)


@when("it takes {factor:d} times as long from {start:d} s to {end:d} s")
def when_slow(context, factor, start, end):
    context.history.factor = lambda at: factor if start <= at < end else 1.0


@when(
    "it takes {factor:d} times as long from {start:d} s to {end:d} s and then "
    "gets no requests"
)
def when_slow_and_left(context, factor, start, end):
    when_slow(context, factor, start, end)
    context.history.until = end


@when("it answers nothing from {start:d} s on")
def when_silent(context, start):
    context.history.factor = lambda at: 1e6 if at >= start else 1.0


@when(
    "its requests take {factor:d} times as long as before, as was expected of "
    "them"
)
def when_dear(context, factor):
    context.history.cost = lambda at: factor if at >= WARM_S else 1.0


@when("it reports {percent:d} percent at {at:g} s")
def when_reports(context, percent, at):
    context.history.reports.append((at, percent))


@then("it counts as at {bound} {factor:g} times slower at {now:g} s")
def then_slowness(context, bound, factor, now):
    found = context.history.table_at(now).slowness(UPSTREAM, now)
    assert found >= factor if bound == "least" else found <= factor, found


@then("another start of it counts as exactly 1 times slower at {now:g} s")
def then_other_start(context, now):
    table = context.history.table_at(now)
    assert table.slowness(("a", 2), now) == 1.0


@given(
    "30 upstreams of speeds {speeds} that answered {count:d} requests each "
    "with costs of a spread of 1 to 10"
)
def given_speeds(context, speeds, count):
    rng = random.Random(7)
    context.slowness = SlownessTable()
    context.identities = [(f"u{index}", 1) for index in range(30)]
    for number in range(count):
        for index, identity in enumerate(context.identities):
            slow = 2.0 if speeds == "1 and 2" and index % 2 else 1.0
            context.slowness.record(
                identity,
                1.0,
                slow * rng.uniform(1.0, 10.0) / 5.5,
                0.1 * number,
            )


@then("their spread is at least {least:g} and at most {most:g}")
def then_spread(context, least, most):
    found = context.slowness.spread(context.identities, 4.0)
    assert least <= found <= most, found


@when("{count:d} upstreams answer a request")
def when_many(context, count):
    context.slowness = SlownessTable()
    for index in range(count):
        context.slowness.record((f"u{index}", 1), 1.0, 1.0, float(index))


@then("at most {count:d} of them are remembered")
def then_bounded(context, count):
    assert len(context.slowness) <= count


@when('an answer names the load "{value}"')
def when_load(context, value):
    headers = [(b"Server-Load", value.encode())]
    context.report = PlatformProtocol().decode_reply(200, headers).self_report


@when("an answer names no load")
def when_no_load(context):
    context.report = PlatformProtocol().decode_reply(200, []).self_report


@then("the load is {expected}, with {rejected:d} values rejected")
def then_load(context, expected, rejected):
    load, found = context.report.load, "unknown"
    if load is not None:
        found = f"{load.running}, {load.waiting}, {load.slots}"
        if load.slowness_percent is not None:
            found += f" at {load.slowness_percent:g}"
    assert (found, len(context.report.rejected)) == (expected, rejected), found
