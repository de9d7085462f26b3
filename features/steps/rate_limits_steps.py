"""Steps about rate limits that upstreams name, without network."""

import re

from behave import given, then, when

from applespring.core.rate_limits import RateLimitTable
from applespring.core.self_report import make_self_report
from applespring.platform.wire import PlatformProtocol
from features.fixtures.notice_world import LIMIT_WINDOW_S
from features.fixtures.permit_fleet import PermitFleet
from features.steps.relay_limit_steps import EXTRA_REQUESTS

UPSTREAM = ("a", 1)
# Demand as a multiple of the limit.
DEMAND_LIMITS = 2.0


def rate_of(text):
    return None if text == "none" else float(text)


@when("an answer names the rate limits {values}")
def when_named(context, values):
    named = [] if values == "none" else values.split(" and ")
    headers = [(b"Server-Limit", value.encode()) for value in named]
    context.report = PlatformProtocol().decode_reply(200, headers).self_report
    # The JSON interface has the same rules.
    other = make_self_report(
        200,
        leaving=False,
        retry_after=None,
        rate_limits=[v.strip() for n in named for v in n.split(",")],
    )
    assert other.rate_limit == context.report.rate_limit


@then("it shows the limit {limit}, with {count:d} values rejected")
def then_shown(context, limit, count):
    report = context.report
    assert report.rate_limit_known == (limit != "unknown")
    expected = None if limit == "unknown" else rate_of(limit)
    assert report.rate_limit == expected, report.rate_limit
    assert len(report.rejected) == count, report.rejected


@when("an upstream has named {history}")
def when_history(context, history):
    context.limits = RateLimitTable()
    for part in history.split(", "):
        words = part.split()
        if words[0] == "peer":
            context.limits.merge(UPSTREAM, rate_of(words[1]), float(words[3]))
        else:
            context.limits.record(
                UPSTREAM, rate_of(words[0]), float(words[2]), float(words[4])
            )


@then("its limit is {limit}")
def then_limit(context, limit):
    held = context.limits.per_s(UPSTREAM)
    assert held == rate_of(limit), held
    assert context.limits.per_s(("a", 2)) is None


@when("{count:d} upstreams name a limit")
def when_many(context, count):
    context.limits = RateLimitTable()
    context.listed = {f"u{n}" for n in range(100)}
    for number in range(count):
        context.limits.record((f"u{number}", 1), 1.0, number, number)
        context.limits.trim(context.listed, number)


@then("at most {count:d} limits are held, those of listed upstreams among them")
def then_bounded(context, count):
    assert len(context.limits) <= count
    assert all(context.limits.per_s((n, 1)) for n in context.listed)


@given(
    "{count:d} instances with demand {where} for an upstream with a limit of "
    "{limit:g} a second"
)
def given_fleet(context, count, where, limit):
    context.fleet = PermitFleet(count, limit, f"{count} {where} {limit}")
    context.names = ["i0"] if where == "at one instance" else None


def play(context, seconds):
    context.until = seconds
    rate = max(20.0, DEMAND_LIMITS * context.fleet.per_s)
    context.fleet.add_demand(rate, seconds, context.names)
    context.fleet.run(seconds)


@when("they are played for {seconds:d} s")
def when_played(context, seconds):
    play(context, seconds)


@when("they are played for {seconds:d} s, and at {at:d} s {event}")
def when_played_with(context, seconds, at, event):
    fleet = context.fleet
    fleet.at(float(at), EVENTS[re.sub(r"[\d.]+", "N", event)], fleet, event)
    play(context, seconds)


def number_in(event):
    return float(re.search(r"[\d.]+", event)[0])


def restart(fleet, name, down_s=1.5):
    fleet.lose(name)
    fleet.at(fleet.now + down_s, fleet.join, name)


def restart_each_second(fleet, event):
    for number, name in enumerate(sorted(fleet.instances)[:40]):
        fleet.at(fleet.now + number, restart, fleet, name)


def restart_all(fleet, event):
    for name in sorted(fleet.instances):
        restart(fleet, name)


def join(fleet, event):
    for number in range(int(number_in(event))):
        fleet.join(f"new{number}")


EVENTS = {
    "the granter is lost": lambda f, _: f.lose(f.granter()),
    "the granter leaves": lambda f, _: f.lose(f.granter(), leaves=True),
    "the granter restarts": lambda f, _: restart(f, f.granter()),
    "N instances join": join,
    "the granter freezes for N s": lambda f, event: f.freeze(
        f.granter(), number_in(event)
    ),
    "a third is cut off for N s": lambda f, event: f.cut(
        1 / 3, number_in(event)
    ),
    "half of them are cut off for N s": lambda f, event: f.cut(
        1 / 2, number_in(event)
    ),
    "all restart": restart_all,
    "one instance restarts each second": restart_each_second,
}


@then("in no 4 s it gets more than its limit and 5 requests")
def then_kept(context):
    most = context.fleet.most_in(LIMIT_WINDOW_S)
    allowed = LIMIT_WINDOW_S * context.fleet.per_s + EXTRA_REQUESTS
    assert most <= allowed, (most, allowed)


@then("it gets at least {share:g} of its limit from {since:d} s on")
def then_used(context, share, since):
    per_s = context.fleet.rate(since, context.until)
    assert per_s >= share * context.fleet.per_s, (per_s, context.fleet.per_s)
