"""Steps about upstreams that are cold, without network."""

import json
import math
import re

from behave import given, then, when
from loguru import logger

from applespring.core.cold_upstreams import ColdSource, ColdUpstreams
from applespring.core.rate_limits import Limit, RateLimitTable
from applespring.core.rate_permits import RatePermits
from applespring.core.route import PoolSpec
from applespring.platform.document import decode_document, decode_entry
from applespring.platform.wire import PlatformProtocol
from applespring.relay.settings import RelaySettings
from applespring.relay.state import RelayState
from features.fixtures.cold_fleet import DOWN_AT_S, ColdFleet
from features.fixtures.platform_text import make_configuration
from features.fixtures.relay import make_upstream
from features.steps.rate_limits_steps import EVENTS

POOL, COLD_START_S = "pool", 3.0
STEP_S, HORIZON_S = 0.25, 20.0
AGAIN_AT_S, PLAYED_S = 4.0, 45.0
REQUESTS = 4000


def make_cold(per_s=5.0, overshoot=1.5, slack=5.0):
    cold = ColdUpstreams()
    spec = PoolSpec(POOL, 100, cold_start_s=COLD_START_S, cold_per_s=per_s)
    cold.configure([spec], overshoot, slack)
    return cold


def number_of(text):
    return None if text == "none" else float(text)


def apply_event(cold, text):
    """Applies one part of a history; returns the newest listed start."""
    words = text.split()
    now = float(words[-1])
    match words:
        case [*new, "entry", revision, _, _, start, "says", said, _, _]:
            identity = ("a", int(start))
            cold.record_entry(
                identity,
                POOL,
                number_of(said),
                int(revision),
                now,
                is_new=bool(new),
            )
            return identity
        case ["evacuation", *_]:
            cold.begin(("a", 1), POOL, now, ColdSource.EVACUATION)
        case ["refusal", *_]:
            cold.suspect(("a", 1), POOL, now)
        case ["answer", "sent", sent, *_]:
            cold.record_answer(("a", 1), float(sent), now)
        case ["header", said, "sent", sent, *_]:
            cold.record_report(("a", 1), float(said), float(sent), now)
    return ("a", 1)


@when("an upstream of a pool that is cold for 3 s after a start has {history}")
def when_history(context, history):
    cold, parts = make_cold(), history.split(", ")
    context.cold_at, listed = [], ("a", 1)
    for step in range(int(HORIZON_S / STEP_S)):
        now = step * STEP_S
        while parts and float(parts[0].split()[-1]) <= now:
            listed = max(listed, apply_event(cold, parts.pop(0)))
        cold.expire(now, {"a"})
        if cold.find(listed, now) is not None:
            context.cold_at.append(now)


@then("it is cold {times}")
def then_cold(context, times):
    expected = []
    if times != "never":
        _, since, _, until = times.split()
        expected = [
            step * STEP_S
            for step in range(int(HORIZON_S / STEP_S))
            if float(since) <= step * STEP_S < float(until)
        ]
    assert context.cold_at == expected, (context.cold_at, expected)


@when(
    "a pool has a cold rate of {per_s:g} with an overshoot of {overshoot} and "
    "a slack of {slack:g}"
)
def when_bound(context, per_s, overshoot, slack):
    cold = make_cold(per_s, number_of(overshoot), slack)
    cold.record_entry(("a", 1), POOL, 3.0, 1, 0.0)
    context.bound = cold.find(("a", 1), 1.0)


@then("a cold upstream of it takes {bound} in a second")
def then_bound(context, bound):
    found = context.bound.second_max if context.bound else "unlimited"
    assert str(found) == bound, found


@when("{count:d} upstreams are cold")
def when_many(context, count):
    context.cold = make_cold()
    context.listed = {f"u{n}" for n in range(100)}
    for number in range(count):
        context.cold.record_entry((f"u{number}", 1), POOL, 3.0, 1, 0.0)
        context.cold.expire(0.0, context.listed)


@then("at most {count:d} are held, those of listed upstreams among them")
def then_bounded(context, count):
    assert context.cold.count(1.0) <= count
    assert all(context.cold.find((n, 1), 1.0) for n in context.listed)


@when(
    "an upstream that is cold with a rate of {cold:g} has named a rate of "
    "{named}"
)
def when_both(context, cold, named):
    limits = RateLimitTable()
    limits.cold = make_cold(cold)
    limits.cold.record_entry(("a", 1), POOL, 3.0, 1, 0.0)
    limits.record(("a", 1), number_of(named), 0.0, 0.0)
    context.limit = limits.find(("a", 1), 1.0)
    after = limits.find(("a", 1), 4.0)
    assert (after.per_s if after else None) == number_of(named)


@then("it gets {rate:g} a second, and {bound:d} in any second")
def then_lower(context, rate, bound):
    found = (context.limit.per_s, context.limit.second_max)
    assert found == (rate, bound), found


@when("an answer says that it stays cold for {value}")
def when_header(context, value):
    headers = [(b"Cold-Remaining-Ms", value.encode())]
    reply = PlatformProtocol().decode_reply(200, headers)
    context.report = reply.self_report


@then("it is understood as {seconds}, with {count:d} values rejected")
def then_header(context, seconds, count):
    assert context.report.cold_s == number_of(seconds), context.report.cold_s
    assert len(context.report.rejected) == count, context.report.rejected


@when("an entry and a pool have the cold figures {value}")
def when_figures(context, value):
    entry = {
        "service": "huvo11a",
        "address": "10.0.0.9:8080",
        "zone": "koper",
        "slots": 1,
        "state": "ready",
        "coldRemainingMs": json.loads(value),
    }
    service = {
        "name": "huvo11a",
        "coldStartS": json.loads(value),
        "coldPerS": json.loads(value),
    }
    context.records = []
    sink = logger.add(lambda line: context.records.append(line.record))
    try:
        data = json.dumps(entry).encode()
        context.entry = decode_entry("servers/i-1", data, 3)
        context.document = decode_document(
            make_configuration(services=[service])
        )
    finally:
        logger.remove(sink)


@then(
    "they are read without them, and each is logged with its name, value and "
    "bound"
)
def then_figures(context):
    pool = context.document.pools["huvo11a"]
    assert context.entry.pool == "huvo11a" and context.entry.cold_s is None
    assert (pool.cold_start_s, pool.cold_per_s) == (0.0, 0.0)
    logged = {r["extra"]["field"]: r["message"] for r in context.records}
    assert set(logged) == {"coldRemainingMs", "coldStartS", "coldPerS"}
    assert all(re.search(r"from 0 to \d", text) for text in logged.values())


@given(
    "{count:d} instances with demand for an upstream that takes {per_s:g} a "
    "second while it is cold, {overshoot:g} times and {slack:g} more at most"
)
def given_fleet(context, count, per_s, overshoot, slack):
    context.fleet = ColdFleet(
        count, per_s, overshoot, slack, f"cold {count} {per_s} {slack}"
    )
    context.fleet.add_demand(max(20.0, 2 * per_s), PLAYED_S)


@given("each of them has found that it is down")
def given_found(context):
    context.fleet.at(DOWN_AT_S + 1.0, context.fleet.find_down)


def play(context):
    context.fleet.start_again(AGAIN_AT_S)
    context.fleet.run(PLAYED_S)


@when("it starts again at 4 s, and at 12 s {event}")
def when_again(context, event):
    if event != "nothing happens":
        act = EVENTS[re.sub(r"[\d.]+", "N", event)]
        context.fleet.at(12.0, act, context.fleet, event)
    play(context)


@when("it starts again at 4 s, and half of them read nothing of it")
def when_half(context):
    context.fleet.reads_entry = lambda name: int(name[1:]) % 2 == 0
    play(context)


@then("in no second it gets more than its bound")
def then_second(context):
    most = context.fleet.most_in(1.0)
    assert most <= context.fleet.bound, (most, context.fleet.bound)


@then("it gets at least {share:g} of its cold rate from {since:d} s on")
def then_used(context, share, since):
    rate = context.fleet.rate(since, PLAYED_S)
    assert rate >= share * context.fleet.per_s, (rate, context.fleet.per_s)


@when(
    "an instance that reaches {part:d} of 10 grants all it can after 5 s, for "
    "an upstream that takes {per_s:g} a second while it is cold, {overshoot:g} "
    "times and {slack:g} more at most"
)
def when_burst(context, part, per_s, overshoot, slack):
    bound = make_cold(per_s, overshoot, slack).make_bound(per_s)
    limit = Limit(bound.per_s, bound.second_max)
    names = [f"i{n}" for n in range(10)]
    for name in names[:part]:
        permits = RatePermits(name)
        for now, count in ((0.0, 10), (0.1, part), (5.0, part)):
            permits.members.observe(
                dict.fromkeys(names[:count], 1000.0), (), 1.0, now
            )
        if permits.members.granter(POOL) == name:
            break
    # Each permit as the time in which it may be used.
    context.permits = []
    links = dict.fromkeys(names[:part], 1000.0)
    for step in range(1, 8000):
        at = 5.0 + step / 1000
        permits.members.observe(links, (), 1.0, at)
        if step > 1 and at < 9.0:
            continue
        decision = permits.request(("a", 1), POOL, limit, 0.0, at)
        if decision.granted:
            context.permits.append((at, at + decision.valid_s))


@then("no second may have more than {most:d}")
def then_burst(context, most):
    for _, until in context.permits:
        # As many as may be used in the second from the end of this one's time.
        found = sum(a < until + 1.0 and b >= until for a, b in context.permits)
        assert found <= most, (until, found)
    assert bool(context.permits) == bool(most)


@when("{warm:d} of {count:d} upstreams of a pool are warm and the others cold")
def when_some_warm(context, warm, count):
    settings = {
        n: "" for n in ("caller_address", "ready_address", "metrics_address")
    }
    context.now = 0.0
    state = RelayState(
        RelaySettings(
            name="i0",
            failure_domain="koper",
            peer_address="",
            seeds=(),
            registry_address="",
            **settings,
        ),
        lambda: context.now,
    )
    context.cold = state.notices.limits.cold
    spec = PoolSpec(POOL, 100, cold_start_s=COLD_START_S, cold_per_s=5.0)
    context.cold.configure([spec], 1.5, 5.0)
    for number in range(count):
        upstream = make_upstream(f"u{number:02}", POOL)
        state.catalog.put(upstream)
        cold_s = 0.0 if number < warm else 3.0 + number
        context.cold.record_entry(upstream.identity, POOL, cold_s, 1, 0.0)
    context.state, context.warm, context.count = state, warm, count


def count_requests(context):
    """Returns how many of some requests may go to each upstream."""
    counts = dict.fromkeys(
        (u.name for u in context.state.catalog.ready(POOL)), 0
    )
    for number in range(REQUESTS):
        for u in context.state.usable_upstreams(POOL, f"r{number}"):
            counts[u.name] += 1
    return counts


@then(
    "each cold one may get the requests of a warm one, or all if none is warm"
)
def then_cold_share(context):
    counts = count_requests(context)
    expected = REQUESTS / max(1, context.warm)
    for name, found in counts.items():
        if int(name[1:]) >= context.warm:
            assert math.isclose(found, expected, rel_tol=0.4), (name, found)
        else:
            assert found == REQUESTS, (name, found)


@then("one that was cold until just before may get its share only")
def then_return_share(context):
    first = f"u{context.warm:02}"
    context.now = 3.0 + context.warm + 0.5
    found = count_requests(context)[first]
    expected = REQUESTS / context.count
    assert found <= 2.0 * expected, (found, expected)
    context.now += 1.0
    assert count_requests(context)[first] == REQUESTS
