"""Steps about streams whose engine is silent for a time."""

import anyio
from behave import given, then, when

from features.fixtures.matrix_document import make_document
from features.fixtures.matrix_run import TARGET_ENTRY, run_world
from standins.faults import AFTER_READ
from standins.network import Step

CHUNKS_BEFORE_SILENCE = 3


@given("a retry budget of {tokens:d} tokens")
def given_budget(context, tokens):
    context.tokens = tokens


@when(
    "the engine of a started stream is silent for {seconds:g} s while the "
    "other one {fault}"
)
def when_silent(context, seconds, fault):
    async def scenario(world):
        fleet = world.fleet
        engines = fleet.fleet.pools["engines"].upstreams
        chunks = 0

        def observe(seen):
            nonlocal chunks
            if seen.path != "/v1/completions" or seen.step is not Step.CHUNK:
                return
            chunks += 1
            if chunks == CHUNKS_BEFORE_SILENCE:
                (other,) = (e for e in engines if e.address != seen.address)
                impair(fleet, other, fault)
                fleet.network.pause(seen.address)
                world.spawn(resume, seen.address)

        async def resume(address):
            await anyio.sleep(seconds)
            fleet.network.resume(address)

        budget = fleet.entries[TARGET_ENTRY].instance.retry_budget
        budget._tokens = context.tokens
        fleet.network.observer = observe
        context.submission = await world.submit(
            TARGET_ENTRY, "ask", stream=True
        )

    # Engines state that a call refused with 503 did not run.
    document = make_document(slots=4)
    engines_line = 'model = "m"\n'
    assert engines_line in document
    document = document.replace(
        engines_line, f"{engines_line}refusal_not_run = [503]\n"
    )
    context.violations = run_world(scenario, document=document)


def impair(fleet, engine, fault):
    """Makes an engine refuse every call, or kills it."""
    if fault == "refuses":
        refusal = {
            "path": "/v1/completions",
            "kind": "refuse",
            "not_run": True,
            "when": AFTER_READ,
        }
        fleet.upstreams[engine.name].apply_faults({"faults": [refusal]})
    elif fault == "is lost":
        fleet.network.kill(engine.address)


@then("the caller gets the complete stream")
def then_complete(context):
    reply = context.submission.reply
    assert reply.answered, reply.document
    assert not context.violations, context.violations
