"""Steps about the choice of an engine by learned cost."""

import hashlib
import random

from behave import given, then, when

from applespring.core.engine_selector import EngineSelector
from applespring.core.engines.answer_lengths import AnswerLength, AnswerLengths
from applespring.core.engines.learned import LearnedEngines
from applespring.core.engines.stream_cost import StreamCost
from applespring.platform.wire import PlatformProtocol
from features.fixtures.engine_queues import TOKENS_PER_S, QueueModel
from features.fixtures.relay import make_upstream

# When one engine of the model is slow, and by which factor.
SLOW = (6.0, 11.0, 4.0)
# From when on the requests of the model count.
SINCE = 3.0
SEED = 1


def make_cost(tokens, pool="llm", **fields):
    return StreamCost(
        pool,
        "r",
        tokens_in=tokens,
        tokens_max=0,
        tokens_hint=0,
        answer=AnswerLength(10.0, 0.0),
        **fields,
    )


@when("{count:d} random steps are played with the fixed choice")
def when_random(context, count):
    rng = random.Random(7)
    selector = EngineSelector()
    engines = [make_upstream(f"e{n}", "llm", f"d{n % 3}") for n in range(9)]
    digest = hashlib.sha256()
    sent = []
    for step in range(count):
        now = step * 0.02
        prefix = f"p{rng.randrange(40)}"
        parts = [(prefix, 4000), (f"own{step}", rng.randrange(100, 6000))]
        chosen = selector.choose(
            engines,
            subject=prefix,
            parts=parts,
            inputs={f"d{rng.randrange(3)}": rng.random() * 1e7},
            tokens_per_s=55_000.0,
            now=now,
        )
        source = selector.prefix_source(
            engines, chosen, subject=prefix, parts=parts, now=now
        )
        digest.update(f"{chosen.name} {source and source.name};".encode())
        unread = selector.unread_prompt_tokens(chosen.name, parts, now)
        selector.start_request(chosen.name, [prefix], unread, now)
        sent.append((chosen.name, unread))
        if rng.random() < 0.9 and len(sent) > 8:
            name, unread = sent.pop(rng.randrange(len(sent)))
            selector.record_prompt_read(name, unread, now)
            selector.end_request(name, now, failed=rng.random() < 0.02)
        if step % 25 == 0:
            loads = {
                f"e{rng.randrange(9)}": (rng.randrange(20), rng.randrange(9999))
                for _ in range(4)
            }
            selector.record_peer_loads(f"i{rng.randrange(3)}", loads, now)
    context.digest = digest.hexdigest()[:16]


@then('its decisions have the digest "{digest}"')
def then_digest(context, digest):
    assert context.digest == digest, context.digest


def tell_hint(rng, events, kind):
    if kind == "none":
        return 0
    factor = {
        "right": rng.uniform(0.9, 1.1),
        "right at the median": rng.lognormvariate(0.0, 0.5),
        "wrong": rng.lognormvariate(2.0, 2.0),
    }[kind]
    return max(1, round(4 * events * factor))


@given(
    "answers of 5 to 200 events whose maximum is {maximum} and whose hint is "
    "{hint}"
)
def given_answers(context, maximum, hint):
    rng = random.Random(3)
    context.answers = []
    for _ in range(600):
        events = round(5 * 40 ** rng.random())
        told = 400 if maximum == "constant" else round(8 * events)
        context.answers.append((told, tell_hint(rng, events, hint), events))


@then("the mean error of the estimate is at most {share:g} of that of the mean")
def then_error(context, share):
    lengths = AnswerLengths()
    error = mean_error = mean = 0.0
    for number, (told, hint, events) in enumerate(context.answers, 1):
        estimate = lengths.estimate("r", told, hint)
        if number > 50:
            error += abs(estimate.events - events)
            mean_error += abs(mean - events)
        mean += (events - mean) / number
        lengths.record("r", told, hint, events)
    assert error <= share * mean_error, (error, mean_error)


@when('a request has the length hint "{text}"')
def when_hint(context, text):
    headers = [(b"Request-Id", b"1"), (b"Length-Hint", text.encode())]
    context.req = PlatformProtocol().decode_request("POST", b"/", headers)


@then("its hint is {hint:d} tokens")
def then_hint(context, hint):
    assert context.req.tokens_hint == hint


@when("answers of {count:d} routes are recorded")
def when_routes(context, count):
    context.lengths = AnswerLengths()
    for number in range(count):
        for _ in range(2):
            context.lengths.record(f"r{number}", 0, 0, 7)


@then("at most {count:d} routes are held, the newest among them")
def then_bounded(context, count):
    assert len(context.lengths) <= count
    assert round(context.lengths.estimate("r1999", 0, 0).events) == 7
    assert context.lengths.estimate("r0", 0, 0).events == 0.0


@given(
    "a pool of {count:d} engines of speeds 0.6, 1 and 1.6 in turn at {load:g} "
    "of capacity"
)
def given_pool(context, count, load):
    context.model = QueueModel("learned", 1, count, load, SEED)


@when("one instance sends requests for {seconds:d} s by learned cost")
def when_sent(context, seconds):
    context.model.play(seconds)
    context.now = float(seconds)
    context.learned = context.model.instances[0].selector.learned


@then("it knows the time to read a token to within a fifth")
def then_read(context):
    read_s = context.learned.speed("llm").read_s
    assert 0.8 < read_s * TOKENS_PER_S < 1.2, read_s


@then(
    "it knows the speed of each engine relative to the others to within a third"
)
def then_speeds(context):
    for engine in context.model.engines:
        slowness = context.learned.slowness(
            engine.upstream.identity, context.now
        )
        assert 0.66 < slowness * engine.speed < 1.5, (engine.speed, slowness)


@given("engines {one} and {two} of a pool that is measured")
def given_measured(context, one, two):
    context.learned = LearnedEngines()
    context.selector = EngineSelector(context.learned)
    context.engines = {n: make_upstream(n, "llm") for n in (one, two, "other")}
    context.rng = random.Random(1)
    context.now = 0.0
    for _ in range(60):
        for engine in context.engines.values():
            send(context, engine, context.rng.randrange(500, 20_000), 1.0)
        context.now += 0.05


def send(context, engine, tokens, slowness):
    """Sends a request that takes the time of its tokens, times `slowness`."""
    stream = context.learned.start(
        engine, tokens, make_cost(tokens), context.now
    )
    took_s = slowness * (0.02 + tokens / TOKENS_PER_S)
    context.learned.record_events(stream, 1, context.now + took_s)
    context.learned.end(stream, context.now + took_s, complete=False)


@when(
    "dear gets requests of {times:d} times the tokens and slow takes "
    "{factor:d} times as long for {seconds:d} s"
)
def when_dear_and_slow(context, times, factor, seconds):
    for _ in range(10 * seconds):
        send(context, context.engines["dear"], times * 2000, 1.0)
        send(context, context.engines["slow"], 2000, float(factor))
        context.now += 0.1


@then("{name} counts as less than {bound:g} times as slow as the pool")
def then_less_slow(context, name, bound):
    identity = context.engines[name].identity
    slowness = context.learned.slowness(identity, context.now)
    assert slowness < bound, slowness


@then("{name} counts as more than {bound:g} times as slow as the pool")
def then_more_slow(context, name, bound):
    identity = context.engines[name].identity
    slowness = context.learned.slowness(identity, context.now)
    assert slowness > bound, slowness


@then(
    "after {seconds:d} s without answers {name} is less than {bound:g} times "
    "as slow as it"
)
def then_recovers(context, seconds, name, bound):
    context.now += seconds
    then_less_slow(context, name, bound)


@then("a prefix is fetched from dear, but not from slow")
def then_sources(context):
    for name, is_source in (("dear", True), ("slow", False)):
        engines = [context.engines[n] for n in (name, "other")]
        # Its cached part is known, since the request was sent there.
        context.selector.start_request(name, ["p"], 0, context.now)
        source = context.selector.prefix_source(
            engines,
            context.engines["other"],
            subject="p",
            parts=[("p", 13_300), ("own", 100)],
            now=context.now,
        )
        assert (source is engines[0]) is is_source, (name, source)


@given("engines full and roomy of {tokens:d} tokens of memory each")
def given_memory(context, tokens):
    context.memory = tokens
    context.engines = [make_upstream(n, "llm") for n in ("full", "roomy")]


@when(
    "full runs {few:d} requests of {large:d} tokens and roomy {many:d} of "
    "{small:d}"
)
def when_running(context, few, large, many, small):
    context.running = [(few, large), (many, small)]


def choose_by_memory(context, tokens):
    learned = LearnedEngines()
    selector = EngineSelector(learned)
    for engine, (count, size) in zip(
        context.engines, context.running, strict=True
    ):
        for _ in range(count):
            learned.start(engine, 0, make_cost(size), 0.0)
    return selector.choose(
        context.engines,
        subject="p",
        parts=[("own", tokens)],
        inputs={},
        tokens_per_s=TOKENS_PER_S,
        now=0.1,
        cost=make_cost(tokens, cache_tokens=context.memory),
    ).name


@then("a request of {tokens:d} tokens goes to {name}")
def then_goes(context, tokens, name):
    context.tokens = tokens
    assert choose_by_memory(context, tokens) == name


@then("with {memory:d} tokens of memory each it goes to {name}")
def then_goes_with(context, memory, name):
    context.memory = memory
    assert choose_by_memory(context, context.tokens) == name


@given("an instance with requests at {count:d} engines")
def given_requests(context, count):
    context.learned = LearnedEngines()
    for number in range(count):
        engine = make_upstream(f"e{number}", "llm")
        tokens = 50_000 if number < 3 else 500
        context.learned.start(engine, tokens, make_cost(tokens), 0.0)


@when("it sends {count:d} messages of at most {most:d} engines")
def when_messages(context, count, most):
    context.messages = [context.learned.list_loads(0.1) for _ in range(count)]
    assert max(map(len, context.messages)) <= most


@then("every engine is in one of them, those with the most work in each")
def then_told(context):
    told = set().union(*context.messages)
    assert len(told) == 30, told
    assert all({"e0", "e1", "e2"} <= set(m) for m in context.messages)


@given("an instance that heard of {tokens:d} unread tokens at engine a")
def given_heard(context, tokens):
    context.learned = LearnedEngines()
    context.learned.record_peer("two", {"a": (1, tokens, 0.0, 0.0)}, 0.0)


def extra_s(context, now):
    totals = context.learned.totals("llm", now)
    one, two = (
        context.learned.first_event_s(
            make_upstream(name, "llm"), 100, make_cost(100), totals, now
        )
        for name in "ab"
    )
    return one - two


@then(
    "a costs {at_once:g} s more than b at once, and less than {later:g} s more "
    "{seconds:g} s later"
)
def then_ages(context, at_once, later, seconds):
    assert extra_s(context, 0.0) >= at_once
    assert 0.0 <= extra_s(context, seconds) < later


@then("the news of an instance that tells of no requests replaces it")
def then_replaced(context):
    context.learned.record_peer("two", {}, 0.1)
    assert extra_s(context, 0.1) == 0.0


@given(
    "engines are chosen by {choice} cost, and a has {a:d} and b {b:d} tokens "
    "to read"
)
def given_unread(context, choice, a, b):
    context.world.settings["choice"] = choice

    def prepare():
        state = context.world.instances["one"].state
        learned = state.engines.learned
        if learned is None:
            return
        for _ in range(200):
            learned.speed("engines").record_first_event(1000, 0, 0.05)
        for name, tokens in (("a", a), ("b", b)):
            engine = make_upstream(name, "engines")
            learned.start(
                engine, tokens, make_cost(tokens, "engines"), state.clock()
            )

    context.preparations.append(prepare)


@given("{count:d} engines and requests for {load:g} of their capacity")
def given_engines(context, count, load):
    context.play = lambda choice, instances, seconds: QueueModel(
        choice, instances, count, load, SEED, SLOW
    ).play(seconds)


@when("{instances:d} instances choose engines for {seconds:d} s")
def when_choose(context, instances, seconds):
    context.model = context.play("learned", instances, seconds)
    context.compare = lambda choice: context.play(
        choice, instances, seconds
    ).high_quantile(0.95, SINCE)


@then(
    "the 95th percentile of the first event is below that of the fixed choice"
)
def then_below(context):
    found, fixed = (
        context.model.high_quantile(0.95, SINCE),
        context.compare("fixed"),
    )
    assert found < fixed, (found, fixed)


@then(
    "the 95th percentile is at most {bound:g} times that of perfect knowledge"
)
def then_near(context, bound):
    found = context.model.high_quantile(0.95, SINCE)
    perfect = context.compare("perfect")
    assert found <= bound * perfect, (found, perfect)


def share(model, since, until):
    """Returns the share of the requests that the slowed engine got."""
    engines = [
        engine
        for sent_at, _, engine in model.first_events
        if since <= sent_at < until
    ]
    return engines.count(model.engines[1]) / len(engines)


@then(
    "from {seconds:d} s after it slowed its share is at most that of its speed"
)
def then_fewer(context, seconds):
    since, until, factor = SLOW
    model = context.model
    fair = model.engines[1].speed / factor / sum(e.speed for e in model.engines)
    found = share(model, since + seconds, until)
    assert found <= fair, (found, fair)


@then(
    "it gets at least half of its share from {seconds:d} s after it recovered"
)
def then_again(context, seconds):
    before = share(context.model, SINCE, SLOW[0])
    found = share(context.model, SLOW[1] + seconds, 20.0)
    assert found >= before / 2, (found, before)
