"""Steps on events of a token stream that arrive in one chunk."""

import anyio
import httpx
import orjson
from behave import then, when

from applespring.core.errors import StageError
from applespring.core.fleet import StageKind
from applespring.core.integrity import CallId, TokenStream
from applespring.entry.execution.calls import Call, UpstreamClient
from features.fixtures.documents import make_pool

REQUEST_ID = "r"


def encode_event(number):
    if number == "end":
        return b"data: [DONE]\n\n"
    event = {
        "request_id": REQUEST_ID,
        "attempt": 1,
        "index": int(number),
        "choices": [{"index": 0, "text": f"t{number}", "finish_reason": None}],
    }
    if number == "2":
        event["choices"][0]["finish_reason"] = "stop"
    return b"data: " + orjson.dumps(event) + b"\n\n"


@when('an engine sends the events "{numbers}" in one chunk')
def when_sent(context, numbers):
    body = b"".join(encode_event(number) for number in numbers.split(", "))
    context.batches, context.tokens = [], TokenStream()
    context.failure = None
    pool = make_pool("llm", "engine-1", StageKind.GENERATE)
    call = Call(
        CallId(REQUEST_ID, "generate", 1),
        pool,
        pool.upstreams[0],
        "prompt",
        key="",
        priority=5,
        max_tokens=8,
        started_at=0.0,
        timeout_s=1.0,
        guard=lambda: None,
    )

    async def emit(texts):
        context.batches.append(" ".join(texts))

    async def scenario():
        transport = httpx.MockTransport(
            lambda _request: httpx.Response(200, content=body)
        )
        async with httpx.AsyncClient(transport=transport) as http:
            client = UpstreamClient(http, http, lambda *_: None)
            try:
                await client.generate(call, context.tokens, emit)
            except StageError as exc:
                context.failure = exc

    anyio.run(scenario)


@then('the emitted batches are "{batches}" and the attempt {outcome}')
def then_batches(context, batches, outcome):
    assert context.batches == batches.split("; "), context.batches
    assert (context.failure is not None) == (outcome == "failed")


@then("the stream continues at token {index:d}")
def then_continues(context, index):
    assert context.tokens.next_index == index
