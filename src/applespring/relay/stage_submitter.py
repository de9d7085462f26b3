"""Executes the stages of a request by submitting pieces to schedulers."""

import itertools
from collections import OrderedDict
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from applespring.core import reason
from applespring.core.chain import remaining_s
from applespring.core.errors import (
    ApplespringError,
    MessageError,
    RefusalError,
)
from applespring.core.homes import is_within
from applespring.core.notices import spread_return_s
from applespring.core.queue_waits import excess_s, retry_after_s
from applespring.core.verdict import Verdict
from applespring.peer import message
from applespring.peer.transport import PeerLostError, PeerUnreachableError
from applespring.relay.availability import make_unavailable_refusal
from applespring.relay.peers import Peers
from applespring.relay.protocol import PieceReply
from applespring.relay.stage_run import StageRun, StageSubmission
from applespring.relay.stage_scheduler import (
    EVACUATED,
    OVERLOADED,
    QUARANTINED,
)
from applespring.relay.state import RelayState

# Interval at which the schedulers of submitted pieces are checked.
SCHEDULER_CHECK_INTERVAL_S = 0.1
# Schedulers that are tried before a request is refused, this instance aside.
SCHEDULERS_MAX = 3
# How many times the lost or failed pieces of a request are submitted again.
RESUBMITS_MAX = 6
# Submissions of a start have numbers that begin with its time, so that those
# of another start differ unless it made this many in each millisecond.
SUBMISSIONS_PER_MS = 1 << 16
# Completed submissions that are recorded. A scheduler that got no answer sends
# results again within seconds.
COMPLETED_MAX = 4096
# Retry-after time of a request whose stages cannot be executed in time, or for
# which no scheduler was found.
LATE_RETRY_AFTER_S = 0.5
# Retry-after time of a request with a stage that failed too often.
FAILED_RETRY_AFTER_S = 1.0
# Time for an engine that starts a request at once to fetch its inputs: twice
# what ten results of 3 MB take on a link of 5 Gbit/s.
INPUT_FETCH_S = 0.1


class StageSubmitter:
    """Submits the stages of local requests and receives their results."""

    def __init__(self, state: RelayState, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        # Schedulers send results until they are accepted, so those for a former
        # start of this instance may still arrive.
        self._submission_numbers = itertools.count(
            peers.incarnation * SUBMISSIONS_PER_MS + 1
        )
        self._submissions: dict[int, StageSubmission] = {}
        # Numbers of submissions whose results have all come, oldest first.
        self._completed: OrderedDict[int, None] = OrderedDict()
        self._tasks: TaskGroup | None = None
        peers.register_handler(message.StageDone, self._on_done)

    async def run(self) -> None:
        """Runs the tasks that send releases and cancellations."""
        async with anyio.create_task_group() as self._tasks:
            await anyio.sleep_forever()

    async def execute(self, run: StageRun) -> None:
        """Executes all stages of a request.

        Ends `run.run_s` before the caller leaves, even while a call or a
        scheduler does not answer. An engine that got the results later would
        not send its first event in time, and the caller could not read a
        refusal any more.

        Raises:
            RefusalError: A stage cannot be executed; the request has not run.
        """
        limit_s = run.leaves_at - run.run_s - self._state.clock()
        with anyio.move_on_after(max(0.0, limit_s)):
            await self._execute(run)
            return
        raise RefusalError(
            reason.DEADLINE_UNREACHABLE,
            Verdict.NOT_RUN,
            f"the stages did not end within {limit_s:.2f} s, and the caller "
            f"leaves {run.run_s:.2f} s after that",
            retry_after_s=LATE_RETRY_AFTER_S,
        )

    async def _execute(self, run: StageRun) -> None:
        """Executes all stages of a request, however long that takes.

        Raises:
            RefusalError: A stage cannot be executed; the request has not run.
        """
        await self._peers.wait_joined()
        self._check_homes(run)
        self._check_queue_waits(run)
        completed = False
        try:
            while not run.chain.done:
                if not is_within(run.regions, run.read_regions()):
                    await self._move_to_homes(run)
                await self._submit_due(run)
                with anyio.move_on_after(SCHEDULER_CHECK_INTERVAL_S):
                    await run.results_arrived.wait()
                run.results_arrived = anyio.Event()
                await self._resubmit(run, self._collect_missing(run))
                for stage, handles in run.chain.take_unneeded().items():
                    self._release(run, run.chain.steps[stage].pool, handles)
            completed = True
        finally:
            for number in run.submission_numbers:
                self._close_submission(number)
            if not completed:
                self.abandon(run)

    async def repeat(self, run: StageRun, cause: str) -> None:
        """Executes all stages again after an engine lacked a result.

        Raises:
            RefusalError: The stages were executed again before, or one cannot
                be executed; the request has not run.
        """
        if run.repeated:
            raise RefusalError(
                reason.STAGE_FAILED,
                Verdict.NOT_RUN,
                f"an engine lacks a result again: {cause}",
                retry_after_s=FAILED_RETRY_AFTER_S,
            )
        run.repeated = True
        await self.execute_again(run, f"an engine lacks a result: {cause}")

    async def execute_again(self, run: StageRun, cause: str) -> None:
        """Executes all stages again, since their results are gone.

        Raises:
            RefusalError: A stage cannot be executed.
        """
        logger.bind(event="stages_repeated", request=run.req.request_id).info(
            "stages of request {} are executed again: {}",
            run.req.request_id,
            cause,
        )
        self.release_remaining(run)
        run.chain.restart_all()
        run.result_bytes_by_domain.clear()
        await self.execute(run)

    def _check_homes(self, run: StageRun) -> None:
        """Refuses a request if a stage has no upstream in its homes.

        Raises:
            RefusalError: That is so; the request has not run.
        """
        run.regions = run.read_regions()
        if run.regions is None:
            return
        for step in run.chain.steps.values():
            if not self._state.staying_upstreams(step.pool, run.regions):
                raise make_unavailable_refusal(
                    self._state, step.pool, run.req.request_id, run.regions
                )

    async def _move_to_homes(self, run: StageRun) -> None:
        """Submits pieces again that a newer document binds to other homes.

        Raises:
            RefusalError: A stage has no upstream there, or no scheduler accepts
                the pieces.
        """
        missing: dict[int, set[int]] = {}
        for number in list(run.submission_numbers):
            submission = self._submissions.pop(number, None)
            run.submission_numbers.discard(number)
            if submission is None or submission.withdrawn:
                continue
            if submission.missing:
                missing.setdefault(submission.stage, set()).update(
                    submission.missing
                )
                self._withdraw(submission)
        self._check_homes(run)
        await self._resubmit(run, missing)

    async def _submit_due(self, run: StageRun) -> None:
        for index in run.chain.due():
            run.chain.start(index)
            await self._submit(run, index, run.chain.missing(index))

    def _collect_missing(self, run: StageRun) -> dict[int, set[int]]:
        """Returns the segments to submit again, by stage.

        Raises:
            RefusalError: A piece cannot be executed in time, or failed and may
                not be retried.
        """
        missing = self._collect_lost(run.submission_numbers)
        for stage, segment, failure in run.failures:
            if failure == PieceReply.LATE:
                raise RefusalError(
                    reason.DEADLINE_UNREACHABLE,
                    Verdict.NOT_RUN,
                    f"stage {stage} cannot be executed in time",
                    retry_after_s=LATE_RETRY_AFTER_S,
                )
            if failure == PieceReply.DENIED:
                raise RefusalError(
                    reason.STAGE_FAILED,
                    Verdict.NOT_RUN,
                    f"stage {stage} failed and the retry budget of its pool is "
                    "used up",
                    retry_after_s=FAILED_RETRY_AFTER_S,
                )
            if failure == PieceReply.QUARANTINED:
                raise _make_quarantine_refusal(stage)
            if failure == EVACUATED and self._state.is_pool_evacuated(
                run.chain.steps[stage].pool
            ):
                raise _make_evacuation_refusal(stage)
            missing.setdefault(stage, set()).add(segment)
            if failure == PieceReply.INPUT_LOST:
                for predecessor in run.chain.steps[stage].after:
                    if predecessor in run.chain.steps:
                        run.chain.restart(predecessor)
        run.failures.clear()
        return missing

    async def _resubmit(
        self, run: StageRun, missing: Mapping[int, set[int]]
    ) -> None:
        """Submits pieces again whose scheduler, call or inputs were lost.

        Raises:
            RefusalError: It happened more than `RESUBMITS_MAX` times, or no
                scheduler accepts them.
        """
        if not missing:
            return
        run.resubmits += 1
        if run.resubmits > RESUBMITS_MAX:
            raise RefusalError(
                reason.STAGE_FAILED,
                Verdict.NOT_RUN,
                f"stages failed more than {RESUBMITS_MAX} times",
                retry_after_s=FAILED_RETRY_AFTER_S,
            )
        for stage, segments in missing.items():
            # A restarted stage is submitted when its inputs are complete.
            if run.chain.is_started(stage):
                still_missing = segments & set(run.chain.missing(stage))
                await self._submit(run, stage, sorted(still_missing))

    def _check_queue_waits(self, run: StageRun) -> None:
        """Refuses a request whose stages are expected to end too late.

        Raises:
            RefusalError: They are expected to end too late; the caller may
                retry later.
        """
        now = self._state.clock()
        excess = excess_s(
            run.chain,
            run.call_s,
            self._state.queue_waits,
            run_s=run.run_s,
            target_in_s=run.target_at - now,
            leaves_in_s=run.leaves_at - now,
            now=now,
        )
        if excess > 0.0:
            pools = {step.pool for step in run.chain.steps.values()}
            opens_in_s = max(
                self._state.queue_waits.opens_in_s(pool, now) for pool in pools
            )
            raise RefusalError(
                reason.OVERLOADED,
                Verdict.NOT_RUN,
                f"the stages are expected to end {excess:.2f} s too late",
                retry_after_s=max(
                    spread_return_s(opens_in_s, run.req.request_id)
                    if opens_in_s
                    else 0.0,
                    retry_after_s(excess, run.leaves_at - now),
                ),
                retry_after_known=opens_in_s > 0.0,
            )

    def abandon(self, run: StageRun) -> None:
        """Withdraws the queued pieces of a request and releases its results."""
        self.release_remaining(run)
        if not run.chain.started or self._tasks is None:
            return
        cancel = message.StageCancel(request=run.req.request_id)
        for pool in {step.pool for step in run.chain.steps.values()}:
            scheduler = self._state.rank_schedulers(pool, run.regions)[0]
            self._tasks.start_soon(self._send, scheduler, cancel)

    def release_remaining(self, run: StageRun) -> None:
        """Releases all results of a request that are not released yet."""
        for stage, handles in run.chain.take_remaining().items():
            self._release(run, run.chain.steps[stage].pool, handles)

    @contextmanager
    def release_after_fetch(self, run: StageRun) -> Iterator[None]:
        """Releases the results of a request once its engine has fetched them.

        An engine fetches its inputs before it reads the prompt, and only its
        answer shows when that is done; `INPUT_FETCH_S` is allowed for it. No
        release is sent after the block.
        """
        scope = anyio.CancelScope()

        async def release() -> None:
            with scope:
                await anyio.sleep(INPUT_FETCH_S)
                self.release_remaining(run)

        if self._tasks is not None and run.chain.steps:
            self._tasks.start_soon(release)
        try:
            yield
        finally:
            scope.cancel()

    def _release(
        self, run: StageRun, pool: str, handles: Sequence[str]
    ) -> None:
        """Asks the scheduler of a request's pieces to release results."""
        schedulers = self._state.rank_schedulers(pool, run.regions)
        if self._tasks is None or not handles or not schedulers:
            return
        msg = message.StageRelease(
            pool=pool,
            handles=tuple(message.InputHandle(handle=h) for h in handles),
        )
        self._tasks.start_soon(self._send, schedulers[0], msg)

    async def _send(self, name: str, msg: message.Message) -> None:
        try:
            await self._peers.request(self._peers.address_of(name), msg)
        except ApplespringError as exc:
            logger.bind(event="peer_send_failed", peer=name).debug(
                "{} was not delivered to instance {}: {}",
                type(msg).__name__,
                name,
                exc,
            )

    def _collect_lost(self, numbers: set[int]) -> dict[int, set[int]]:
        """Returns the segments whose scheduler is unreachable, by stage.

        Ends their submissions, and those without missing segments.
        """
        now = self._state.clock()
        lost: dict[int, set[int]] = {}
        for number in list(numbers):
            submission = self._submissions.get(number)
            if submission is None or not submission.missing:
                numbers.discard(number)
                self._close_submission(number)
                continue
            if submission.withdrawn or submission.scheduler == self._peers.name:
                continue
            if not self._peers.table.is_reachable(
                submission.scheduler, submission.incarnation, now
            ):
                logger.bind(
                    event="keeper_lost", keeper=submission.scheduler
                ).warning(
                    "scheduler {} is unreachable; {} pieces of stage {} are "
                    "submitted again",
                    submission.scheduler,
                    len(submission.missing),
                    submission.stage,
                )
                lost.setdefault(submission.stage, set()).update(
                    submission.missing
                )
                numbers.discard(number)
                self._submissions.pop(number, None)
                self._withdraw(submission)
        return lost

    def _close_submission(self, number: int) -> None:
        """Ends a submission; it is recorded whether all results have come."""
        submission = self._submissions.pop(number, None)
        if submission is not None and not submission.missing:
            self._completed[number] = None
            while len(self._completed) > COMPLETED_MAX:
                self._completed.popitem(last=False)

    def _withdraw(self, submission: StageSubmission) -> None:
        """Asks a scheduler that may only be slow to drop pieces.

        They are submitted to another one, and would be executed twice.
        """
        submission.withdrawn = True
        if self._tasks is None:
            return
        cancel = message.StageCancel(
            request=submission.run.req.request_id,
            origin_address=self._peers.address,
            ticket=submission.number,
        )
        self._tasks.start_soon(self._send, submission.scheduler, cancel)

    async def _submit(
        self, run: StageRun, index: int, segments: Sequence[int]
    ) -> None:
        """Submits pieces of a stage to the first scheduler that accepts them.

        Raises:
            RefusalError: The queue is too long, or no scheduler accepts them.
        """
        if not segments:
            return
        step = run.chain.steps[index]
        msg = self._make_submission(run, index, segments)
        detail = "no instance schedules the pool"
        candidates = self._state.rank_schedulers(step.pool, run.regions)
        candidates = candidates[:SCHEDULERS_MAX]
        if self._peers.name not in candidates:
            candidates.append(self._peers.name)
        for name in candidates:
            # A scheduler before may have got the message, and send results.
            msg.ticket = next(self._submission_numbers)
            # Results may arrive before the acknowledgement.
            submission = self._open_submission(run, msg, name, segments)
            try:
                reply = await self._peers.request(
                    self._peers.address_of(name), msg
                )
            except (PeerUnreachableError, PeerLostError, MessageError) as exc:
                detail = str(exc)
                self._peers.table.suspect(name, self._state.clock())
                logger.bind(
                    event="keeper_unreachable",
                    request=run.req.request_id,
                    keeper=name,
                ).warning(
                    "pieces of stage {} were not submitted to scheduler {}: {}",
                    index,
                    name,
                    exc,
                )
                if isinstance(exc, PeerUnreachableError):
                    self._submissions.pop(msg.ticket, None)
                else:
                    self._withdraw(submission)
                continue
            self._peers.table.confirm(name, self._state.clock())
            if not isinstance(reply, message.StageAck):
                detail = f"instance {name} sent no acknowledgement"
                self._withdraw(submission)
                continue
            if reply.accepted:
                return
            self._submissions.pop(msg.ticket, None)
            if reply.reason == OVERLOADED:
                raise RefusalError(
                    reason.OVERLOADED,
                    Verdict.NOT_RUN,
                    f"the queue of pool {step.pool} is too long for stage "
                    f"{index}",
                    retry_after_s=reply.retry_after_s,
                    retry_after_known=reply.retry_after_known,
                )
            if reply.reason == QUARANTINED:
                raise _make_quarantine_refusal(index)
            # Another scheduler may not have learned of an order's end yet.
            if reply.reason == EVACUATED and self._state.is_pool_evacuated(
                step.pool
            ):
                raise _make_evacuation_refusal(index)
            detail = f"instance {name}: {reply.reason}"
        raise RefusalError(
            reason.NO_UPSTREAM,
            Verdict.NOT_RUN,
            detail,
            retry_after_s=LATE_RETRY_AFTER_S,
        )

    def _make_submission(
        self, run: StageRun, index: int, segments: Sequence[int]
    ) -> message.StageSubmit:
        """Returns the message that submits pieces of a stage.

        Its deadline and target leave time for what follows the stage.
        """
        step = run.chain.steps[index]
        now = self._state.clock()
        after_stage_s = remaining_s(run.chain, index, run.call_s, run.run_s)
        inputs = run.chain.inputs(index)
        return message.StageSubmit(
            origin=self._peers.name,
            origin_address=self._peers.address,
            # Each scheduler that is tried gets a ticket of its own.
            ticket=0,
            pool=step.pool,
            request=run.req.request_id,
            stage=index,
            deadline_s=run.leaves_at - now - after_stage_s,
            aim_s=run.target_at - now - after_stage_s,
            run_s=after_stage_s,
            priority=max(0, run.priority),
            failure_domain=run.choose_domain(index),
            result_bytes=step.result_bytes,
            begun=len(run.chain.started_stages()) > 1 or bool(step.after),
            inputs=tuple(message.InputHandle(handle=h) for h in inputs),
            pieces=tuple(
                message.PieceOrder(segment=s, key=run.req.piece_key)
                for s in segments
            ),
            fingerprint=run.fingerprint,
            is_trial=run.is_trial,
            homes=tuple(
                message.HomeRegion(name=region)
                for region in sorted(run.regions or ())
            ),
            account=run.account,
        )

    def _open_submission(
        self,
        run: StageRun,
        msg: message.StageSubmit,
        scheduler: str,
        segments: Sequence[int],
    ) -> StageSubmission:
        peer = self._peers.table.get(scheduler)
        incarnation = peer.incarnation if peer else self._peers.incarnation
        submission = StageSubmission(
            msg.ticket, msg.stage, scheduler, incarnation, segments, run
        )
        self._submissions[msg.ticket] = submission
        run.submission_numbers.add(msg.ticket)
        return submission

    async def _on_done(self, msg: message.StageDone) -> message.Message:
        submission = self._submissions.get(msg.ticket)
        if submission is None:
            # Results come again if their scheduler did not get the answer. A
            # refusal would make it release them.
            return message.Ack(
                accepted=msg.ticket in self._completed, detail="unknown ticket"
            )
        run = submission.run
        unused: list[str] = []
        for result in msg.results:
            if result.segment not in submission.missing:
                continue
            submission.missing.discard(result.segment)
            if result.segment not in run.chain.missing(submission.stage):
                # Another scheduler that got the piece has sent its result.
                if result.handle not in run.chain.handles(submission.stage):
                    unused.append(result.handle)
                continue
            if result.handle:
                run.chain.record_result(
                    submission.stage, result.segment, result.handle
                )
                step = run.chain.steps[submission.stage]
                domain = result.failure_domain
                bytes_by_domain = run.result_bytes_by_domain.setdefault(
                    submission.stage, {}
                )
                bytes_by_domain[domain] = (
                    bytes_by_domain.get(domain, 0.0) + step.result_bytes
                )
            elif not submission.withdrawn:
                run.failures.append(
                    (submission.stage, result.segment, result.failure)
                )
        pool = run.chain.steps[submission.stage].pool
        self._release(run, pool, [handle for handle in unused if handle])
        run.results_arrived.set()
        return message.Ack()


def _make_quarantine_refusal(stage: int) -> RefusalError:
    """Returns the refusal of a request whose pieces crash upstreams."""
    return RefusalError(
        reason.REQUEST_QUARANTINED,
        Verdict.NOT_RUN,
        f"upstreams of stage {stage} crashed on pieces of this request",
    )


def _make_evacuation_refusal(stage: int) -> RefusalError:
    """Returns a refusal without Retry-After, since nothing tells the end."""
    return RefusalError(
        reason.NO_UPSTREAM,
        Verdict.NOT_RUN,
        f"all upstreams of stage {stage} are in evacuated failure domains",
    )
