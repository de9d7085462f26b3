"""Steps about registry entries that other writers have written."""

import itertools

import anyio
from behave import given, then, when
from loguru import logger

from applespring.relay.registry import EntryChange
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


@given("{count:d} malformed entries in each read of the registry")
def given_malformed(context, count):
    set_rejected(context, count, itertools.repeat(3))


@given(
    "{count:d} malformed entries with a new revision in each read of the "
    "registry"
)
def given_rewritten(context, count):
    set_rejected(context, count, itertools.count(3))


def set_rejected(context, count, revisions):
    """Has each read find malformed entries, and keeps the log lines."""

    def make_rejected():
        revision = next(revisions)
        return [
            EntryChange(f"bad-{n}", None, revision, fault="slots is -1")
            for n in range(count)
        ]

    context.world.make_rejected = make_rejected
    context.records = []
    sink = logger.add(lambda line: context.records.append(line.record))
    context.add_cleanup(logger.remove, sink)


def find_rejections(context):
    return [
        record
        for record in context.records
        if record["extra"].get("event") == "entry_unreadable"
    ]


@then(
    "{count:d} rejected entries are logged, each with its name, fault and "
    "revision"
)
def then_logged_once(context, count):
    records = find_rejections(context)
    assert len(records) == count, len(records)
    for n, record in enumerate(records):
        assert f"bad-{n}" in record["message"], record["message"]
        assert "slots is -1" in record["message"], record["message"]
        assert record["extra"]["revision"] == 3


@then(
    "at most {count:d} rejected entries are logged, and the lines say how many "
    "are not"
)
def then_bounded(context, count):
    records = find_rejections(context)
    assert 0 < len(records) <= count, len(records)
    left_out = sum(record["extra"]["left_out"] for record in records)
    assert left_out > 50 * len(records), left_out


@then("more than {count:d} rejections are counted")
def then_counted(context, count):
    metrics = context.world.instances["one"].metrics.render()
    (line,) = (
        line for line in metrics.splitlines() if '"entry_rejected"' in line
    )
    assert float(line.split()[-1]) > count, line


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
    read, rejected = decode_upstreams(context.entries)
    assert [u.address for u in read] == addresses.split(", ")
    assert [change.name for change in rejected] == ["u1"], rejected
