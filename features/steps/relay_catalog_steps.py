"""Steps about the catalog of upstreams."""

from behave import given, then, when

from applespring.core.catalog import Catalog, UpstreamState
from features.fixtures.relay import make_upstream

# Time between the begins of two calls that a registry does not answer.
CALL_INTERVAL_S = 1.0


def names(text):
    return text.split(", ")


@given("the registry lists {listed}")
def given_lists(context, listed):
    context.catalog = Catalog()
    for name in names(listed):
        context.catalog.put(make_upstream(name, "p", revision=5))


@given("the registry is unreachable from {lost:g} to {regained:g}")
def given_unreachable(context, lost, regained):
    called_at = lost
    while called_at < regained:
        context.catalog.lose_contact(called_at)
        called_at += CALL_INTERVAL_S
    context.catalog.regain_contact(regained)


@when("the registry removes {removed} at {at:g}")
def when_removes(context, removed, at):
    for name in names(removed):
        context.catalog.remove(name, at)


@when("the registry lists {name} again at {at:g}")
def when_again(context, name, at):
    del at
    context.catalog.put(make_upstream(name, "p", revision=9))


@when("the registry says that {name} is leaving")
def when_leaving(context, name):
    state = UpstreamState.LEAVING
    assert context.catalog.put(
        make_upstream(name, "p", state=state, revision=6)
    )


@when("an older entry says that {name} is ready")
def when_older(context, name):
    assert not context.catalog.put(make_upstream(name, "p", revision=4))


@when("a full listing names {name} at {at:g}")
def when_listing(context, name, at):
    context.catalog.replace([make_upstream(name, "p", revision=6)], at)


@when("a full listing names {listed} at {at:g} after a watch that ended")
def when_listing_after_gap(context, listed, at):
    entries = [make_upstream(n, "p", revision=6) for n in names(listed)]
    context.catalog.replace(entries, at, after_gap=True)


@when("the time is {at:g} s")
def when_passed(context, at):
    context.catalog.expire(at)


@when("{name} starts again under its name")
def when_starts(context, name):
    context.old_identity = context.catalog.get(name).identity
    context.catalog.put(make_upstream(name, "p", born_ms=2, revision=7))


@then("{ready} may receive work")
def then_ready(context, ready):
    found = [u.name for u in context.catalog.ready("p")]
    assert found == names(ready), found
    assert all(context.catalog.is_ready(name) for name in found)


@then("{name} has a new identity")
def then_identity(context, name):
    assert context.catalog.get(name).identity != context.old_identity
