"""Steps about the stages of one request."""

import re

from behave import given, then, when

from applespring.core.chain import Chain
from applespring.core.route import StageStep


@given("the stages {stages} with {counts} pieces")
def given_stages(context, stages, counts):
    steps = []
    for text in stages.split(", "):
        found = re.fullmatch(r"(\d) of (\d+) kB(?: after (\d))?", text)
        after = [int(found[3])] if found[3] else []
        steps.append(StageStep(int(found[1]), "p", after, int(found[2]) * 1e3))
    context.chain = Chain(steps, [int(n) for n in counts.split(",")])


@when("stage {index:d} is done")
def when_done(context, index):
    chain = context.chain
    if not chain.is_started(index):
        assert index in chain.due()
        for due in chain.due():
            chain.start(due)
    for segment in chain.missing(index):
        chain.record_result(index, segment, f"{index}/{segment}")


@when("the result of stage {index:d} is lost")
def when_lost(context, index):
    context.chain.restart(index)


@then("the stages {stages} are due")
def then_due(context, stages):
    assert context.chain.due() == [int(n) for n in stages.split(",")]


@then("the pieces of stage {index:d} take {handles}")
def then_inputs(context, index, handles):
    assert context.chain.inputs(index) == handles.split(",")


@then("the request takes nothing")
def then_takes_nothing(context):
    assert context.chain.final_handles() == []


@then("the request takes {handles}")
def then_takes(context, handles):
    assert context.chain.done
    assert context.chain.final_handles() == handles.split(",")


@then("the results of stage {index:d} are not needed")
def then_unneeded(context, index):
    assert context.chain.take_unneeded() == {
        index: context.chain.handles(index)
    }
    assert context.chain.take_unneeded() == {}


@then("the results left to release are {handles}")
def then_remaining(context, handles):
    remaining = context.chain.take_remaining()
    assert [
        h for handles_of in remaining.values() for h in handles_of
    ] == handles.split(",")


@then("no result is left to release")
def then_nothing(context):
    assert context.chain.take_remaining() == {}
