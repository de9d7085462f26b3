"""Runs the stages of a request by submitting their pieces to keepers."""

import itertools
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
from applespring.core.queue_waits import excess_s, retry_after_s
from applespring.core.verdict import Verdict
from applespring.peer import message
from applespring.peer.transport import PeerLostError, PeerUnreachableError
from applespring.relay.keeper import OVERLOADED
from applespring.relay.peers import Peers
from applespring.relay.protocol import PieceReply
from applespring.relay.stagerun import StageRun, Ticket
from applespring.relay.state import State

# How often the keeper of submitted pieces is checked for life.
CHECK_S = 0.1
# Keepers that are asked before a stage is given up.
KEEPERS_MAX = 3
# Times that pieces of a stage are submitted anew after a loss.
RESUBMITS_MAX = 6
# Expected time from the last stage to the first event of the answer.
RUN_S = 0.25
# A request given up in its stages may come back after this time.
LATE_RETRY_S = 0.5
# The same after a stage that failed too often.
FAILED_RETRY_S = 1.0
# Time in which an engine that takes a request at once has fetched its inputs:
# twice what ten results of 3 MB take on a link of 5 Gbit/s.
FETCH_S = 0.1


class Staging:
    """Submits the stages of this instance's requests."""

    def __init__(self, state: State, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        self._numbers = itertools.count(1)
        self._tickets: dict[int, Ticket] = {}
        self._tasks: TaskGroup | None = None
        peers.handle(message.StageDone, self._on_done)

    async def run(self) -> None:
        """Sends releases and cancellations until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            await anyio.sleep_forever()

    async def execute(self, run: StageRun) -> None:
        """Executes every stage of a request.

        Raises:
            RefusalError: A stage cannot be done; the request has not run.
        """
        self._check_waits(run)
        whole = False
        try:
            while not run.chain.done:
                await self._submit_due(run)
                with anyio.move_on_after(CHECK_S):
                    await run.changed.wait()
                run.changed = anyio.Event()
                await self._resubmit(run, self._take_missing(run))
                for stage, handles in run.chain.take_unneeded().items():
                    self.release(run.chain.steps[stage].pool, handles)
            whole = True
        finally:
            for number in run.tickets:
                self._tickets.pop(number, None)
            if not whole:
                self.abandon(run)

    async def repeat(self, run: StageRun, cause: str) -> None:
        """Executes every stage again after an engine lacked a result.

        Raises:
            RefusalError: That happened before, or a stage cannot be done; the
                request has not run.
        """
        if run.repeated:
            raise RefusalError(
                reason.STAGE_FAILED,
                Verdict.NOT_RUN,
                f"an engine lacks a result again: {cause}",
                retry_after_s=FAILED_RETRY_S,
            )
        run.repeated = True
        logger.bind(event="stages_repeated", request=run.req.request_id).info(
            "an engine lacks a result: {}", cause
        )
        self.release_rest(run)
        run.chain.restart_all()
        run.made.clear()
        await self.execute(run)

    async def _submit_due(self, run: StageRun) -> None:
        for index in run.chain.due():
            run.chain.start(index)
            await self._submit(run, index, run.chain.missing(index))

    def _take_missing(self, run: StageRun) -> dict[int, set[int]]:
        """Takes back the pieces to submit anew, by stage.

        Raises:
            RefusalError: A piece could not be done in time.
        """
        missing = self._take_lost(run.tickets)
        for stage, segment, failure in run.failures:
            if failure == PieceReply.LATE:
                raise RefusalError(
                    reason.DEADLINE_UNREACHABLE,
                    Verdict.NOT_RUN,
                    f"stage {stage} cannot be done in time",
                    retry_after_s=LATE_RETRY_S,
                )
            if failure == PieceReply.DENIED:
                raise RefusalError(
                    reason.STAGE_FAILED,
                    Verdict.NOT_RUN,
                    f"stage {stage} failed and its retries are used up",
                    retry_after_s=FAILED_RETRY_S,
                )
            missing.setdefault(stage, set()).add(segment)
            if failure == PieceReply.INPUT_LOST:
                for before in run.chain.steps[stage].after:
                    if before in run.chain.steps:
                        run.chain.restart(before)
        run.failures.clear()
        return missing

    async def _resubmit(
        self, run: StageRun, missing: Mapping[int, set[int]]
    ) -> None:
        """Submits pieces anew whose keeper, upstream or inputs are gone.

        Raises:
            RefusalError: That happened too often, or no keeper takes them.
        """
        if not missing:
            return
        run.resubmits += 1
        if run.resubmits > RESUBMITS_MAX:
            raise RefusalError(
                reason.STAGE_FAILED,
                Verdict.NOT_RUN,
                "a stage failed too often",
                retry_after_s=FAILED_RETRY_S,
            )
        for stage, segments in missing.items():
            # A stage that was restarted is submitted when it is due.
            if run.chain.is_started(stage):
                still = segments & set(run.chain.missing(stage))
                await self._submit(run, stage, sorted(still))

    def _check_waits(self, run: StageRun) -> None:
        """Refuses a request that its stages would hold for too long.

        Raises:
            RefusalError: It should come back later.
        """
        now = self._state.clock()
        excess = excess_s(
            run.chain,
            run.call_s,
            self._state.waits,
            run_s=RUN_S,
            target_in_s=run.aim_at - now,
            leaves_in_s=run.leaves_at - now,
            now=now,
        )
        if excess > 0.0:
            raise RefusalError(
                reason.OVERLOADED,
                Verdict.NOT_RUN,
                f"the stages would end {excess:.2f} s too late",
                retry_after_s=retry_after_s(excess, run.leaves_at - now),
            )

    def abandon(self, run: StageRun) -> None:
        """Withdraws what waits for a request and releases its results."""
        self.release_rest(run)
        if not run.chain.started or self._tasks is None:
            return
        cancel = message.StageCancel(request=run.req.request_id)
        for pool in {step.pool for step in run.chain.steps.values()}:
            keeper = self._keepers(pool)[0]
            self._tasks.start_soon(self._send, keeper, cancel)

    def release_rest(self, run: StageRun) -> None:
        """Releases every result of a request that is still held."""
        for stage, handles in run.chain.take_remaining().items():
            self.release(run.chain.steps[stage].pool, handles)

    @contextmanager
    def release_when_read(self, run: StageRun) -> Iterator[None]:
        """Releases the results of a request once its engine has fetched them.

        An engine fetches its inputs before it reads the prompt, and nothing
        else than its answer tells when; `FETCH_S` is allowed for it. Nothing
        is released any more after the block.
        """
        scope = anyio.CancelScope()

        async def release() -> None:
            with scope:
                await anyio.sleep(FETCH_S)
                self.release_rest(run)

        if self._tasks is not None and run.chain.steps:
            self._tasks.start_soon(release)
        try:
            yield
        finally:
            scope.cancel()

    def release(self, pool: str, handles: Sequence[str]) -> None:
        """Has the keeper of a pool release results."""
        keepers = self._keepers(pool)
        if self._tasks is None or not handles or not keepers:
            return
        msg = message.StageRelease(
            pool=pool,
            handles=tuple(message.InputHandle(handle=h) for h in handles),
        )
        self._tasks.start_soon(self._send, keepers[0], msg)

    async def _send(self, name: str, msg: message.Message) -> None:
        try:
            await self._peers.request(self._peers.address_of(name), msg)
        except ApplespringError as exc:
            logger.bind(event="peer_send_failed", peer=name).debug("{}", exc)

    def _keepers(self, pool: str) -> list[str]:
        now = self._state.clock()
        link_mbps = self._state.settings.link_mbps
        ranked = self._peers.table.rank_schedulers(
            pool,
            now,
            self_link_mbps=None if self._state.leaving else link_mbps,
        )
        return ranked or [self._peers.name]

    def _take_lost(self, tickets: set[int]) -> dict[int, set[int]]:
        """Takes back the pieces whose keeper is gone, by stage."""
        now = self._state.clock()
        lost: dict[int, set[int]] = {}
        for number in list(tickets):
            ticket = self._tickets.get(number)
            if ticket is None or not ticket.missing:
                tickets.discard(number)
                self._tickets.pop(number, None)
                continue
            if ticket.keeper == self._peers.name:
                continue
            if not self._peers.table.is_reachable(
                ticket.keeper, ticket.incarnation, now
            ):
                logger.bind(event="keeper_lost", keeper=ticket.keeper).warning(
                    "pieces are submitted again"
                )
                lost.setdefault(ticket.stage, set()).update(ticket.missing)
                tickets.discard(number)
                self._tickets.pop(number, None)
        return lost

    async def _submit(
        self, run: StageRun, index: int, segments: Sequence[int]
    ) -> None:
        """Submits pieces of one stage to the first keeper that takes them.

        Raises:
            RefusalError: The queue is too long, or no keeper answers.
        """
        if not segments:
            return
        step = run.chain.steps[index]
        msg = self._make_submission(run, index, segments)
        detail = "no instance keeps the queue"
        candidates = self._keepers(step.pool)[:KEEPERS_MAX]
        if self._peers.name not in candidates:
            candidates.append(self._peers.name)
        for name in candidates:
            # Results may arrive before the acknowledgement.
            self._open_ticket(run, msg, name, segments)
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
                ).warning("{}", exc)
                continue
            self._peers.table.confirm(name, self._state.clock())
            if not isinstance(reply, message.StageAck):
                detail = f"instance {name} sent no acknowledgement"
                continue
            if reply.accepted:
                return
            if reply.reason == OVERLOADED:
                self._tickets.pop(msg.ticket, None)
                raise RefusalError(
                    reason.OVERLOADED,
                    Verdict.NOT_RUN,
                    f"the queue of stage {index} is too long",
                    retry_after_s=reply.retry_after_s,
                )
            detail = f"instance {name}: {reply.reason}"
        self._tickets.pop(msg.ticket, None)
        raise RefusalError(
            reason.NO_UPSTREAM,
            Verdict.NOT_RUN,
            detail,
            retry_after_s=LATE_RETRY_S,
        )

    def _make_submission(
        self, run: StageRun, index: int, segments: Sequence[int]
    ) -> message.StageSubmit:
        """Returns the message that submits pieces of a stage."""
        step = run.chain.steps[index]
        now = self._state.clock()
        rest = remaining_s(run.chain, index, run.call_s, RUN_S)
        inputs = run.chain.inputs(index)
        return message.StageSubmit(
            origin=self._peers.name,
            origin_address=self._peers.address,
            ticket=next(self._numbers),
            pool=step.pool,
            request=run.req.request_id,
            stage=index,
            deadline_s=run.leaves_at - now - rest,
            aim_s=run.aim_at - now - rest,
            run_s=rest,
            priority=max(0, run.priority),
            failure_domain=run.choose_domain(index),
            result_bytes=step.result_bytes,
            begun=len(run.chain.started_stages()) > 1 or bool(step.after),
            inputs=tuple(message.InputHandle(handle=h) for h in inputs),
            pieces=tuple(
                message.PieceOrder(segment=s, key=run.req.piece_key)
                for s in segments
            ),
        )

    def _open_ticket(
        self,
        run: StageRun,
        msg: message.StageSubmit,
        keeper: str,
        segments: Sequence[int],
    ) -> None:
        peer = self._peers.table.get(keeper)
        incarnation = peer.incarnation if peer else self._peers.incarnation
        self._tickets[msg.ticket] = Ticket(
            msg.ticket, msg.stage, keeper, incarnation, segments, run
        )
        run.tickets.add(msg.ticket)

    async def _on_done(self, msg: message.StageDone) -> message.Message:
        ticket = self._tickets.get(msg.ticket)
        if ticket is None:
            return message.Ack(accepted=False, detail="unknown ticket")
        run = ticket.run
        for result in msg.results:
            if result.segment not in ticket.missing:
                continue
            ticket.missing.discard(result.segment)
            if result.handle:
                run.chain.record_result(
                    ticket.stage, result.segment, result.handle
                )
                step = run.chain.steps[ticket.stage]
                domain = result.failure_domain
                made = run.made.setdefault(ticket.stage, {})
                made[domain] = made.get(domain, 0.0) + step.result_bytes
            else:
                run.failures.append(
                    (ticket.stage, result.segment, result.failure)
                )
        run.changed.set()
        return message.Ack()
