"""Steps about the default policy under load and faults, in virtual time."""

import functools
import pathlib

import anyio
from behave import then, when

from bench.run import Case, run_case
from bench.site import load_sites
from bench.targets import attainment, count_violations, wasted_share
from features.fixtures.virtual import run_virtual
from standins.fleet import ENTRY_PORT, VirtualFleet


@functools.cache
def run_once(site, scenario, seed, duration):
    """Runs a case once for all scenarios that examine it."""
    return run_case(Case(site, scenario, "ours", seed, duration))


@when(
    'the "{site}" fleet runs "{scenario}" with seed {seed:d}'
    " for {duration:d} seconds"
)
def when_run(context, site, scenario, seed, duration):
    context.site = load_sites()[site]
    context.run = run_once(site, scenario, seed, duration)
    assert context.run["offered"] > 0


@then("at least {percent:d}% of the requests are answered in time")
def then_answered(context, percent):
    run = context.run
    assert run["in_time"] >= run["offered"] * percent / 100, run["outcomes"]


@then("pipelines without the burst stage have at least {percent:d}% in time")
def then_avoiding(context, percent):
    names = context.site.rates.keys() - set(context.site.burst_pipelines)
    value = attainment([context.run], "by_pipeline", names)
    assert value >= percent / 100, (value, context.run["outcomes"])


@then("small accounts have at least {percent:d}% of requests answered in time")
def then_small(context, percent):
    value = attainment([context.run], "by_account", context.site.small_accounts)
    assert value >= percent / 100, (value, context.run["outcomes"])


@then("every payment of a small account is answered in time")
def then_small_payments(context):
    outcomes = context.run["small_outcomes"]
    assert outcomes["in time"] > 0
    assert not any(name.startswith("payment") for name in outcomes), outcomes


@then("added attempts are at most {percent:d}% of the calls")
def then_added(context, percent):
    run = context.run
    assert run["added"] <= run["calls"] * percent / 100, run["added"]


@then("at most {percent:d}% of the generation cost is spent on late responses")
def then_wasted(context, percent):
    assert context.run["tokens"]["all"] > 0
    assert wasted_share([context.run]) <= percent / 100, context.run["tokens"]


@then("at least 1 attempt was added")
def then_some_added(context):
    assert context.run["added"] >= 1


@then(
    'less than half an even share of the later calls to "{pool}" reach its'
    " dead engine"
)
def then_dead_calls(context, pool):
    calls = context.run["late_calls"]
    granted, failed = calls[f"{pool} granted"], calls[f"{pool} failed"]
    upstream_count = len(context.site.fleet.pools[pool].upstreams)
    assert granted > 0
    assert failed < granted / upstream_count / 2, (granted, failed)


@then('at most {percent:d}% of the later calls to "{pool}" fail')
def then_late_failures(context, percent, pool):
    calls = context.run["late_calls"]
    granted, failed = calls[f"{pool} granted"], calls[f"{pool} failed"]
    assert granted > 0
    assert failed <= granted * percent / 100, (granted, failed)


@then("no invariant is violated")
def then_invariants(context):
    assert count_violations([context.run]) == 0, context.run["violations"]


@when("a fleet is created whose encoder has the address of an entry instance")
def when_collision(context):
    text = pathlib.Path("examples/obalne.toml").read_text()
    document = text.replace("127.0.0.1:21001", f"127.0.0.1:{ENTRY_PORT + 1}")
    context.error = ""

    async def make():
        async with anyio.create_task_group() as tasks:
            try:
                VirtualFleet(tasks, document)
            except ValueError as exc:
                context.error = str(exc)

    run_virtual(make)


@then('the creation fails with "{text}"')
def then_fails(context, text):
    assert text in context.error, context.error
