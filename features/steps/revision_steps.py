"""Steps for the acceptance of configuration revisions."""

from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from applespring.core.revision import (
    Acceptance,
    RevisionTracker,
    StartupReadiness,
)
from features.fixtures.documents import Validator

TEXTS = ("valid", "valid other", "broken", "valid based_on 3", "")
OFFERS = st.lists(
    st.tuples(st.integers(-1, 8), st.sampled_from(TEXTS)), max_size=12
)


def make_tracker():
    return RevisionTracker(Validator())


@given("a revision tracker")
def given_tracker(context):
    context.validator = Validator()
    context.tracker = RevisionTracker(context.validator)
    context.outcomes = []


@given('a starting instance that waits for "{sources}" until {at:g} s')
def given_readiness(context, sources, at):
    context.readiness = StartupReadiness(
        context.tracker, sources.split(", "), at
    )


@when('the tracker is offered "{offers}"')
def when_offered(context, offers):
    for offer in offers.split(", "):
        revision, _, text = offer.partition("=")
        outcome = context.tracker.offer(int(revision), text, "test", 0.0)
        context.outcomes.append(outcome.value)


@when("the tracker is offered a document of {size:d} bytes")
def when_offered_size(context, size):
    context.tracker.offer(5, "valid" + " " * (size - 5), "test", 0.0)


@when("the tracker is offered {count:d} different invalid documents")
def when_offered_invalid(context, count):
    for revision in range(1, count + 1):
        context.tracker.offer(revision, "broken", "test", 0.0)


@when('the sources "{sources}" answered')
def when_settled(context, sources):
    for source in sources.split(", "):
        context.readiness.settle(source)


@then('the offers ended as "{outcomes}"')
def then_outcomes(context, outcomes):
    assert context.outcomes == outcomes.split(", "), context.outcomes


@then('revision {revision:d} with "{text}" is in force')
def then_in_force(context, revision, text):
    assert context.tracker.revision == revision, context.tracker.revision
    assert context.tracker.text == text, context.tracker.text


@then("{count:d} offered documents were validated")
def then_validated(context, count):
    assert context.validator.calls == count, context.validator.calls


@then("{count:d} offers were counted as invalid")
def then_invalid(context, count):
    assert context.tracker.counts[Acceptance.INVALID] == count


@then("it has recorded {count:d} of them, the highest ones")
def then_recorded(context, count):
    before = context.validator.calls
    highest = context.tracker.highest_invalid
    for revision in range(highest, highest - count, -1):
        context.tracker.offer(revision, "broken", "test", 0.0)
    assert context.validator.calls == before
    context.tracker.offer(highest - count, "broken", "test", 0.0)
    assert context.validator.calls == before + 1


@then("at {now:g} s the starting instance is {state}")
def then_ready(context, now, state):
    assert context.readiness.is_ready(now) is (state == "ready")


@then("trackers agree and no revision decreases in every generated case")
def then_trackers_agree(context):
    @settings(derandomize=True, deadline=None, database=None)
    @generated(OFFERS, st.randoms(use_true_random=False))
    def check(offers, rng):
        shuffled = list(offers)
        rng.shuffle(shuffled)
        ends = []
        for sequence in (offers, shuffled):
            tracker = make_tracker()
            for revision, text in sequence:
                before = tracker.revision
                tracker.offer(revision, text, "test", 0.0)
                assert tracker.revision >= before
            ends.append(tracker.revision)
        assert ends[0] == ends[1], (offers, shuffled)

    check()
