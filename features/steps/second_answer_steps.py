"""Steps about upstreams that answer a request twice."""

import anyio
from behave import given, then, when

from features.fixtures.answering import (
    AnsweringUpstream,
    Sending,
    Step,
    make_answer,
    make_steps,
)
from features.fixtures.relay_world import RelayWorld
from features.fixtures.virtual import run_virtual

PLAIN = ("unsafe", "safe")


@given("an upstream of {kind} requests alone, which answers {answers}")
def given_upstream(context, kind, answers):
    context.upstream = AnsweringUpstream(
        make_steps(answers), streams=kind not in PLAIN
    )


@given("{what} follows its first answer in the same segment")
def given_together(context, what):
    def make_step(sending, number):
        if number:
            return Step(200)
        # `make_answer` needs the answer, which the upstream records later.
        copy = Sending(
            sending.connection, sending.target, sending.request_headers
        )
        copy.status, copy.ran, copy.body = 200, True, b"sending 1"
        answer = make_answer(copy)
        after = {
            "the answer again": answer,
            "bytes that are no HTTP": b"\x00\x01no answer\r\n\r\n",
            "a part of an answer": answer[:20],
        }
        return Step(200, after=after[what])

    context.upstream.make_step = make_step


@when("{count:d} callers send {kind} requests one after the other")
def when_in_turn(context, count, kind):
    context.replies = {}
    pool = "plain" if kind in PLAIN else "engines"

    async def run():
        world = context.world = RelayWorld()
        world.add_upstream("a", pool)
        world.upstreams["a"] = context.upstream
        async with anyio.create_task_group() as tasks:
            await world.start("one", tasks)
            await anyio.sleep(1.0)
            for n in range(count):
                context.replies[f"r{n}"] = await world.request(
                    "one", f"/{kind}/x", request=f"r{n}"
                )
            tasks.cancel_scope.cancel()

    run_virtual(run)


@when("its caller sends a {kind} request")
def when_request(context, kind):
    pool = "plain" if kind in PLAIN else "engines"
    headers = []
    if kind == "staged":
        headers = [(b"segments", b"1,1"), (b"segment-key", b"5c1e")]

    async def run():
        world = context.world = RelayWorld()
        world.add_upstream("a", pool)
        world.upstreams["a"] = context.upstream
        world.add_upstream("s0", "stage")
        async with anyio.create_task_group() as tasks:
            await world.start("one", tasks)
            await anyio.sleep(1.0)
            context.reply = await world.request(
                "one", f"/{kind}/x", headers=headers
            )
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("the caller gets {status:d}, the answer to the last sending")
def then_last(context, status):
    reply, last = context.reply, context.upstream.sendings[-1]
    seen = (reply.status, reply.body, last.status, last.body)
    assert (reply.status, last.status) == (status, status), seen
    assert reply.ended and reply.body == last.body, seen


@then("a request that was refused has not run")
def then_not_run(context):
    if context.reply.status in (408, 421, 429, 503):
        ran = [s.body for s in context.upstream.sendings if s.ran]
        assert not ran, ran


@then("each caller gets the answer to its request")
def then_each(context):
    answers = {s.request: s.body for s in context.upstream.sendings}
    replies = {
        request: reply.body if reply.status in (200, 500) else reply.status
        for request, reply in context.replies.items()
    }
    assert replies == answers, (replies, answers)


@then("{count:d} connections to the upstream were opened")
def then_opened(context, count):
    assert len(context.upstream.connections) == count
