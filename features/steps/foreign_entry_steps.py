"""Steps about registry entries that other writers have written."""

import anyio
from behave import given, then, when

from applespring.relay.upstream_messages import (
    NOT_KNOWN,
    decode_upstreams,
    encode_upstream,
)
from features.fixtures.relay import make_upstream
from features.steps.relay_staging_steps import run_instances, send


def list_upstream(context, pool, **fields):
    """Lists an upstream that nothing has checked."""
    world = context.world
    # The first by name is chosen among equal ones.
    world.add_upstream("a-foreign", pool)
    world.listed["a-foreign"] = make_upstream(
        "a-foreign", pool, revision=world.revision, **fields
    )


@given("an upstream of pool {pool} at the address {address}")
def given_address(context, pool, address):
    list_upstream(context, pool, address=address)


@when(
    "an upstream with {slots:d} slots is listed while instance {name} can't "
    "read the registry, and a caller sends each a staged request"
)
def when_unreachable(context, slots, name):
    async def actions(tasks):
        context.world.registries[name].unreachable = True
        await anyio.sleep(0.5)
        list_upstream(context, "stage", slots=slots, address="10.0.0.1:80")
        await anyio.sleep(2.0)
        for n, instance in enumerate(context.names):
            send(context, tasks, instance, f"r{n}", "1,1")

    run_instances(context, actions)


@given("the entries of a peer at the addresses {addresses}")
def given_entries(context, addresses):
    context.entries = [
        encode_upstream(
            make_upstream(f"u{n}", "stage", address=address), NOT_KNOWN
        )
        for n, address in enumerate(addresses.split(", "))
    ]


@then("they name the upstreams at {addresses}")
def then_upstreams(context, addresses):
    read = decode_upstreams(context.entries, "two")
    assert [u.address for u in read] == addresses.split(", ")
