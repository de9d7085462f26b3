"""Execution of keyed requests in the instance that owns their keys."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup, TaskStatus

from applespring.core import key_table, reason
from applespring.core.errors import RefusalError
from applespring.core.key import Key, issue_time_s
from applespring.core.key_table import KeyEntry, KeyTable, Outcome
from applespring.core.owner import CLOCK_SKEW_MAX_S, Claim, Ownership
from applespring.core.request import Answer, Request
from applespring.core.verdict import Verdict

# Added to the deadline of a run, so that the pipeline can still refuse the
# request with its more precise verdict.
RUN_GRACE_S = 0.5

Guard = Callable[[], None]
Execute = Callable[[Guard], Awaitable[Answer]]


def make_refusal(
    why: reason.Reason,
    detail: str = "",
    *,
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
    submission: Verdict = Verdict.NOT_RUN,
) -> RefusalError:
    """Returns a refusal; by default the key may have run, but not by this call.

    Args:
        why: The reason; a retryable one gets a `retry_after_s` of 1 s.
        detail: One sentence about this occurrence.
        verdict: Whether the key may have run, by any submission.
        submission: Whether this submission may have run.
    """
    retry_after_s = 1.0 if why.retryable else None
    return RefusalError(
        why,
        verdict,
        detail,
        retry_after_s=retry_after_s,
        submission_verdict=submission,
    )


def request_fingerprint(request: Request) -> bytes:
    """Returns a hash that distinguishes different requests under one key."""
    return key_table.fingerprint(
        request.pipeline, request.account, request.payload
    )


class KeyRun:
    """One execution of a keyed request.

    Attributes:
        entry: Its entry in the key table.
        claim: The claim on a caller-chosen key, None for an issued key.
        done: Set when `outcome` is set.
        outcome: The answer or refusal of this execution, None while it runs.
        calls_written: Number of stage calls that the guard has allowed.
        guard_refusal: The last refusal that the guard raised, or None.
    """

    __slots__ = (
        "entry",
        "claim",
        "done",
        "outcome",
        "calls_written",
        "guard_refusal",
    )

    def __init__(self, entry: KeyEntry, claim: Claim | None) -> None:
        self.entry = entry
        self.claim = claim
        self.done = anyio.Event()
        self.outcome: Outcome | None = None
        self.calls_written = 0
        self.guard_refusal: RefusalError | None = None


class KeyRunner:
    """Runs keyed requests locally and lets resubmissions join them.

    An execution belongs to the runner, not to the submission that started it.
    It continues until its deadline even if the caller disconnects, because a
    resubmission will ask for its outcome.

    Attributes:
        trusted_accounts: Names of the client accounts with a trusted clock.
        draining: Whether new caller-chosen keys are refused.
    """

    def __init__(
        self,
        ownership: Ownership,
        table: KeyTable,
        clock: Callable[[], float],
        unix_clock: Callable[[], float],
    ) -> None:
        self.trusted_accounts: frozenset[str] = frozenset()
        self.draining = False
        self._ownership = ownership
        self._table = table
        self._clock = clock
        self._unix_clock = unix_clock
        self._runs: dict[str, KeyRun] = {}
        self._tasks: TaskGroup | None = None

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the tasks of all executions until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            task_status.started()
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    def has_claimed_runs(self) -> bool:
        """Whether a request with a caller-chosen key is running."""
        return any(run.claim for run in self._runs.values())

    async def run_local(
        self, key: Key, request: Request, execute: Execute
    ) -> Answer:
        """Runs a request, joins its run, or returns its recorded outcome.

        Raises:
            RefusalError: Its verdicts are those of the key and of this
                submission.
        """
        now = self._clock()
        fingerprint = request_fingerprint(request)
        entry = self._table.match(key.text, fingerprint, now)
        if entry is not None and not entry.repeatable:
            return await self._join(entry, request)
        if self._tasks is None:
            raise make_refusal(
                reason.NOT_READY,
                "This instance does not run keyed requests yet, or no longer.",
            )
        self._check_age(key, request.account, now)
        claim = None
        if not key.names_owner:
            claim = self.claim(key, request.account, now)
            if self.draining:
                raise make_refusal(
                    reason.SHUTTING_DOWN, verdict=Verdict.NOT_RUN
                )
        entry, _ = self._table.begin(key.text, fingerprint, now)
        run = KeyRun(entry, claim)
        self._runs[key.text] = run
        self._tasks.start_soon(self._execute, run, request, execute)
        # The execution ends by itself, `RUN_GRACE_S` after the deadline at the
        # latest, and then has the more precise verdict. So wait for longer.
        await self._wait_for_outcome(run, request, 2 * RUN_GRACE_S)
        if run.outcome is None:
            raise make_refusal(
                reason.DEADLINE_EXCEEDED, submission=Verdict.MAY_HAVE_RUN
            )
        return self._answer_submission(run, run.outcome, request, is_first=True)

    def _check_age(self, key: Key, account: str, now: float) -> None:
        """Refuses a key that may have run and expired from the table since.

        Raises:
            RefusalError: KEY_EXPIRED, the key is older than `memory_s` of the
                key table.
        """
        age_s = 0.0
        if key.names_owner:
            age_s = now - key.issued_s
        elif account in self.trusted_accounts:
            issued_s = issue_time_s(key.text)
            if issued_s is not None:
                age_s = self._unix_clock() - issued_s + CLOCK_SKEW_MAX_S
        if age_s > self._table.memory_s:
            raise make_refusal(
                reason.KEY_EXPIRED,
                f"The key is {age_s:.0f} s old; keys are remembered for"
                f" {self._table.memory_s:.0f} s.",
            )

    async def _join(self, entry: KeyEntry, request: Request) -> Answer:
        run = self._runs.get(entry.key)
        if entry.outcome is not None or run is None:
            outcome = entry.outcome or make_refusal(reason.INTERNAL_ERROR)
            return self._answer_submission(
                None, outcome, request, is_first=False
            )
        await self._wait_for_outcome(run, request, 0.0)
        if run.outcome is None:
            raise make_refusal(reason.DEADLINE_EXCEEDED)
        return self._answer_submission(
            run, run.outcome, request, is_first=False
        )

    async def _wait_for_outcome(
        self, run: KeyRun, request: Request, grace_s: float
    ) -> None:
        remaining_s = request.deadline_at - self._clock() + grace_s
        with anyio.move_on_after(max(0.0, remaining_s)):
            await run.done.wait()

    def _answer_submission(
        self,
        run: KeyRun | None,
        outcome: Outcome,
        request: Request,
        *,
        is_first: bool,
    ) -> Answer:
        """Returns the answer, or raises the refusal, for one submission.

        Only the submission that started the run has its costs and verdict.
        """
        if isinstance(outcome, Answer):
            return Answer(
                request.request_id,
                outcome.pipeline,
                outcome.output,
                outcome.costs if is_first else (),
            )
        verdict = outcome.verdict
        if verdict is Verdict.NOT_RUN and not self._is_certainly_not_run(run):
            verdict = Verdict.MAY_HAVE_RUN
        submission = outcome.submission_verdict
        raise RefusalError(
            outcome.reason,
            verdict,
            outcome.detail,
            stage=outcome.stage,
            retry_after_s=outcome.retry_after_s,
            submission_verdict=submission if is_first else Verdict.NOT_RUN,
        )

    def _is_certainly_not_run(self, run: KeyRun | None) -> bool:
        """Whether the key can't have run anywhere since this run refused it."""
        now = self._clock()
        if run is None:
            return False
        if self._table.find(run.entry.key, now) is not run.entry:
            return False
        if run.claim is None:
            return True
        try:
            self._ownership.check(run.claim, now)
        except RefusalError:
            return False
        return True

    async def _execute(
        self, run: KeyRun, request: Request, execute: Execute
    ) -> None:
        outcome: Outcome = make_refusal(
            reason.DEADLINE_EXCEEDED, submission=Verdict.MAY_HAVE_RUN
        )

        def guard() -> None:
            self._check_write(run)

        remaining_s = request.deadline_at - self._clock() + RUN_GRACE_S
        try:
            with anyio.move_on_after(remaining_s):
                outcome = await execute(guard)
        except RefusalError as exc:
            outcome = _local_refusal(run, exc)
        except Exception as exc:
            outcome = make_refusal(
                reason.INTERNAL_ERROR,
                f"{type(exc).__name__}: {exc}",
                submission=Verdict.MAY_HAVE_RUN,
            )
        finally:
            # Also on cancellation: submissions that wait must get a verdict.
            run.outcome = outcome
            self._table.finish(run.entry, outcome, self._clock())
            if self._runs.get(run.entry.key) is run:
                del self._runs[run.entry.key]
            run.done.set()

    def _check_write(self, run: KeyRun) -> None:
        """Checks directly before a stage call is written, and counts the call.

        Raises:
            RefusalError: The run has ended, or its claim no longer holds.
        """
        try:
            if run.outcome is not None:
                raise make_refusal(
                    reason.DEADLINE_EXCEEDED,
                    "The run has already ended.",
                )
            if run.claim is not None:
                self._ownership.check(run.claim, self._clock())
        except RefusalError as exc:
            run.guard_refusal = exc
            raise
        run.calls_written += 1

    def claim(self, key: Key, account: str, now: float) -> Claim:
        """Returns a claim on a caller-chosen key.

        Raises:
            RefusalError: As raised by `Ownership.claim`.
        """
        trusted = account in self.trusted_accounts
        unix_s = self._unix_clock() if trusted else None
        return self._ownership.claim(
            key.text, account, now, trusted_unix_s=unix_s
        )


def _local_refusal(run: KeyRun, exc: RefusalError) -> RefusalError:
    """Returns a refusal whose verdict covers this execution alone.

    The guard refuses with MAY_HAVE_RUN, since another instance may own the key
    now. The local table records only local executions: if the guard allowed no
    call, the key may run here again under a new claim.
    """
    if exc is not run.guard_refusal:
        return exc
    verdict = Verdict.MAY_HAVE_RUN if run.calls_written else Verdict.NOT_RUN
    return RefusalError(
        exc.reason, verdict, exc.detail, retry_after_s=exc.retry_after_s
    )
