"""Checks that an answer is complete, correct and that of its request."""

import enum
from collections.abc import Container
from typing import Any

import orjson

from applespring.core.integrity import digest
from applespring.core.reason import find_reason
from applespring.core.verdict import Verdict

PROBLEM_TYPE = "application/problem+json"


class Outcome(enum.Enum):
    """Outcome of one submission; the value is its name in the results.

    Attributes:
        WHOLE: Complete and as expected.
        REFUSED: A valid refusal.
        CUT: Incomplete.
        SWAPPED: An answer to another request.
        WRONG: Complete, with another output than expected.
        MALFORMED: Against the protocol.
        BROKEN: The connection broke.
        UNANSWERED: No answer in time.
    """

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
        outcome: Outcome of the submission.
        detail: What is wrong, or "".
        reason: Reason code of a refusal, else "".
        verdict: Verdict of a refusal about the request, else None.
        submission_verdict: Verdict of a refusal about this submission, else
            None.
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
    """What a complete answer to a submission must contain.

    Attributes:
        request_ids: Ids of all submissions of the request. A repeated key may
            be answered under the id of an earlier submission.
        pipeline: Name of the pipeline.
        output: The expected output.
        digest: Digest of the expected output.
        known_digests: Digests of the expected outputs of all requests of the
            run, by which an answer to another request is recognized.
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
        """Returns the result for a complete output."""
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
        return Result(outcome, f"status {status}: incomplete or invalid JSON")
    if status != 200:
        return check_refusal(expected, status, content_type, value)
    if not isinstance(value, dict) or "output" not in value:
        return Result(Outcome.CUT, "the answer has no output")
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
    """Checks a refusal, which is a problem document (RFC 9457)."""
    if not isinstance(value, dict) or content_type != PROBLEM_TYPE:
        return Result(
            Outcome.MALFORMED, f"status {status}: no problem document"
        )
    try:
        reason = find_reason(value.get("reason"))
        verdict = Verdict.from_label(str(value.get("verdict")))
        submission_verdict = Verdict.from_label(
            str(value.get("submission_verdict"))
        )
    except (KeyError, ValueError) as exc:
        return Result(Outcome.MALFORMED, f"problem document: {exc}")
    if reason.status != status or value.get("status") != status:
        return Result(
            Outcome.MALFORMED, f"reason {reason.code} with status {status}"
        )
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
        tokens: Number of tokens received so far.
    """

    __slots__ = ("tokens", "_expected", "_texts", "_result")

    def __init__(self, expected: Expected) -> None:
        self.tokens = 0
        self._expected = expected
        self._texts: list[str] = []
        self._result: Result | None = None

    def add_event(self, name: str, data: bytes) -> None:
        """Checks the next event."""
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
            detail = (
                f"token index {value.get('index')!r}, expected {self.tokens}"
            )
            self._result = Result(Outcome.WRONG, detail)
            return
        self.tokens += 1
        self._texts.append(str(value.get("text")))

    def _check_end(self, value: dict[str, Any]) -> Result:
        output = "".join(self._texts)
        if value.get("tokens") != self.tokens:
            detail = (
                f"{self.tokens} tokens; the end states {value.get('tokens')!r}"
            )
            return Result(Outcome.CUT, detail)
        if value.get("digest") != digest(output):
            return Result(
                Outcome.CUT, "the digest in the end event does not match"
            )
        return self._expected.compare(output)

    def _check_error(self, value: dict[str, Any]) -> Result:
        status = value.get("status")
        result = check_refusal(self._expected, status, PROBLEM_TYPE, value)
        if self.tokens and result.verdict is Verdict.NOT_RUN:
            return Result(Outcome.MALFORMED, "not_run after a token")
        return result

    def finish(self) -> Result:
        """Returns the result after the end of the response."""
        if self._result is None:
            return Result(Outcome.CUT, f"no end after {self.tokens} tokens")
        return self._result
