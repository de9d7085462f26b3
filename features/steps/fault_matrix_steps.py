"""Steps of the fault matrix."""

from behave import then, when

from features.fixtures.matrix_faults import FAULTS
from features.fixtures.matrix_pairs import PAIRS
from features.fixtures.matrix_run import KINDS, Cell, run_world


@when('the matrix injects "{fault}" into {kind} at "{step}"')
def when_fault_injected(context, kind, fault, step):
    async def scenario(world):
        await Cell(world, FAULTS[fault], step, KINDS[kind]).run()

    context.violations = run_world(scenario)


@then("the matrix run violates no property")
def then_no_violation(context):
    assert not context.violations, "\n".join(context.violations)


@when('the matrix runs the pair "{pair}"')
def when_pair(context, pair):
    context.violations = run_world(PAIRS[pair], entries_per_domain=2)
