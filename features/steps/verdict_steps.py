"""Steps on verdicts and their combination."""

from behave import given, then

from applespring.core.verdict import Verdict, combine


@given('the stage verdicts "{labels}"')
def given_verdicts(context, labels):
    context.verdicts = [Verdict.from_label(p) for p in labels.split(",")]


@given('the stage verdicts ""')
def given_no_verdicts(context):
    context.verdicts = []


@then('the combined verdict is "{combined}"')
def then_combined(context, combined):
    assert combine(context.verdicts) is Verdict.from_label(combined)
