"""Steps about the comparison with execution records."""

import orjson
from behave import given, then, when

from applespring.core.errors import ApplespringError
from applespring.core.verdict import Verdict
from applespring.load.check import Outcome, Result
from applespring.load.expect import parse_chains
from applespring.load.main import compare_records
from applespring.load.record import RecordError, Submission, read_executions
from applespring.load.summary import Summary
from applespring.load.workload import Choice, Workload

ENDED_S = 100.0


@given('the chain "{chains}"')
def given_chain(context, chains):
    context.workload = Workload(
        ["http://a"],
        Choice(["pay"], [1]),
        Choice(["x"], [1]),
        parse_chains(chains),
    )


def make_submission(text):
    request_id, key, outcome = text.split(":")
    if outcome in ("not_run", "may_have_run"):
        verdict = Verdict.from_label(outcome)
        result = Result(
            Outcome.REFUSED, verdict=verdict, submission_verdict=verdict
        )
    else:
        result = Result(Outcome(outcome))
    return Submission(request_id, key.strip("-"), "pay", result, ENDED_S)


def make_record(text):
    text, _, note = text.partition("!")
    request_id, key, stage = text.split(":")
    entry = {
        "request_id": request_id,
        "key": key.strip("-"),
        "stage": stage,
        "started": ENDED_S + (10 if note == "later" else -50),
        "completed": note != "cut",
    }
    left_before_s = float(note[5:]) if note.startswith("left") else None
    return {
        "name": f"{stage}-1",
        "idempotent": stage == "enc",
        "effect": note != "no effect",
        "leaving_since": None
        if left_before_s is None
        else ENDED_S - 50 - left_before_s,
        "dropped": 0,
        "executions": [entry],
    }


@given('the submissions "{texts}"')
def given_submissions(context, texts):
    context.submissions = [make_submission(t) for t in texts.split(",")]


@given('the executions "{texts}"')
def given_executions(context, texts):
    context.records = [make_record(text) for text in texts.split(",")]


@given('the executions ""')
def given_no_executions(context):
    context.records = []


def find_faults(context):
    summary = Summary(1.0)
    summary.submissions = context.submissions
    compare_records(context.workload, summary, context.records, 5.0)
    return summary


@then('the faults found are "{kinds}"')
def then_faults(context, kinds):
    summary = find_faults(context)
    assert dict(summary.violations) == {kinds: 1}, summary.violations
    assert summary.faulty


@then('the faults found are ""')
def then_no_faults(context):
    summary = find_faults(context)
    assert not summary.faulty, summary.examples


@when("the record is {record}")
def when_record(context, record):
    context.error = None
    submissions = [make_submission("a:-:whole")]
    try:
        read_executions([orjson.loads(record)], submissions)
    except ApplespringError as exc:
        context.error = exc


@then("it is rejected")
def then_rejected(context):
    assert isinstance(context.error, RecordError), context.error
