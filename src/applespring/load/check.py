"""Checks of one answer: whole, the caller's own, and right."""

import enum
from collections.abc import Container
from typing import Any

import orjson

from applespring.core.integrity import digest
from applespring.core.reason import find_reason
from applespring.core.verdict import Verdict

PROBLEM_TYPE = "application/problem+json"


class Outcome(enum.Enum):
    """What came of one submission."""

    WHOLE = "whole"
    REFUSED = "refused"
    CUT = "cut"
    SWAPPED = "swapped"
    WRONG = "wrong"
    MALFORMED = "malformed"
    BROKEN = "broken"
    UNANSWERED = "unanswered"


class Result:
    """The checked answer to one submission.

    Attributes:
        outcome: What came of it.
        detail: One sentence when something is wrong.
        reason: Reason code of a refusal.
        verdict: Verdict of a refusal on the request.
        submission_verdict: Verdict of a refusal on this submission.
    """

    __slots__ = (
        "outcome",
        "detail",
        "reason",
        "verdict",
        "submission_verdict",
    )

    def __init__(
        self,
        outcome: Outcome,
        detail: str = "",
        *,
        reason: str = "",
        verdict: Verdict | None = None,
        submission_verdict: Verdict | None = None,
    ) -> None:
        self.outcome = outcome
        self.detail = detail
        self.reason = reason
        self.verdict = verdict
        self.submission_verdict = submission_verdict


class Expected:
    """What a whole answer to a submission must contain.

    Attributes:
        request_ids: Ids of all submissions of the request; an answer by key
            may name another of them.
        pipeline: Name of the pipeline.
        output: The output.
        digest: Digest of the output.
        known_digests: Digests of the outputs of all requests of the run.
    """

    __slots__ = ("request_ids", "pipeline", "output", "digest", "known_digests")

    def __init__(
        self,
        request_ids: Container[str],
        pipeline: str,
        output: Any,
        known_digests: Container[str],
    ) -> None:
        self.request_ids = request_ids
        self.pipeline = pipeline
        self.output = output
        self.digest = digest(output)
        self.known_digests = known_digests

    def compare(self, output: Any) -> Result:
        """Checks an output that is known to be complete."""
        if output == self.output:
            return Result(Outcome.WHOLE)
        if digest(output) in self.known_digests:
            return Result(Outcome.SWAPPED, "output of another request")
        return Result(Outcome.WRONG, "output differs from the expected one")


def check_answer(
    expected: Expected, status: int, content_type: str, body: bytes
) -> Result:
    """Checks an answer that was not streamed."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        outcome = Outcome.CUT if status == 200 else Outcome.MALFORMED
        return Result(outcome, f"status {status}: body is not whole JSON")
    if status != 200:
        return check_refusal(expected, status, content_type, value)
    if not isinstance(value, dict) or "output" not in value:
        return Result(Outcome.CUT, "answer without output")
    if value.get("request_id") not in expected.request_ids:
        return Result(Outcome.SWAPPED, f"id {value.get('request_id')!r}")
    if value.get("pipeline") != expected.pipeline:
        return Result(Outcome.SWAPPED, f"pipeline {value.get('pipeline')!r}")
    if value.get("verdict") != Verdict.RAN.label:
        return Result(Outcome.MALFORMED, f"verdict {value.get('verdict')!r}")
    return expected.compare(value["output"])


def check_refusal(
    expected: Expected, status: int, content_type: str, value: Any
) -> Result:
    """Checks a problem document."""
    if not isinstance(value, dict) or content_type != PROBLEM_TYPE:
        return Result(Outcome.MALFORMED, f"status {status}: no problem doc")
    try:
        reason = find_reason(value.get("reason"))
        verdict = Verdict.from_label(str(value.get("verdict")))
        submission_verdict = Verdict.from_label(
            str(value.get("submission_verdict"))
        )
    except (KeyError, ValueError) as exc:
        return Result(Outcome.MALFORMED, f"problem document: {exc}")
    if reason.status != status or value.get("status") != status:
        return Result(Outcome.MALFORMED, f"{reason.code} with {status}")
    if value.get("request_id") not in expected.request_ids:
        return Result(Outcome.SWAPPED, f"id {value.get('request_id')!r}")
    if submission_verdict > verdict:
        return Result(
            Outcome.MALFORMED,
            f"verdict {verdict.label} but submission"
            f" {submission_verdict.label}",
        )
    return Result(
        Outcome.REFUSED,
        reason=reason.code,
        verdict=verdict,
        submission_verdict=submission_verdict,
    )


class StreamCheck:
    """Checks a streamed answer event by event.

    Attributes:
        tokens: Tokens seen so far.
    """

    __slots__ = ("tokens", "_expected", "_texts", "_result")

    def __init__(self, expected: Expected) -> None:
        self.tokens = 0
        self._expected = expected
        self._texts: list[str] = []
        self._result: Result | None = None

    def add_event(self, name: str, data: bytes) -> None:
        """Takes one event."""
        if self._result is not None:
            if self._result.outcome in (Outcome.WHOLE, Outcome.REFUSED):
                self._result = Result(Outcome.WRONG, f"{name} after the end")
            return
        try:
            value = orjson.loads(data)
        except orjson.JSONDecodeError:
            value = None
        if not isinstance(value, dict):
            self._result = Result(Outcome.MALFORMED, f"{name}: no JSON object")
        elif name == "token":
            self._add_token(value)
        elif name == "end":
            self._result = self._check_end(value)
        elif name == "error":
            self._result = self._check_error(value)
        else:
            self._result = Result(Outcome.MALFORMED, f"event {name!r}")

    def _add_token(self, value: dict[str, Any]) -> None:
        if value.get("index") != self.tokens:
            detail = f"token {value.get('index')!r} instead of {self.tokens}"
            self._result = Result(Outcome.WRONG, detail)
            return
        self.tokens += 1
        self._texts.append(str(value.get("text")))

    def _check_end(self, value: dict[str, Any]) -> Result:
        output = "".join(self._texts)
        if value.get("tokens") != self.tokens:
            detail = f"{self.tokens} tokens, end says {value.get('tokens')!r}"
            return Result(Outcome.CUT, detail)
        if value.get("digest") != digest(output):
            return Result(Outcome.CUT, "digest of the end does not match")
        return self._expected.compare(output)

    def _check_error(self, value: dict[str, Any]) -> Result:
        status = value.get("status")
        result = check_refusal(self._expected, status, PROBLEM_TYPE, value)
        if self.tokens and result.verdict is Verdict.NOT_RUN:
            return Result(Outcome.MALFORMED, "not_run after a token")
        return result

    def finish(self) -> Result:
        """Returns the result once the response has ended."""
        if self._result is None:
            return Result(Outcome.CUT, f"no end after {self.tokens} tokens")
        return self._result
