"""Steps about what upstreams say of themselves, without network."""

import collections
import random

from behave import given, then, when

from applespring.core.engine_selector import EngineSelector
from applespring.core.notices import UpstreamNotices, spread_return_s
from applespring.core.plain_selector import PlainSelector
from applespring.core.self_report import SelfReport, make_self_report
from applespring.platform.wire import PlatformProtocol
from applespring.relay.settings import RelaySettings
from applespring.relay.state import RelayState
from features.fixtures.relay import make_upstream

# Time of a request at an upstream, and interval of gossip about loads.
REQUEST_S = {"engine": 1.0, "plain": 0.045}
# Prompt prefixes that requests share, and their tokens.
PREFIXES, PREFIX_TOKENS = 200, 3000
GOSSIP_S = 0.5
TOKENS_PER_S = 55_000.0
# Requests that an upstream runs at once.
SLOTS = 12


@when('an answer with status {status:d} has the Retry-After "{value}"')
def when_answer(context, status, value):
    headers = [(b"Retry-After", value.encode())]
    context.report = (
        PlatformProtocol().decode_reply(status, headers).self_report
    )
    # The JSON interface has the same rules.
    other = make_self_report(status, leaving=False, retry_after=value)
    assert other.pause_s == context.report.pause_s


@then("it asks for a pause of {pause} s, with {count:d} values rejected")
def then_pause(context, pause, count):
    expected = None if pause == "no" else float(pause)
    assert context.report.pause_s == expected, context.report.pause_s
    assert len(context.report.rejected) == count, context.report.rejected


@when("upstream a hears of {text}")
def when_notices(context, text):
    context.notices = UpstreamNotices()
    for part in text.split(", "):
        words = part.split()
        report = SelfReport(
            leaving=words[2] == "leaving",
            pause_s=float(words[3]) if words[2] == "pause" else None,
        )
        context.notices.record(
            ("a", int(words[1])), report, float(words[-1]), ["a"]
        )


@then("at {now:g} s its start 1 is {first} and its start 2 is {second}")
def then_applies(context, now, first, second):
    found = []
    for start in (1, 2):
        notice = context.notices.find(("a", start), now)
        found.append(notice.value if notice else "usable")
    assert found == [first, second], found


@when("{count:d} upstreams ask for a pause of {pause:g} s and leave")
def when_many(context, count, pause):
    context.notices = UpstreamNotices()
    for number in range(count):
        report = SelfReport(leaving=True, pause_s=pause)
        context.notices.record((f"u{number}", 1), report, number / 1000)
    context.newest = (f"u{count - 1}", 1)


@then("at most {count:d} of each are held, the newest among them")
def then_bounded(context, count):
    notices = context.notices
    paused = [
        n
        for n in range(5000)
        if notices.pauses.until((f"u{n}", 1)) > float("-inf")
    ]
    assert len(notices.leaving) <= count, len(notices.leaving)
    assert len(paused) <= count, len(paused)
    assert notices.leaving.is_leaving(*context.newest)
    assert 4999 in paused


@given("{instances:d} instances and {upstreams:d} upstreams of a {kind} pool")
def given_pool(context, instances, upstreams, kind):
    context.kind = kind
    context.sizes = (instances, upstreams)


def make_fleet(context):
    """Makes instances that know the upstreams and have no requests."""
    instances, upstreams = context.sizes
    context.now = 0.0
    context.upstreams = [
        make_upstream(f"u{n}", "pool", slots=SLOTS) for n in range(upstreams)
    ]
    context.states = []
    context.gets = collections.defaultdict(list)
    for number in range(instances):
        settings = RelaySettings(
            name=f"i{number}",
            failure_domain="koper",
            caller_address="",
            ready_address="",
            metrics_address="",
            peer_address="",
            seeds=(),
            registry_address="",
        )
        state = RelayState(settings, lambda: context.now)
        for upstream in context.upstreams:
            state.catalog.put(upstream)
        context.states.append((state, PlainSelector()))


def choose(context, state, selector, request):
    """Returns the upstream that an instance sends a request to."""
    usable = state.usable_upstreams("pool", request)
    if context.kind == "plain":
        return selector.choose(usable, "koper", (), context.now)
    return state.engines.choose(
        usable,
        subject=_prefix_of(request),
        parts=[(_prefix_of(request), PREFIX_TOKENS), (request, 500)],
        inputs={},
        tokens_per_s=TOKENS_PER_S,
        now=context.now,
    )


def _prefix_of(request):
    return f"prefix{int(request[1:]) * 7919 % PREFIXES}"


def exchange_loads(context):
    """Lets all instances know each other's load of now."""
    loads = [
        (state.settings.name, state.engines.local_loads())
        for state, _ in context.states
    ]
    for state, _ in context.states:
        for name, load in loads:
            if name != state.settings.name:
                EngineSelector.record_peer_loads(
                    state.engines, name, load, context.now
                )


@when(
    "{rate:d} requests a second come for {seconds:d} s and one upstream is "
    "paused everywhere from {since:d} s to {until:d} s"
)
def when_paused_everywhere(context, rate, seconds, since, until):
    context.rate, context.pause = rate, (float(since), float(until))
    make_fleet(context)
    run_traffic(context, rate, seconds, since, 0.0)
    context.most_without = max(
        count_most(context, upstream.name) for upstream in context.upstreams
    )
    make_fleet(context)
    run_traffic(context, rate, seconds, since, float(until - since))


def run_traffic(context, rate, seconds, since, pause_s):
    """Sends requests; the first upstream is paused everywhere at `since`."""
    rng = random.Random(5)
    ends = collections.deque()
    paused = context.upstreams[0].identity
    for number in range(rate * seconds):
        context.now = number / rate
        while ends and ends[0][0] <= context.now:
            _, state, selector, name = ends.popleft()
            if context.kind == "plain":
                took_s = REQUEST_S["plain"] * rng.uniform(0.7, 1.3)
                selector.end_request(name, context.now, took_s, False)
            else:
                state.engines.record_prompt_read(name, 500, context.now)
                state.engines.end_request(name, context.now, failed=False)
        if number == since * rate:
            for state, _ in context.states:
                report = SelfReport(pause_s=pause_s)
                state.notices.record(paused, report, context.now)
        if context.kind == "engine" and number % int(rate * GOSSIP_S) == 0:
            exchange_loads(context)
        state, selector = rng.choice(context.states)
        upstream = choose(context, state, selector, f"r{number}")
        context.gets[upstream.name].append(context.now)
        if context.kind == "plain":
            selector.start_request(upstream.name)
        else:
            state.engines.start_request(
                upstream.name,
                [_prefix_of(f"r{number}"), f"r{number}"],
                500,
                context.now,
            )
        ends.append(
            (
                context.now + REQUEST_S[context.kind],
                state,
                selector,
                upstream.name,
            )
        )


def count_between(context, name, since, until):
    return sum(since <= at < until for at in context.gets[name])


@then("no request goes to it in its pause")
def then_none(context):
    since, until = context.pause
    assert not count_between(context, "u0", since, until - 1e-9)


def count_most(context, name, window=0.5):
    """Returns the most requests in a window of the pause of the scenario."""
    since, until = context.pause
    starts = [
        since + n * window for n in range(round((until - since) / window))
    ]
    return max(count_between(context, name, at, at + window) for at in starts)


@then(
    "in no {window:g} s of the pause another one gets over {factor:g} times "
    "what one gets without it"
)
def then_no_herd(context, window, factor):
    most = max(
        count_most(context, upstream.name, window)
        for upstream in context.upstreams[1:]
    )
    bound = factor * context.most_without
    assert most <= max(bound, SLOTS), (most, context.most_without)


@then(
    "in the {window:g} s after the pause it gets at most {factor:g} times its "
    "share"
)
def then_share(context, window, factor):
    until = context.pause[1]
    share = context.rate * window / len(context.upstreams)
    count = count_between(context, "u0", until, until + window)
    assert count <= max(factor * share, SLOTS), (count, share)


@then("it gets requests within {seconds:g} s of its end")
def then_back(context, seconds):
    until = context.pause[1]
    assert count_between(context, "u0", until, until + seconds)


@when("{count:d} requests are refused for a pause of {pause:g} s")
def when_refused(context, count, pause):
    context.pause_s = pause
    context.waits = sorted(
        spread_return_s(pause, f"r{n}") for n in range(count)
    )


@then(
    "all come back after it, and at most {most:d} of them within any "
    "{window:g} s"
)
def then_spread(context, most, window):
    assert context.waits[0] >= context.pause_s
    for first in context.waits:
        count = sum(first <= at < first + window for at in context.waits)
        assert count <= most, (first, count)
