"""Steps for the connections of a server; no I/O."""

from behave import given, then, when

from applespring.core.connection_table import ConnectionTable


def _open(context, name, now):
    context.opened.add(name)
    yielding = context.connection_table.add(name, now)
    context.opened.discard(yielding)


@given("a limit of {limit:d} connections")
def given_limit(context, limit):
    context.connection_table = ConnectionTable(limit)
    context.opened = set()


@given("{count:d} connections that rest after an answer")
def given_resting(context, count):
    context.names = [f"resting-{n}" for n in range(count)]
    for name in context.names:
        _open(context, name, 0.0)
        context.connection_table.record_request(name)
        context.connection_table.record_rest(name)


@given("{count:d} connections that rested and got the head of a request")
def given_heads(context, count):
    given_resting(context, count)
    for name in context.names:
        context.connection_table.record_head(name, 0.05)


@given("{count:d} connections with a request in progress")
def given_busy(context, count):
    context.names = [f"busy-{n}" for n in range(count)]
    for name in context.names:
        _open(context, name, 0.0)
        context.connection_table.record_request(name)


@when("{count:d} connections are opened that send nothing")
def when_opened(context, count):
    for n in range(count):
        _open(context, f"silent-{n}", 0.1)


@when("{count:d} connections are opened that send nothing, one a second")
def when_opened_slowly(context, count):
    for n in range(count):
        _open(context, f"silent-{n}", float(n))


@when("one connection is opened")
def when_one(context):
    _open(context, "new", 0.1)


@then("the {count:d} connections are still open")
def then_open(context, count):
    assert len(context.names) == count
    assert context.opened.issuperset(context.names)


@then("{count:d} connections are open")
def then_count(context, count):
    assert len(context.opened) == count == len(context.connection_table)


@then("it is open")
def then_new_open(context):
    assert "new" in context.opened


@then("it is closed")
def then_new_closed(context):
    assert "new" not in context.opened


@then("the first of the {count:d} was closed")
def then_first_closed(context, count):
    assert context.opened == {*context.names[1:], "new"}
    assert len(context.names) == count
