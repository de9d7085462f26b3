"""Steps about the checks of answers."""

import hypothesis
import hypothesis.strategies as st
import orjson
from behave import then, when

from applespring.core.integrity import digest
from applespring.load.check import Expected, StreamCheck, check_answer
from applespring.load.expect import expected_output, parse_chains
from applespring.load.sse import EventReader
from standins import content

OUTPUT, OTHER_OUTPUT = " a b c", " d e f"
EXPECTED = Expected({"r", "r-again"}, "chat", OUTPUT, {digest(OTHER_OUTPUT)})
PROBLEM = "application/problem+json"
REFUSAL = {
    "status": 503,
    "reason": "overloaded",
    "verdict": "not_run",
    "submission_verdict": "not_run",
    "request_id": "r",
}
ANSWER = {
    "request_id": "r",
    "pipeline": "chat",
    "output": OUTPUT,
    "verdict": "ran",
}
CHAINS = parse_chains(
    "all=encode:e/retrieve:r/rerank:k/service:s/generate:g@40;"
    "only=rerank:k/service:t;gen=generate:g@300/service:s/generate:h"
)


def standin_output(stages, value):
    for stage in stages:
        kind = stage.kind.value
        if kind != "generate":
            value = content.stage_output(kind, stage.name, value)
            continue
        prompt = content.input_prompt(value)
        count = content.token_count(prompt, stage.max_tokens)
        value = "".join(content.token(prompt, i) for i in range(count))
    return value


@then("{count:d} generated inputs give the same output through every chain")
def then_same(context, count):
    token_requests = st.sampled_from(
        ["", "tokens=", "tokens=7", "tokens=0 tokens=9"]
    )
    text = st.builds(str.__add__, st.text(), token_requests)
    documents = st.lists(st.text() | st.integers(0, 10**9), max_size=4)
    record = st.fixed_dictionaries({"text": text, "documents": documents})
    value = text | record | st.lists(st.integers(0, 9)) | st.none()

    @hypothesis.settings(max_examples=count, derandomize=True, database=None)
    @hypothesis.given(value)
    def check(value):
        for stages in CHAINS.values():
            expected = expected_output(stages, value)
            assert expected == standin_output(stages, value)

    check()


def plain(**fields):
    return 200, "application/json", orjson.dumps(ANSWER | fields)


def refusal(content_type=PROBLEM, **fields):
    return 503, content_type, orjson.dumps(REFUSAL | fields)


PLAIN = {
    "as expected": plain(),
    "with the id of a resubmission": plain(request_id="r-again"),
    "cut in the body": (200, "application/json", plain()[2][:-9]),
    "without output": (200, "application/json", b'{"request_id": "r"}'),
    "with another request's id": plain(request_id="other"),
    "with another pipeline": plain(pipeline="pay"),
    "with another request's output": plain(output=OTHER_OUTPUT),
    "with a changed output": plain(output=OUTPUT + "!"),
    "with verdict may_have_run": plain(verdict="may_have_run"),
    "a valid refusal": refusal(),
    "a refusal without problem type": refusal("application/json"),
    "a refusal with unknown reason": refusal(reason="tired"),
    "a refusal with another status": refusal(reason="bad_result"),
    "a refusal without verdict": refusal(verdict=None),
    "a refusal of another request": refusal(request_id="other"),
    "a refusal that contradicts itself": refusal(submission_verdict="ran"),
    "an error that is not JSON": (500, "text/plain", b"oops"),
}


def end(text=OUTPUT, tokens=3):
    return "end", {"tokens": tokens, "digest": digest(text)}


def token(index, text=None):
    return "token", {"index": index, "text": text or OUTPUT[2 * index :][:2]}


TOKENS = [token(0), token(1), token(2)]
OTHER_TOKENS = [token(i, OTHER_OUTPUT[2 * i :][:2]) for i in range(3)]
STREAMS = {
    "as expected": [*TOKENS, end()],
    "without end": TOKENS,
    "without the last token": [*TOKENS[:2], end()],
    "with a wrong count in the end": [*TOKENS, end(tokens=4)],
    "with an end of another digest": [*TOKENS, end("other")],
    "with a token twice": [token(0), *TOKENS, end()],
    "with tokens out of order": [token(0), token(2), token(1), end()],
    "with a changed token": [*TOKENS[:2], token(2, "!"), end(" a b!")],
    "with a token after the end": [*TOKENS, end(), token(3, "d")],
    "of another request": [*OTHER_TOKENS, end(OTHER_OUTPUT)],
    "with an event that isn't JSON": [("token", None), end()],
    "with an unknown event": [("tokens", {}), end()],
    "a valid error": [("error", REFUSAL)],
    "not_run after tokens": [token(0), ("error", REFUSAL)],
}


@when('a plain answer is "{change}"')
def when_plain(context, change):
    context.result = check_answer(EXPECTED, *PLAIN[change])


@when('a stream is "{change}"')
def when_stream(context, change):
    check = StreamCheck(EXPECTED)
    for name, value in STREAMS[change]:
        check.add_event(name, b"{" if value is None else orjson.dumps(value))
    context.result = check.finish()


@then('the outcome is "{outcome}"')
def then_outcome(context, outcome):
    result = context.result
    assert result.outcome.value == outcome, (result.outcome, result.detail)


@when('the events "{text}" arrive {size:d} bytes at a time')
def when_events(context, text, size):
    data = text.replace("~", "\n").replace("^", "\r\n").encode()
    reader, events = EventReader(), []
    for start in range(0, len(data), size):
        events += reader.feed(data[start : start + size])
    assert not reader.pending
    context.events = events


@then('the events read are "{events}"')
def then_events_read(context, events):
    read = [f"{name}:{data.decode()}" for name, data in context.events]
    assert ";".join(read) == events, read
