"""Steps for the memory that is held for callers; no I/O."""

from behave import given, then, when

from applespring.core.caller_memory import CallerMemory, MemoryFullError

MB = 1_000_000
CAPACITY_MB = 64
# Bytes that arrive at a time.
PART = 16 * 1024


class _Sender:
    """A client whose body arrives, and its holding."""

    def __init__(self, memory, account, now):
        self.refused = False
        self.holding = memory.open(account, now, lambda: None)

    def send(self, size, start, end):
        """Lets bytes arrive evenly between two times."""
        sent = 0
        try:
            while sent < size:
                part = min(PART, size - sent)
                sent += part
                self.holding.grow(part, start + (end - start) * sent / size)
        except MemoryFullError:
            self.holding.close()
            self.refused = True


def _send_all(context, count, account, size_mb, start, end=None):
    if not hasattr(context, "memory"):
        context.memory = CallerMemory(CAPACITY_MB * MB)
        context.crowd = []
    senders = [_Sender(context.memory, account, start) for _ in range(count)]
    for sender in senders:
        sender.send(int(size_mb * MB), start, end or start)
    return senders


@given(
    "{count:d} clients that sent {size:g} MB each at {start:g} s and stopped"
)
def given_stopped(context, count, size, start):
    senders = _send_all(context, count, "", size, start)
    context.crowd = getattr(context, "crowd", []) + senders


@given(
    '{count:d} clients of the account "{account}" that sent {size:g} MB each '
    "at {start:g} s, complete"
)
def given_complete(context, count, account, size, start):
    context.complete = []
    for _ in range(count):
        (sender,) = _send_all(context, 1, account, size, start)
        if not sender.refused:
            sender.holding.complete()
            context.complete.append(sender)
    context.crowd += context.complete


@given(
    "{count:d} clients that sent {size:g} MB each at {start:g} s and go on "
    "with a byte a second"
)
def given_trickle(context, count, size, start):
    context.crowd = _send_all(context, count, "", size, start)
    for second in range(1, 4):
        for sender in context.crowd:
            if not sender.refused and not sender.holding.has_yielded:
                sender.send(1, start + second, start + second)


@given(
    "{count:d} clients whose answers of {size:g} MB have been sent since "
    "{since:g} s"
)
def given_unread(context, count, size, since):
    context.crowd = []
    given_complete(context, count, "", size, 0.0)
    for sender in context.complete:
        sender.holding.reopen(since, lambda: None)


@given("a small request that has been arriving since {since:g} s")
def given_small(context, since):
    context.small = _Sender(context.memory, "", since)
    context.small.send(1000, since, since)


@then("the small request has not yielded")
def then_small(context):
    assert not context.small.holding.has_yielded


@when(
    "a request that is complete gets an answer of {size:g} MB at {now:g} s",
)
def when_answer(context, size, now):
    sender = _Sender(context.memory, "", 0.0)
    sender.holding.complete()
    context.senders = [sender]
    try:
        sender.holding.grow(int(size * MB), now)
    except MemoryFullError:
        sender.refused = True


@then("the answer has room")
def then_room(context):
    assert not context.senders[0].refused


@then("the answer has no room")
def then_no_room(context):
    assert context.senders[0].refused


@when("a client sends {size:g} MB from {start:g} s to {end:g} s")
def when_sends(context, size, start, end):
    context.senders = _send_all(context, 1, "", size, start, end)


@when(
    'a client of the account "{account}" sends {size:g} MB from {start:g} s to '
    "{end:g} s"
)
def when_account_sends(context, account, size, start, end):
    context.senders = _send_all(context, 1, account, size, start, end)


@when("{count:d} clients send {size:g} MB each at {start:g} s")
def when_many_send(context, count, size, start):
    context.senders = _send_all(context, count, "", size, start)


@when(
    '{count:d} clients of the account "{account}" send {size:g} MB each at '
    "{start:g} s"
)
def when_account_clients(context, count, account, size, start):
    context.senders = _send_all(context, count, account, size, start)


@when("all leave")
def when_leave(context):
    for sender in context.crowd:
        sender.holding.close()


@then("all of it is taken")
def then_taken(context):
    for sender in context.senders:
        assert not sender.refused
        assert not sender.holding.has_yielded


@then("it is refused")
def then_refused(context):
    assert context.senders[0].refused


@then("at most {size:d} MB are held")
def then_held(context, size):
    everyone = context.crowd + context.senders
    held = sum(sender.holding.size for sender in everyone)
    assert held == context.memory.used, (held, context.memory.used)
    assert held <= size * MB, held


@then('the account "{account}" holds at most {size:d} MB')
def then_account(context, account, size):
    held = sum(
        s.holding.size for s in context.crowd if s.holding.account == account
    )
    assert held <= size * MB, held


@then("none of the complete ones has yielded")
def then_none_yielded(context):
    assert context.complete
    for sender in context.complete:
        assert not sender.holding.has_yielded


@then("nothing is held")
def then_nothing(context):
    assert context.memory.used == 0, context.memory.used
