"""Steps about requests in the ledgers of crashes."""

import random

from behave import given, then, when

from applespring.core.crash_culprits import request_candidate
from applespring.core.crash_ledger import CrashLedger
from features.fixtures.ledger_fleet import broken_request
from features.steps.crash_ledger_steps import crash_series

DEADLY = request_candidate("deadly")
HOT = request_candidate("hot")
# Time in which a plain upstream runs a request.
RUN_S = 0.045


@when(
    "{count:d} upstreams crash {gap:g} s apart on one request, each seen by "
    "another instance"
)
def when_crash_request(context, count, gap):
    crash_series(context.fleet, count, gap, lambda _: [DEADLY])


@when("{count:d} instances are cut off")
def when_cut(context, count):
    context.fleet.cut_off = context.fleet.ledgers[-count:]


@when("the cut heals")
def when_healed(context):
    context.fleet.cut_off = []


@when("two upstreams crash one after the other on the same {count:d} requests")
def when_together(context, count):
    fleet = context.fleet
    context.together = [request_candidate(f"r{n}") for n in range(count)]
    for number in range(2):
        fleet.advance(0.1)
        evidence = [
            broken_request(fleet.ledgers[0], [name], fleet.now - 0.05)
            for name in context.together
        ]
        fleet.ledgers[0].record_crash((f"p{number}", 1), evidence, fleet.now)
        fleet.tell_all(fleet.ledgers[0])
    fleet.advance(1.0)


@when("all of them but the first one are answered")
def when_others_answered(context):
    fleet = context.fleet
    for name in context.together[1:]:
        fleet.ledgers[0].record_answer([name], fleet.now)
    fleet.tell_all(fleet.ledgers[0])
    fleet.advance(2.0)


@when("{count:d} further upstreams crash on requests that come once")
def when_flood(context, count):
    fleet = context.fleet
    for number in range(count):
        fleet.now += 0.5
        ledger = fleet.ledgers[number % len(fleet.ledgers)]
        names = [fleet.make_request() for _ in range(40)]
        evidence = [broken_request(ledger, [n], fleet.now) for n in names]
        ledger.record_crash((f"f{number}", 1), evidence, fleet.now)
        fleet.tell_all(ledger)


@when("trials of it are asked for every second for {seconds:d} s, and fail")
def when_trials_fail(context, seconds):
    fleet = context.fleet
    decider = fleet.ledgers[0]
    for _ in range(seconds):
        fleet.advance(1.0)
        if decider.start_trial(DEADLY, fleet.now):
            fleet.tell_all(decider)
            fleet.advance(0.3)
            fleet.crash([DEADLY])


@then("every instance holds the request and nothing else")
def then_held(context):
    for ledger in context.fleet.ledgers:
        assert set(ledger.quarantined) == {DEADLY}, set(ledger.quarantined)


@then("every instance holds the first of them and nothing else")
def then_first_held(context):
    for ledger in context.fleet.ledgers:
        held = set(ledger.quarantined)
        assert held == {context.together[0]}, held


@then("at most {count:d} upstreams have ended under it")
def then_few_ended(context, count):
    assert context.fleet.crashes <= count, context.fleet.crashes


@given(
    "requests, {rate:d} a second, {share:g} of them the same, at {upstreams:d} "
    "upstreams for {seconds:d} s"
)
def given_hot(context, rate, share, upstreams, seconds):
    context.hot = (rate, share, upstreams, seconds)


@when("{down:d} of them {fate} every {every:g} s, in {runs:d} runs")
def when_ordinary(context, down, fate, every, runs):
    context.refused = 0
    for seed in range(runs):
        rng = random.Random(f"hot {seed}")
        context.refused += play_hot_key(
            rng, *context.hot, down, every, fate == "lose power at once"
        )


def play_hot_key(rng, rate, share, upstreams, seconds, down, every, at_once):
    """Plays sound requests beside crashes; returns the refused ones.

    A request that breaks off is sent to another upstream at once. Upstreams
    that do not lose power at once end up to 0.15 s apart.
    """
    ledger = CrashLedger()
    running, ends = [], []
    now, refused, starts, number = 0.0, 0, 0, 0
    next_wave_at, step_s = every, 0.005

    def send(name, tried):
        choices = [
            u
            for u in range(upstreams)
            if u not in tried and u not in down_until
        ]
        if choices:
            evidence = broken_request(ledger, [name], now)
            running.append((now + RUN_S, name, rng.choice(choices), evidence))

    down_until = {}
    while now < seconds:
        now += step_s
        down_until = {u: at for u, at in down_until.items() if at > now}
        for entry in [r for r in running if r[0] <= now]:
            running.remove(entry)
            ledger.record_answer([entry[1]], now)
        if now >= next_wave_at:
            next_wave_at += every
            gap_s = 0.0 if at_once else 0.15 / down
            chosen = rng.sample(range(upstreams), down)
            ends += [(now + n * gap_s, u) for n, u in enumerate(chosen)]
        due = [e for e in ends if e[0] <= now]
        for _, upstream in due:
            down_until[upstream] = now + 3.0
        for at, upstream in due:
            ends.remove((at, upstream))
            starts += 1
            broken = [r for r in running if r[2] == upstream]
            running[:] = [r for r in running if r[2] != upstream]
            ledger.record_crash(
                (str(upstream), starts), [r[3] for r in broken], now
            )
            for entry in broken:
                send(entry[1], {upstream})
        if rng.random() < rate * step_s:
            number += 1
            name = HOT
            if rng.random() >= share:
                name = request_candidate(f"once{number}")
            if ledger.find_quarantines([name]):
                refused += 1
            else:
                send(name, set())
    return refused


@then("no request is refused")
def then_none_refused(context):
    assert context.refused == 0, context.refused
