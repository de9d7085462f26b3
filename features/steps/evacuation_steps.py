"""Steps about evacuated failure domains."""

import json
from contextlib import ExitStack
from unittest import mock

import anyio
from behave import given, then, when

from applespring.core.era import join_era
from applespring.core.evacuations import EvacuationTable
from applespring.relay.state import RelayState
from features.fixtures.crash_world import make_rng
from features.fixtures.evacuation_fleet import EvacuationFleet
from features.fixtures.evacuation_world import EvacuationWorld
from features.fixtures.virtual import run_virtual
from features.steps.relay_crash_steps import run_in_world
from features.steps.relay_notice_steps import send

RATES = {"staged": 4, "staged-resume": 4, "stream": 20, "resume": 20}
PLAIN_RATE = 60
# Time in which the last requests end.
END_S = 3.0


@when("these updates of the orders arrive: {updates}")
def when_updates(context, updates):
    table, now, era = EvacuationTable(), 0.0, 0
    for text in updates.split(";"):
        kind, number, *names = text.split()
        if kind == "wait":
            now += float(number)
            table.settle(now)
            continue
        era += kind == "era"
        revision = join_era(era, int(number))
        orders = []
        for name in names:
            domain, _, at = name.removeprefix("-").partition("@")
            at = join_era(era, int(at or number))
            orders.append((domain, not name.startswith("-"), at))
        if kind == "watch":
            table.apply(orders, revision)
        else:
            held = {domain: at for domain, _, at in orders}
            table.replace(held, revision, now)
    context.orders = table


@then("the evacuated domains are {domains}")
def then_domains(context, domains):
    expected = () if domains == "none" else tuple(domains.split())
    assert context.orders.domains == expected, context.orders.domains


@when("{count:d} orders arrive, the first of them for {domain}")
def when_many(context, count, domain):
    orders = {domain: 1} | {f"z{n}": 2 + n for n in range(count - 1)}
    context.orders = EvacuationTable()
    context.orders.replace(orders, count + 2, 0.0, {domain})


@then("at most {count:d} domains are evacuated, {domain} among them")
def then_bounded(context, count, domain):
    assert len(context.orders.domains) <= count, len(context.orders.domains)
    assert context.orders.covers(domain)


@given("{instances:d} instances in three failure domains")
def given_world(context, instances):
    context.world = EvacuationWorld()
    context.instance_count = instances
    context.rng = make_rng(7)


def play(context, events, seconds, route="safe"):
    """Sends requests while `events` happen, each a time and a function."""

    async def scenario(world):
        context.started_at = anyio.current_time()
        rate = RATES.get(route, PLAIN_RATE)
        async with anyio.create_task_group() as callers:
            callers.start_soon(run_events, world, context.started_at, events)
            for number in range(int(rate * seconds)):
                await send(context, callers, f"r{number}", route)
                await anyio.sleep(1 / rate)
        await anyio.sleep(END_S)

    run_in_world(context, scenario)


async def run_events(world, started_at, events):
    for at, act in events:
        await anyio.sleep(max(0.0, started_at + at - anyio.current_time()))
        result = act(world)
        if result is not None:
            await result


@when(
    "{domain} is evacuated at {begin:g} s and taken back at {end:g} s while "
    "requests come on the route {route} for {seconds:g} s"
)
def when_evacuated(context, domain, begin, end, route, seconds):
    context.domain = domain
    play(
        context,
        [
            (begin, lambda world: world.evacuate(domain)),
            (end, lambda world: world.take_back(domain)),
        ],
        seconds,
        route,
    )


@then(
    "nothing reaches an evacuated domain later than {bound:g} s after its order"
)
def then_none_late(context, bound):
    late = context.world.find_evacuated(bound)
    assert not late, (len(late), late[:3])
    assert context.world.orders


@then("{domain} gets work again within {seconds:g} s")
def then_used_again(context, domain, seconds):
    world = context.world
    ended_at = world.orders[-1].ended_at
    count = world.count_in(domain, ended_at)
    count -= world.count_in(domain, ended_at + seconds)
    assert count, "no call reached it"


@then("{domain} gets work all the time")
def then_used(context, domain):
    world = context.world
    for second in range(1, 6):
        at = context.started_at + second
        count = world.count_in(domain, at) - world.count_in(domain, at + 1)
        assert count, second


def reach(world, names, reachable):
    for name in names:
        world.registries[name].unreachable = not reachable


def slow_down(world):
    world.answer_delay_s = 0.5


async def restart(world, names):
    """Kills instances and starts them again."""
    first = next(iter(world.instances))
    for name in names:
        world.kill(name)
    await anyio.sleep(0.3)
    for name in names:
        seeds = [n for n in world.instances if n != name][:2]
        await world.start(name, world.tasks, seeds=seeds or [first])


@when(
    "{domain} is evacuated at {begin:g} s and taken back at {end:g} s while "
    "the store {event}"
)
def when_trouble(context, domain, begin, end, event):
    names = [f"i{n}" for n in range(context.instance_count)]
    copies = []
    events = [
        (begin, lambda world: world.evacuate(domain)),
        (end, lambda world: world.take_back(domain)),
    ]

    def copy(world):
        copies.append(world.store.copy())

    def restore(world):
        lost = world.store.restore(copies[0])
        world.lost = (copies[0], lost)

    def write_again(world):
        world.store.write_again(*world.lost)

    if event.startswith("turns"):
        away = {
            "turns i0 and i3 away": (["i0", "i3"], 1.0),
            "turns all but i1 away": ([n for n in names if n != "i1"], 1.0),
            "turns all away after the order": (names, begin + 1.0),
            "turns i0 away before and i1 starts again": (["i0"], 1.0),
        }[event]
        events.append((away[1], lambda world: reach(world, away[0], False)))
        events.append((end + 3.0, lambda world: reach(world, away[0], True)))
        if event.endswith("starts again"):
            events.append((begin + 1.0, lambda world: restart(world, ["i1"])))
    elif event.startswith("answers after"):
        events.append((0.5, slow_down))
    elif event == "forgets its history":
        events += [
            (at, lambda world: world.store.discard_history())
            for at in (begin, begin + 0.01, begin + 1.5, end)
        ]
    elif event.startswith("comes back"):
        copied_at = begin - 0.5 if "without" in event else begin + 1.0
        back_at = begin + 2.0 if "without" in event else end + 1.0
        events += [
            (copied_at, copy),
            (back_at, restore),
            (back_at + 1.8, write_again),
        ]
    events.sort(key=lambda pair: pair[0])
    play(context, events, end + 4.0)
    context.domains = context.world.evacuated_by()


@then("no domain is evacuated any more")
def then_ended(context):
    held = {n: d for n, d in context.domains.items() if d}
    assert not held, held


@when("{domain} is evacuated, and then {event}")
def when_started(context, domain, event):
    async def start(world):
        if event.startswith("all"):
            await restart(world, sorted(world.instances))
            return
        await world.start(
            "i7",
            world.tasks,
            seeds=["i0"],
            registry_unreachable=event.endswith("without the store"),
        )

    play(
        context,
        [(1.0, lambda world: world.evacuate(domain)), (4.0, start)],
        8.0,
    )
    # Callers whose instance was killed have no answer.
    replies = context.world.replies
    if event.startswith("all"):
        context.world.replies = {
            r: reply for r, reply in replies.items() if reply.status == 200
        }
        assert len(context.world.replies) > 0.8 * len(replies)


@when(
    "{domain} is evacuated, {name} is cut off from {begin:g} s on and back at "
    "{end:g} s, and the order ends at {taken_back:g} s"
)
def when_cut_off(context, domain, name, begin, end, taken_back):
    def cut(world):
        reach(world, [name], False)
        world.network.cut([name], world.instances)

    def heal(world):
        reach(world, [name], True)
        world.network.heal()

    play(
        context,
        [
            (1.0, lambda world: world.evacuate(domain)),
            (begin, cut),
            (taken_back, lambda world: world.take_back(domain)),
            (end, heal),
        ],
        end + 3.0,
    )
    context.domains = context.world.evacuated_by()
    context.back_at = context.started_at + end


@when(
    "{domain} is evacuated, {name} has neither store nor peers from {begin:g} "
    "s on, the order ends at {taken_back:g} s, all others start again at "
    "{again:g} s and {same} reaches them at {end:g} s"
)
def when_forgotten(context, domain, name, begin, taken_back, again, same, end):
    del same

    def cut(world):
        reach(world, [name], False)
        world.network.cut([name], world.instances)

    def restart_others(world):
        return restart(world, [n for n in world.instances if n != name])

    play(
        context,
        [
            (1.0, lambda world: world.evacuate(domain)),
            (begin, cut),
            (taken_back, lambda world: world.take_back(domain)),
            (again, restart_others),
            (end, lambda world: world.network.heal()),
        ],
        end + 3.0,
    )
    context.domains = context.world.evacuated_by()
    assert context.world.registries[name].unreachable


@then("{name} sends nothing to {domain} until it is back")
def then_kept(context, name, domain):
    world, order = context.world, context.world.orders[0]
    sent = [
        d.at
        for d in world.deliveries
        if d.instance == name
        and world.listed[d.start[0]].failure_domain == domain
        and order.begun_at + 1.0 < d.at < context.back_at
    ]
    assert not sent, sent[:3]


@when(
    "{domains} are evacuated and {count:d} requests follow on the route "
    "{route}, with upstreams of {pool} nowhere else"
)
def when_all(context, domains, count, route, pool):
    domains = domains.split()
    world = context.world
    for name, upstream in list(world.listed.items()):
        if upstream.pool == pool and upstream.failure_domain not in domains:
            del world.listed[name]

    async def scenario(world):
        for domain in domains:
            world.evacuate(domain)
        await anyio.sleep(1.0)
        context.asked_at = anyio.current_time()
        async with anyio.create_task_group() as callers:
            for number in range(count):
                await send(context, callers, f"r{number}", route)

    run_in_world(context, scenario)


def check_refused(replies, until):
    for reply in replies:
        assert reply.status == 503, (reply.status, reply.body)
        assert json.loads(reply.body)["verdict"] == "not_run", reply.body
        assert reply.ended_at <= until, (reply.ended_at, until)
        assert b"retry-after" not in reply.headers, reply.headers


@then("these are refused within {ms:d} ms as not run, without a Retry-After")
def then_refused(context, ms):
    replies = context.world.replies.values()
    check_refused(replies, context.asked_at + ms / 1000)
    assert len(replies) == 20


@then("nothing reaches an upstream for them")
def then_nothing(context):
    reached = [
        d.target
        for d in context.world.deliveries
        if d.at >= context.asked_at and d.target != "/report"
    ]
    assert not reached, reached


@when("staged requests wait for upstreams in {domain} and {again} is evacuated")
def when_waiting(context, domain, again):
    world = context.world
    for name, upstream in list(world.listed.items()):
        if upstream.pool == "stage" and upstream.failure_domain != domain:
            del world.listed[name]

    async def scenario(world):
        async with anyio.create_task_group() as callers:
            for number in range(30):
                await send(context, callers, f"r{number}", "staged", "i0")
            await anyio.sleep(0.02)
            world.evacuate(again)

    run_in_world(context, scenario)


@then("those that wait are refused within {seconds:g} s of it as not run")
def then_waiting_refused(context, seconds):
    world = context.world
    begun_at = world.orders[0].begun_at
    refused = [
        reply
        for reply in world.replies.values()
        if reply.status != 200 and reply.ended_at > begun_at
    ]
    assert refused
    check_refused(refused, begun_at + seconds)


@when("{count:d} streams begin and {domain} is evacuated {after:g} s later")
def when_under_way(context, count, domain, after):
    async def scenario(world):
        async with anyio.create_task_group() as callers:
            for number in range(count):
                await send(context, callers, f"r{number}", "stream")
            await anyio.sleep(after)
            world.evacuate(domain)

    run_in_world(context, scenario)


def _list_ready(state, pool, regions=None):
    assert regions is None
    return state.catalog.ready(pool)


def _return_false(*_):
    return False


@when("the same requests are sent with and without the table of orders")
def when_compared(context):
    context.deliveries = []
    for has_table in (True, False):
        given_world(context, 3)
        with ExitStack() as patches:
            if not has_table:
                for name, former in (
                    ("_ready_in", _list_ready),
                    ("is_evacuated", _return_false),
                    ("is_pool_evacuated", _return_false),
                ):
                    patches.enter_context(
                        mock.patch.object(RelayState, name, former)
                    )
            for route in ("safe", "staged-resume"):
                play(context, [], 4.0, route)
        context.deliveries.append(
            [
                (d.instance, d.start, d.at, d.target, d.body)
                for d in context.world.deliveries
            ]
        )


@then("each reaches the same upstream at the same time")
def then_same(context):
    first, second = context.deliveries
    assert len(first) > 200, len(first)
    assert first == second


@given(
    "{count:d} instances of which the store answers {in_touch:d}, with "
    "{loss:g} of all datagrams lost"
)
def given_fleet(context, count, in_touch, loss):
    context.fleet_options = (count, in_touch, loss)


@when("{domain} is evacuated and taken back {seconds:g} s later")
def when_spread(context, domain, seconds):
    count, in_touch, loss = context.fleet_options
    context.counts = []

    async def run():
        fleet = EvacuationFleet(count, seed=1)
        fleet.network.loss = loss
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            fleet.turn_away(in_touch)
            await anyio.sleep(1.0)
            for in_force in (True, False):
                fleet.write(domain, in_force, tasks)
                await anyio.sleep(seconds)
                context.counts.append(fleet.count_evacuated(domain))
            tasks.cancel_scope.cancel()

    run_virtual(run)
    context.count = count


@then("all instances know of each within 2 s")
def then_spread(context):
    assert context.counts == [context.count, 0], context.counts
