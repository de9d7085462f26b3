"""Steps about pieces with homes in the queue of a stage pool."""

import math

from behave import given, then, when

from applespring.core.batch import BatchQueue
from applespring.core.homes import DomainRegions
from applespring.core.piece import Piece
from applespring.core.route import BatchSpec
from features.fixtures.home_world import REGIONS
from features.fixtures.relay import make_upstream

HOMES = {
    "west": frozenset({"west"}),
    "west2": frozenset({"west"}),
    "east": frozenset({"east"}),
    "north": frozenset({"north"}),
    "none": None,
}
SPEC = BatchSpec(1, 4, 0.15, 0.032, 28e6, 4.0)


def offer(context, request, homes, count, size):
    context.queue.offer(
        [
            Piece(
                request=request,
                stage=0,
                segment=n,
                result_bytes=size,
                regions=HOMES[homes],
            )
            for n in range(count)
        ],
        0.0,
    )


@given("a queue of pieces for upstreams in {domains}")
def given_queue(context, domains):
    context.queue = BatchQueue(SPEC, DomainRegions(REGIONS))
    context.queue.set_upstreams(
        make_upstream(f"u-{d}", "stage", d) for d in domains.split(", ")
    )


@when("requests with the homes {homes} offer 1 piece each")
def when_offered(context, homes):
    for name in homes.split(", "):
        offer(context, name, name, 1, 8e3)
    context.calls = context.queue.next_calls(0.0)


@when("requests with the homes {homes} offer {count:d} pieces of 3 MB each")
def when_large(context, homes, count):
    for name in homes.split(", "):
        offer(context, name, name, count, 3e6)


@when("{count:d} requests with the homes {homes} offer 1 piece each")
def when_many(context, count, homes):
    for n in range(count):
        offer(context, f"r{n}", homes, 1, 8e3)


@when("every call ends and its results are kept")
def when_ended(context):
    context.made, now = [], 0.0
    for _ in range(8):
        for call in context.queue.next_calls(now):
            handles = [f"{p.request}/{p.segment}" for p in call.pieces]
            context.queue.succeed(call, handles, now + 0.3)
            context.made += [p.request for p in call.pieces]
        now += 0.3


@then("the call in {domain} has pieces of {names}")
def then_call(context, domain, names):
    call = next(c for c in context.calls if c.upstream.name == f"u-{domain}")
    assert [p.request for p in call.pieces] == names.split(", "), call.pieces


@then("only one of the requests has results")
def then_one(context):
    assert context.made == ["west"] * 8, context.made


@then(
    "a piece with the homes {homes} waits {count:d} pieces long at one upstream"
)
def then_waits(context, homes, count):
    expected = count / SPEC.batch * (SPEC.call_s + SPEC.batch * SPEC.piece_s)
    wait_s = context.queue.wait_s(0.0, regions=HOMES[homes])
    assert math.isclose(wait_s, expected), (wait_s, expected)


@then("a piece with the homes {homes} does not wait")
def then_no_wait(context, homes):
    assert context.queue.wait_s(0.0, regions=HOMES[homes]) == 0.0


@then("a piece with the homes {homes} waits for ever")
def then_for_ever(context, homes):
    assert context.queue.wait_s(0.0, regions=HOMES[homes]) == math.inf
