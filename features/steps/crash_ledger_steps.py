"""Steps about the ledgers of engine crashes."""

import random

from behave import given, then, when

from applespring.core.crash_ledger import CrashLedger
from features.fixtures.ledger_fleet import (
    LedgerFleet,
    broken_request,
    bystanders,
)

# Time from a request to the end of its first event, and the share of requests
# that go to the home engine of their subject.
WAIT_S = (0.2, 0.6)
HOME_SHARE = 0.8
RUNS = 20


@given("the crash ledgers of {size:d} instances")
def given_fleet(context, size):
    context.fleet = LedgerFleet(size)
    context.granted = 0


@given("all instances have seen the part {part} answered")
def given_answered(context, part):
    for ledger in context.fleet.ledgers:
        ledger.record_answer([part], 0.0)


@given("the part {part} was answered before at one instance")
def given_answered_at_one(context, part):
    context.fleet.ledgers[-1].record_answer([part], 0.0)


def crash_series(fleet, count, gap_s, make_prompt):
    for number in range(count):
        fleet.advance(gap_s)
        ledger = fleet.ledgers[number % len(fleet.ledgers)]
        fleet.crash(make_prompt(number), ledger)
    fleet.last_crash_at = fleet.now


@when(
    "{count:d} engines crash {gap:g} s apart on the part {part}, each seen by "
    "another instance"
)
def when_crash_part(context, count, gap, part):
    rng = context.fleet.rng
    crash_series(
        context.fleet,
        count,
        gap,
        lambda _: [f"first{rng.randrange(4)}", part],
    )


@when("{count:d} engines crash {gap:g} s apart on a prompt of {prompt}")
def when_crash_prompt(context, count, gap, prompt):
    crash_series(context.fleet, count, gap, lambda _: prompt.split(", "))
    context.fleet.advance(2.0)


@when(
    "{count:d} engines crash {gap:g} s apart, in turn on the parts {one} and "
    "{other}"
)
def when_crash_two(context, count, gap, one, other):
    parts = [one, other]
    crash_series(
        context.fleet, count, gap, lambda n: [f"c{n % 2}", parts[n % 2]]
    )
    context.fleet.advance(2.0)


@when(
    "{count:d} engines crash {gap:g} s apart, each under {some:d} of {total:d} "
    "parts, and nothing is answered"
)
def when_all_fail(context, count, gap, some, total):
    fleet = context.fleet
    for number in range(count):
        fleet.now += gap
        prompts = [[f"p{fleet.rng.randrange(total)}"] for _ in range(some)]
        ledger = fleet.ledgers[0]
        now = fleet.now
        broken = [broken_request(ledger, prompt, now) for prompt in prompts]
        ledger.record_crash((f"e{number}", 1), broken, now)


@then("{parts:d} parts are in quarantine and {count:d} crashes are remembered")
def then_bounded(context, parts, count):
    ledger = context.fleet.ledgers[0]
    assert len(ledger.quarantined) == parts, len(ledger.quarantined)
    held = ledger.select_crashes(
        context.fleet.now, count_max=1000, age_max_s=1000.0
    )
    assert len(held) == count, len(held)


@when("the exchanges of {seconds:g} s pass")
def when_pass(context, seconds):
    context.fleet.advance(seconds)


@when("an instance starts")
def when_starts(context):
    context.fleet.ledgers.append(CrashLedger())


@when("a request with {part} is answered as a trial")
def when_answered(context, part):
    fleet = context.fleet
    fleet.advance(0.3)
    ledger = fleet.rng.choice(fleet.ledgers)
    assert ledger.record_answer([part], fleet.now)
    fleet.tell_all(ledger)


def ask_for_trial(fleet, part):
    """Returns how many trials the deciding instance grants when all ask."""
    decider = fleet.ledgers[0]
    granted = sum(decider.start_trial(part, fleet.now) for _ in fleet.ledgers)
    if granted:
        fleet.tell_all(decider)
    return granted


@when("all instances ask for a trial of {part}")
def when_ask(context, part):
    context.granted = ask_for_trial(context.fleet, part)


@when(
    "trials of {part} are asked for every second for {seconds:d} s, and each "
    "crashes an engine"
)
def when_ask_long(context, part, seconds):
    fleet = context.fleet
    for _ in range(seconds):
        fleet.advance(1.0)
        if ask_for_trial(fleet, part):
            fleet.advance(0.3)
            fleet.crash(["first", part])


@then("no trial is granted")
def then_no_trial(context):
    fleet = context.fleet
    assert not any(led.start_trial("dead", fleet.now) for led in fleet.ledgers)


@then("{count:d} trial is granted")
def then_granted(context, count):
    assert context.granted == count, context.granted


@then("at most {count:d} engines crash")
def then_crashes(context, count):
    assert context.fleet.crashes <= count, context.fleet.crashes


@then("every instance holds {parts} in quarantine and nothing else")
def then_held(context, parts):
    expected = set(parts.split(" and "))
    for ledger in context.fleet.ledgers:
        assert set(ledger.quarantined) == expected, set(ledger.quarantined)


@then("no instance holds a part in quarantine")
def then_none_held(context):
    for ledger in context.fleet.ledgers:
        assert not ledger.quarantined, set(ledger.quarantined)


@then("every instance dates the last crash within {bound:g} s")
def then_dated(context, bound):
    fleet = context.fleet
    for ledger in fleet.ledgers:
        newest = ledger.select_crashes(
            fleet.now, count_max=1, age_max_s=1000.0
        )[0]
        error_s = abs(newest.at - fleet.last_crash_at)
        assert error_s <= bound, error_s


@given("sound requests, {rate:d} a second, at {engines:d} engines for {s:d} s")
def given_sound(context, rate, engines, s):
    context.sound = (rate, engines, s)


@when("{down:d} engines crash every {every:g} s, {which}")
def when_ordinary(context, down, every, which):
    context.refused = context.total = 0
    for seed in range(RUNS):
        rng = random.Random(f"ordinary {seed}")
        refused, total = run_ordinary_day(
            rng, *context.sound, down, every, same=which == "always the same"
        )
        context.refused += refused
        context.total += total


def run_ordinary_day(rng, rate, engines, seconds, down, every, *, same):
    """Plays sound requests beside crashes; returns the refused and all."""
    ledger = CrashLedger()
    waiting, homes = [], {}
    now, refused, total, starts = 0.0, 0, 0, 0
    next_crash_at = every
    while now < seconds:
        now += 1 / rate
        for ends_at, prompt, *_ in [w for w in waiting if w[0] <= now]:
            ledger.record_answer(prompt, ends_at)
        waiting = [w for w in waiting if w[0] > now]
        prompt = bystanders(rng, 1)[0]
        total += 1
        quarantines = ledger.find_quarantines(prompt)
        if quarantines:
            refused += 1
            if not ledger.start_trial(quarantines[0].name, now):
                continue
        engine = rng.randrange(engines)
        if rng.random() < HOME_SHARE:
            engine = homes.setdefault(prompt[-1], engine)
        evidence = broken_request(ledger, prompt, now)
        waiting.append((now + rng.uniform(*WAIT_S), prompt, engine, evidence))
        if now >= next_crash_at:
            next_crash_at += every
            ended = range(down) if same else rng.sample(range(engines), down)
            for name in ended:
                starts += 1
                broken = [w for w in waiting if w[2] == name]
                waiting = [w for w in waiting if w[2] != name]
                ledger.record_crash(
                    (str(name), starts), [w[3] for w in broken], now
                )
    return refused, total


@then("at most one request in 500 meets a quarantined part in {runs:d} runs")
def then_few_refused(context, runs):
    assert runs == RUNS
    assert context.refused * 500 <= context.total, (
        context.refused,
        context.total,
    )
