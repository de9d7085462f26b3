"""Counts and histograms of a run."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from applespring.load.arrival import Arrival
from applespring.load.caller import Timing
from applespring.load.check import Outcome, Result
from applespring.load.record import Submission

EXAMPLES_MAX = 20
_DURATION_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50, 90, 95, 99, 99.9)

# Outcomes that are faults of the system under test.
_FAULT_OUTCOMES = (
    Outcome.CUT,
    Outcome.SWAPPED,
    Outcome.WRONG,
    Outcome.MALFORMED,
    Outcome.UNANSWERED,
)


class Durations:
    """A histogram of durations."""

    __slots__ = ("_histogram",)

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _DURATION_MAX_US, _SIGNIFICANT_DIGITS)

    def add(self, seconds: float) -> None:
        """Records one duration, limited to 1 µs to 1 h."""
        duration_us = max(1, min(_DURATION_MAX_US, round(seconds * 1e6)))
        self._histogram.record_value(duration_us)

    def to_json(self) -> dict[str, Any]:
        """Returns statistics in milliseconds, and the encoded histogram."""
        histogram = self._histogram
        count = histogram.get_total_count()
        if not count:
            return {"count": 0}
        values = {
            f"p{percentile}": histogram.get_value_at_percentile(percentile)
            for percentile in _PERCENTILES
        }
        values["max"] = histogram.get_max_value()
        values["mean"] = histogram.get_mean_value()
        rounded = {name: round(us / 1000, 3) for name, us in values.items()}
        encoded = histogram.encode().decode()
        return {"count": count} | rounded | {"hdr": encoded}


class AttainmentCount:
    """Number of requests, and of those answered within the deadline."""

    __slots__ = ("requests", "attained")

    def __init__(self) -> None:
        self.requests = 0
        self.attained = 0

    def add(self, attained: bool) -> None:
        """Counts one request."""
        self.requests += 1
        self.attained += attained

    def to_json(self) -> dict[str, Any]:
        """Returns the counts and their ratio."""
        ratio = self.attained / self.requests if self.requests else None
        return {
            "requests": self.requests,
            "attained": self.attained,
            "attainment": ratio,
        }


class Summary:
    """Counts and times of a run.

    Attributes:
        deadline_s: Deadline of every submission.
        submissions: All submissions, for the comparison with the execution
            records.
        outcomes: Submissions by outcome.
        refusals: Refusals by reason, verdict and submission verdict.
        late: Complete answers after the deadline.
        late_refusals: Refusals after the deadline.
        not_sent: Requests not sent because too many were in flight.
        keys_failed: Requests not sent because no key was issued.
        violations: Faults found, by kind.
        examples: Descriptions of the first `EXAMPLES_MAX` faults.
        answer_time: Time from the due time to the end of complete answers.
        first_token: Time from the due time to the first token of complete
            answers.
        token_gap: Time between consecutive tokens of complete answers.
        send_lag: Time by which requests were sent later than due. If it is not
            small, the other times include delays of the generator.
    """

    def __init__(self, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.submissions: list[Submission] = []
        self.outcomes: Counter[str] = Counter()
        self.refusals: Counter[tuple[str, str, str]] = Counter()
        self.late = 0
        self.late_refusals = 0
        self.not_sent = 0
        self.keys_failed = 0
        self.violations: Counter[str] = Counter()
        self.examples: list[str] = []
        self.answer_time = Durations()
        self.first_token = Durations()
        self.token_gap = Durations()
        self.send_lag = Durations()
        self._total = AttainmentCount()
        self._pipelines: dict[str, AttainmentCount] = {}
        self._accounts: dict[str, AttainmentCount] = {}

    def add_submission(self, submission: Submission, timing: Timing) -> bool:
        """Counts a submission; returns whether it was complete in time."""
        self.submissions.append(submission)
        result = submission.result
        self.outcomes[result.outcome.value] += 1
        late = timing.ended - timing.started > self.deadline_s
        if result.outcome is Outcome.WHOLE:
            self.late += late
            self._add_times(timing)
            return not late
        if result.outcome is Outcome.REFUSED:
            self.late_refusals += late
            self._add_refusal(result)
        elif result.outcome in _FAULT_OUTCOMES:
            detail = f"{submission.request_id}: {result.detail}"
            self.add_violations(result.outcome.value, [detail])
        return False

    def _add_times(self, timing: Timing) -> None:
        self.answer_time.add(timing.ended - timing.started)
        if timing.tokens:
            self.first_token.add(timing.tokens[0] - timing.started)
        for earlier, later in zip(
            timing.tokens, timing.tokens[1:], strict=False
        ):
            self.token_gap.add(later - earlier)

    def _add_refusal(self, result: Result) -> None:
        refusal = (
            result.reason,
            result.verdict.label,
            result.submission_verdict.label,
        )
        self.refusals[refusal] += 1

    def add_request(self, arrival: Arrival, attained: bool) -> None:
        """Counts a request once all its submissions have ended."""
        self._total.add(attained)
        self._pipelines.setdefault(arrival.pipeline, AttainmentCount()).add(
            attained
        )
        self._accounts.setdefault(arrival.account, AttainmentCount()).add(
            attained
        )

    def add_violations(self, kind: str, details: list[str]) -> None:
        """Counts faults of one kind."""
        if not details:
            return
        self.violations[kind] += len(details)
        remaining = EXAMPLES_MAX - len(self.examples)
        self.examples += [f"{kind}: {text}" for text in details[:remaining]]

    def add_broken(self) -> None:
        """Counts broken connections and requests without a key as faults."""
        details = [
            f"{submission.request_id}: {submission.result.detail}"
            for submission in self.submissions
            if submission.result.outcome is Outcome.BROKEN
        ]
        self.add_violations("broken", details)
        self.add_violations("no_key", ["no key issued"] * self.keys_failed)

    @property
    def faulty(self) -> bool:
        """Whether any fault was found."""
        return any(self.violations.values())

    def to_json(self) -> dict[str, Any]:
        """Returns the summary as a JSON object."""
        names = ("reason", "verdict", "submission_verdict")
        refusals = [
            dict(zip(names, name, strict=True)) | {"count": count}
            for name, count in sorted(self.refusals.items())
        ]
        return self._total.to_json() | {
            "submissions": len(self.submissions),
            "outcomes": {o.value: self.outcomes[o.value] for o in Outcome},
            "refusals": refusals,
            "late": self.late,
            "late_refusals": self.late_refusals,
            "not_sent": self.not_sent,
            "keys_failed": self.keys_failed,
            "violations": dict(self.violations),
            "examples": self.examples,
            "whole_ms": self.answer_time.to_json(),
            "first_token_ms": self.first_token.to_json(),
            "token_gap_ms": self.token_gap.to_json(),
            "send_lag_ms": self.send_lag.to_json(),
            "pipelines": _attainment_by_name(self._pipelines),
            "accounts": _attainment_by_name(self._accounts),
        }


def _attainment_by_name(counts: dict[str, AttainmentCount]) -> dict[str, Any]:
    return {name: counts[name].to_json() for name in sorted(counts)}
