"""The runner of an open-loop load."""

from collections.abc import Callable, Iterable

import anyio
import httpx

from applespring.load.arrival import AFTER_FAILURE, SAME_TIME, Arrival
from applespring.load.caller import Caller, Timing
from applespring.load.check import Expected, Outcome
from applespring.load.expect import expected_output
from applespring.load.record import Submission
from applespring.load.summary import Summary
from applespring.load.workload import Workload

PROGRESS_INTERVAL_S = 1.0


class Runner:
    """Sends each arrival at its time, whether or not earlier ones have ended.

    Attributes:
        in_flight: Number of requests in flight.
        in_flight_max: Bound of `in_flight`; further arrivals are not sent, only
            counted.
        resubmit_broken: Whether a request whose connection broke is submitted
            again to another target, with its key if it has one.
        sent: Number of requests sent so far.
        resubmitted: Number of requests submitted again after a broken
            connection.
    """

    def __init__(
        self,
        workload: Workload,
        caller: Caller,
        summary: Summary,
        in_flight_max: int,
        *,
        resubmit_broken: bool = False,
    ) -> None:
        self.in_flight = 0
        self.in_flight_max = in_flight_max
        self.resubmit_broken = resubmit_broken
        self.sent = 0
        self.resubmitted = 0
        self._workload = workload
        self._caller = caller
        self._summary = summary
        # Digests of the expected outputs of all requests sent so far.
        self._digests: set[str] = set()

    async def run(
        self, arrivals: Iterable[Arrival], report: Callable[[str], None]
    ) -> None:
        """Sends all arrivals and waits for each answer or its time-out."""
        start = anyio.current_time()
        async with anyio.create_task_group() as progress_tasks:
            progress_tasks.start_soon(self._report_progress, start, report)
            async with anyio.create_task_group() as tasks:
                for arrival in arrivals:
                    due = start + arrival.at_s
                    await anyio.sleep_until(due)
                    if self.in_flight >= self.in_flight_max:
                        self._summary.not_sent += 1
                        continue
                    self.in_flight += 1
                    tasks.start_soon(self._handle, arrival, due)
            progress_tasks.cancel_scope.cancel()

    async def _report_progress(
        self, start: float, report: Callable[[str], None]
    ) -> None:
        while True:
            await anyio.sleep(PROGRESS_INTERVAL_S)
            report(self.progress(anyio.current_time() - start))

    def progress(self, seconds: float) -> str:
        """Returns the progress line."""
        outcomes = self._summary.outcomes
        ended = outcomes.total()
        complete = outcomes[Outcome.WHOLE.value]
        refused = outcomes[Outcome.REFUSED.value]
        return (
            f"{seconds:.0f} s: sent {self.sent}, in flight {self.in_flight}, "
            f"whole {complete}, refused {refused}, "
            f"other {ended - complete - refused}, late {self._summary.late}"
        )

    async def _handle(self, arrival: Arrival, due: float) -> None:
        self._summary.send_lag.add(anyio.current_time() - due)
        try:
            attained = await self._request(arrival, due)
        finally:
            self.in_flight -= 1
        self._summary.add_request(arrival, attained)

    async def _request(self, arrival: Arrival, due: float) -> bool:
        key = arrival.key
        if arrival.keyed and self._workload.issued_keys:
            key = await self._take_key(arrival)
            if not key:
                self._summary.keys_failed += 1
                return False
            due = anyio.current_time()
        request_ids = {arrival.request_id}
        chain = self._workload.chains[arrival.pipeline]
        output = expected_output(chain, arrival.payload)
        expected = Expected(
            request_ids, arrival.pipeline, output, self._digests
        )
        self._digests.add(expected.digest)
        self.sent += 1
        if arrival.resubmit == SAME_TIME:
            request_ids.add(f"{arrival.request_id}-again")
            return await self._submit_both(arrival, key, expected, due)
        attained = await self._submit(arrival, 0, key, expected, due)
        # No other task has run since `_submit` appended the submission.
        outcome = self._summary.submissions[-1].result.outcome
        if attained or not self._should_resubmit(arrival, outcome):
            return attained
        request_ids.add(f"{arrival.request_id}-again")
        now = anyio.current_time()
        return await self._submit(arrival, 1, key, expected, now)

    def _should_resubmit(self, arrival: Arrival, outcome: Outcome) -> bool:
        if self.resubmit_broken and outcome is Outcome.BROKEN:
            self.resubmitted += 1
            return True
        return arrival.resubmit == AFTER_FAILURE

    async def _take_key(self, arrival: Arrival) -> str:
        """Returns an issued key, or "" if no target issues one."""
        targets = arrival.targets[: 2 if self.resubmit_broken else 1]
        for target in targets:
            try:
                return await self._caller.take_key(target)
            except (httpx.HTTPError, ValueError):
                continue
        return ""

    async def _submit_both(
        self, arrival: Arrival, key: str, expected: Expected, due: float
    ) -> bool:
        attained = [False, False]

        async def submit(submission_index: int) -> None:
            attained[submission_index] = await self._submit(
                arrival, submission_index, key, expected, due
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit, 0)
            tasks.start_soon(submit, 1)
        return any(attained)

    async def _submit(
        self,
        arrival: Arrival,
        submission_index: int,
        key: str,
        expected: Expected,
        due: float,
    ) -> bool:
        request_id = arrival.request_id + ("-again" if submission_index else "")
        timing = Timing(due)
        result = await self._caller.submit(
            arrival,
            target=arrival.targets[submission_index],
            request_id=request_id,
            key=key,
            expected=expected,
            timing=timing,
        )
        submission = Submission(
            request_id, key, arrival.pipeline, result, timing.ended
        )
        return self._summary.add_submission(submission, timing)
