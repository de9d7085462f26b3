"""Steps about the choice of an engine."""

from behave import given, then, when

from applespring.core.engine_selector import EngineSelector
from features.fixtures.relay import make_upstream


@given("engines {names} and two instances with different histories")
def given_engines(context, names):
    context.engines = [
        make_upstream(n, "llm", f"domain-{n}") for n in names.split(", ")
    ]
    context.selector, context.other_selector = (
        EngineSelector(),
        EngineSelector(),
    )
    context.other_selector.start_request("a", ["x"], 100, 0.0)
    context.other_selector.record_prompt_read("a", 100, 0.0)
    context.now = 0.1


@then("both choose the same home for {count:d} prefixes")
def then_same_home(context, count):
    context.homes = []
    for n in range(count):
        one, two = (
            selector.home(context.engines, f"p{n}", 0.1)
            for selector in (context.selector, context.other_selector)
        )
        assert one is two
        context.homes.append(one.name)


@then("the homes are spread over {names}")
def then_spread(context, names):
    counts = [context.homes.count(n) for n in names.split(", ")]
    assert min(counts) * 3 >= len(context.homes) / 3, counts


def find_home(context):
    context.home = context.selector.home(context.engines, "p", 0.0)
    return context.home.name


@when("the home of a prefix of {tokens:d} tokens has {count:d} requests")
def when_requests(context, tokens, count):
    context.tokens = tokens
    for _ in range(count):
        context.selector.start_request(find_home(context), [], 0, 0.0)


@when("the home of a prefix of {tokens:d} tokens has {unread:d} tokens to read")
def when_unread(context, tokens, unread):
    context.tokens = tokens
    context.selector.start_request(find_home(context), [], unread, 0.0)


@when(
    "a peer reports that the home of a prefix of {tokens:d} tokens has "
    "{unread:d} tokens to read"
)
def when_reported(context, tokens, unread):
    context.tokens = tokens
    context.selector.record_peer_loads(
        "two", {find_home(context): (1, unread)}, 0.0
    )


@when("a request at the home of a prefix fails at {at:g}")
def when_failed(context, at):
    context.tokens = 13300
    context.selector.start_request(find_home(context), [], 0, at)
    context.selector.end_request(context.home.name, at, failed=True)


def choose(context, now):
    return context.selector.choose(
        context.engines,
        subject="p",
        parts=[("p", context.tokens), ("own", 100)],
        inputs={},
        tokens_per_s=55_000.0,
        now=now,
    )


@then("the request goes to the home")
def then_home(context):
    assert choose(context, context.now) is context.home


@then("the request goes elsewhere")
def then_elsewhere(context):
    assert choose(context, context.now) is not context.home


def find_source(context, target):
    return context.selector.prefix_source(
        context.engines,
        target,
        subject="p",
        parts=[("p", context.tokens), ("own", 100)],
        now=context.now,
    )


@then("the engine that gets the request fetches the prefix from the home")
def then_fetches(context):
    assert find_source(context, choose(context, context.now)) is context.home


@then("the engine that gets the request reads the prompt itself")
def then_reads(context):
    chosen = choose(context, context.now)
    assert chosen is not context.home
    assert find_source(context, chosen) is None


@when("another engine than the home was sent a prefix of {tokens:d} tokens")
def when_sent(context, tokens):
    context.tokens = tokens
    home = find_home(context)
    names = [engine.name for engine in context.engines]
    context.holder = next(name for name in names if name != home)
    context.selector.start_request(context.holder, ["p"], 0, 0.0)


@then("the home fetches the prefix from that engine")
def then_home_fetches(context):
    assert find_source(context, context.home).name == context.holder


@then("{seconds:d} s later it goes to the home")
def then_later(context, seconds):
    assert choose(context, context.now + seconds) is context.home


@then(
    "a request without prefix and with {size:d} MB of results in the domain "
    "of {name} goes to {name_again}"
)
def then_near(context, size, name, name_again):
    chosen = context.selector.choose(
        context.engines,
        subject="p",
        parts=[],
        inputs={f"domain-{name}": size * 1e6},
        tokens_per_s=55_000.0,
        now=0.1,
    )
    assert chosen.name == name_again
