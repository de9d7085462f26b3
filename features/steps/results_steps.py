"""Steps on the checks of results and token streams of upstreams."""

from behave import then, when

from applespring.core.errors import ResultError
from applespring.core.integrity import CallId, TokenStream, check_result, digest

CALL = CallId("r1~a", "encode", 2)


def find_failure_kind(function):
    """Returns the failure kind of a ResultError in lower case, or None."""
    try:
        function()
    except ResultError as exc:
        return exc.kind.name.lower()
    return None


@when("a result with another {field} is checked")
def when_result(context, field):
    document = {
        "request_id": CALL.request_id,
        "stage": CALL.stage,
        "attempt": CALL.attempt,
        "output": "text",
        "digest": digest("text"),
    }
    assert find_failure_kind(lambda: check_result(CALL, document)) is None
    document[field] = 7 if field == "attempt" else "other"
    context.kind = find_failure_kind(lambda: check_result(CALL, document))


@when("a token with another {field} arrives in a stream")
def when_token(context, field):
    event = make_event(0, None)
    stream = TokenStream()
    assert stream.accept(CALL, event) == ["0"]
    event = make_event(1, None) | {field: 7 if field == "attempt" else "other"}
    context.kind = find_failure_kind(lambda: stream.accept(CALL, event))
    assert stream.texts == ["0"], stream.texts


def make_event(number, reason):
    """Returns the event of a token, whose text is its number."""
    return {
        "request_id": CALL.request_id,
        "attempt": CALL.attempt,
        "index": number,
        "choices": [{"text": str(number), "finish_reason": reason}],
    }


@then("the result is rejected as {kind}")
def then_rejected(context, kind):
    assert context.kind == kind, context.kind


@when('a stream delivers the tokens "{tokens}" and its end marker')
def when_stream(context, tokens):
    context.stream = TokenStream()
    for token in tokens.split():
        number = token.rstrip("!")
        reason = "stop" if token != number else None
        context.stream.accept(CALL, make_event(int(number), reason))
    context.kind = find_failure_kind(context.stream.end)


@when("a stream delivers {count:d} tokens twice each and its end marker")
def when_repeats(context, count):
    texts = [f"{index} {index}" for index in range(count - 1)]
    when_stream(context, " ".join([*texts, f"{count - 1}!"]))


@then("the stream is complete with {count:d} tokens")
def then_count(context, count):
    assert context.kind is None, context.kind
    assert context.stream.texts == [str(index) for index in range(count)]


@then('the stream is {end} with "{texts}"')
def then_stream(context, end, texts):
    assert (context.kind or "complete") == end, context.kind
    assert context.stream.texts == texts.split(), context.stream.texts


@then('the stream is {end} with ""')
def then_empty(context, end):
    then_stream(context, end, "")
