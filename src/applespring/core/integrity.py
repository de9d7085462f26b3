"""Checks that a result belongs to its call and is complete."""

from collections.abc import Mapping
from typing import Any

import orjson
import xxhash

from applespring.core.errors import FailureKind, ResultError

REORDER_TOKENS_MAX = 64
"""Most tokens that a stream holds back while an earlier one is missing."""


def canonical_json(value: Any) -> bytes:
    """Returns JSON with sorted keys, so that equal values give equal bytes."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def digest(value: Any) -> str:
    """Returns the xxh64 hex digest of a value's canonical JSON."""
    return xxhash.xxh64_hexdigest(canonical_json(value))


def prompt_text(value: Any) -> str:
    """Returns the prompt that a generation stage sends for its input.

    This is the input itself if it is a string, else its canonical JSON.
    """
    return value if isinstance(value, str) else canonical_json(value).decode()


class CallId:
    """Identity of one attempt of one stage call.

    Attributes:
        request_id: Id of the request.
        stage: Name of the stage.
        attempt: Number of the attempt, from 1.
    """

    __slots__ = ("request_id", "stage", "attempt")

    def __init__(self, request_id: str, stage: str, attempt: int) -> None:
        self.request_id = request_id
        self.stage = stage
        self.attempt = attempt

    def __str__(self) -> str:
        return f"{self.request_id}/{self.stage}/{self.attempt}"

    def check_response(self, document: Mapping[str, Any]) -> None:
        """Checks that a response names this call.

        Raises:
            ResultError: The response belongs to another call.
        """
        echoed = (
            document.get("request_id"),
            document.get("stage"),
            document.get("attempt"),
        )
        if echoed != (self.request_id, self.stage, self.attempt):
            raise ResultError(
                FailureKind.MISMATCH,
                f"the result of call {self} names request, stage and attempt "
                f"{echoed}",
            )

    def check_event(self, event: Mapping[str, Any]) -> None:
        """Checks that an event of a generation names this call.

        Raises:
            ResultError: The event belongs to another call.
        """
        echoed = (event.get("request_id"), event.get("attempt"))
        if echoed != (self.request_id, self.attempt):
            raise ResultError(
                FailureKind.MISMATCH,
                f"an event of call {self} names request and attempt {echoed}",
            )


def check_result(call_id: CallId, document: Any) -> Any:
    """Returns the output of a service's response document.

    Raises:
        ResultError: The document is incomplete or belongs to another call.
    """
    if not isinstance(document, dict):
        raise ResultError(
            FailureKind.TRUNCATED,
            f"the result of call {call_id} is not a JSON object",
        )
    call_id.check_response(document)
    if "output" not in document:
        raise ResultError(
            FailureKind.TRUNCATED, f"the result of call {call_id} has no output"
        )
    output = document["output"]
    if document.get("digest") != digest(output):
        raise ResultError(
            FailureKind.MISMATCH,
            f"the digest of the result of call {call_id} does not match its "
            "output",
        )
    return output


class TokenStream:
    """Assembles the tokens of one generation, over several attempts.

    Tokens are ordered by index. A duplicate token is dropped. A token that
    arrives out of order is held back until the missing ones have arrived.

    Attributes:
        texts: Text of each released token, by index.
        finished: Whether the stream ended with every token that it should have.
        duplicates: Number of duplicate tokens dropped.
    """

    __slots__ = (
        "texts",
        "finished",
        "duplicates",
        "_out_of_order",
        "_token_count",
    )

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.finished = False
        self.duplicates = 0
        self._out_of_order: dict[int, str] = {}
        self._token_count: int | None = None

    @property
    def next_index(self) -> int:
        """Index of the next token to release."""
        return len(self.texts)

    def start_attempt(self) -> None:
        """Discards the out-of-order tokens of a broken attempt."""
        self._out_of_order.clear()
        self._token_count = None

    def accept(self, call_id: CallId, event: Any) -> list[str]:
        """Adds the token of an event and returns the texts that it releases.

        Raises:
            ResultError: The event belongs to another call or is malformed, or
                too many tokens are missing.
        """
        if not isinstance(event, dict):
            raise ResultError(
                FailureKind.TRUNCATED,
                f"an event of call {call_id} is not a JSON object",
            )
        call_id.check_event(event)
        index = event.get("index")
        text, is_last = _read_choice(event)
        if type(index) is not int or index < 0:
            raise ResultError(
                FailureKind.TRUNCATED,
                f"an event of call {call_id} has the index {index!r:.40}; "
                "allowed: an integer from 0",
            )
        if is_last:
            self._token_count = index + 1
        if index < self.next_index or index in self._out_of_order:
            self.duplicates += 1
            return []
        self._out_of_order[index] = text
        if len(self._out_of_order) > REORDER_TOKENS_MAX:
            raise ResultError(
                FailureKind.TRUNCATED,
                f"token {self.next_index} of call {call_id} is missing; "
                f"{len(self._out_of_order)} later ones arrived, allowed are "
                f"{REORDER_TOKENS_MAX}",
            )
        return self._release()

    def end(self) -> None:
        """Checks at the end marker of the stream that it is complete.

        Raises:
            ResultError: Tokens are missing, or no event had a finish reason.
        """
        if self._token_count is None or self._token_count != self.next_index:
            raise ResultError(
                FailureKind.TRUNCATED,
                f"the stream ended after {self.next_index} tokens; the engine "
                f"stated a total of {self._token_count}",
            )
        self.finished = True

    def output(self) -> str:
        """Returns the stage output: the texts of all released tokens."""
        return "".join(self.texts)

    def _release(self) -> list[str]:
        released = []
        while self.next_index in self._out_of_order:
            text = self._out_of_order.pop(self.next_index)
            self.texts.append(text)
            released.append(text)
        return released


def _read_choice(event: Mapping[str, Any]) -> tuple[str, bool]:
    """Returns the text of an event's token and whether it is the last one.

    Raises:
        ResultError: The event carries no token.
    """
    match event:
        case {"choices": [{"text": str(text), "finish_reason": reason}, *_]}:
            return text, reason is not None
    raise ResultError(
        FailureKind.TRUNCATED,
        "an event has no first choice with text and finish_reason",
    )
