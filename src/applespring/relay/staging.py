"""Runs the stages of a request by submitting their pieces to keepers."""

import itertools
from collections.abc import Iterable, Mapping, Sequence

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from applespring.core import reason
from applespring.core.chain import Chain, remaining_s
from applespring.core.errors import (
    ApplespringError,
    MessageError,
    RefusalError,
)
from applespring.core.route import RoutingDocument
from applespring.core.verdict import Verdict
from applespring.core.waits import RETRY_AFTER_MIN_S, excess_s
from applespring.peer import message
from applespring.peer.transport import PeerLostError, PeerUnreachableError
from applespring.relay.keeper import OVERLOADED
from applespring.relay.peers import Peers
from applespring.relay.protocol import CallerRequest, PieceReply
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
# Bytes of results or inputs of a stage that are worth a preferred domain.
DOMAIN_BYTES_MIN = 100_000
# Part of a full call that a stage is expected to take.
STAGE_FACTOR = 1.1


class _Ticket:
    """Pieces of a stage that a keeper has."""

    __slots__ = ("number", "stage", "keeper", "incarnation", "missing", "run")

    def __init__(
        self,
        number: int,
        stage: int,
        keeper: str,
        incarnation: int,
        missing: Sequence[int],
        run: "StageRun",
    ) -> None:
        self.number = number
        self.stage = stage
        self.keeper = keeper
        self.incarnation = incarnation
        self.missing = set(missing)
        self.run = run


class StageRun:
    """The stages of one request while they are executed.

    Attributes:
        chain: Their progress.
        made: Bytes of results of each stage by failure domain.
        changed: Set when results have arrived.
        failures: Failed pieces that arrived since the last look.
    """

    __slots__ = ("chain", "made", "changed", "failures")

    def __init__(self, chain: Chain) -> None:
        self.chain = chain
        self.made: dict[int, dict[str, float]] = {}
        self.changed = anyio.Event()
        self.failures: list[tuple[int, int, str]] = []

    def input_domains(self, stages: Iterable[int]) -> dict[str, float]:
        """Returns the bytes of results of some stages by failure domain."""
        total: dict[str, float] = {}
        for stage in stages:
            for domain, size in self.made.get(stage, {}).items():
                total[domain] = total.get(domain, 0.0) + size
        return total

    def final_domains(self) -> dict[str, float]:
        """Returns the bytes that the request itself takes, by domain."""
        return self.input_domains(self.chain.final_stages())

    def choose_domain(self, index: int, home: str) -> str:
        """Returns where a stage should be executed, or "" for anywhere."""
        step = self.chain.steps[index]
        inputs = self.input_domains(step.after)
        if sum(inputs.values()) >= DOMAIN_BYTES_MIN:
            return max(inputs, key=lambda domain: (inputs[domain], domain))
        made = step.result_bytes * self.chain.counts[index]
        return home if made >= DOMAIN_BYTES_MIN else ""


class Staging:
    """Submits the stages of this instance's requests."""

    def __init__(self, state: State, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        self._numbers = itertools.count(1)
        self._tickets: dict[int, _Ticket] = {}
        self._tasks: TaskGroup | None = None
        peers.handle(message.StageDone, self._on_done)

    async def run(self) -> None:
        """Sends releases and cancellations until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            await anyio.sleep_forever()

    async def execute(
        self,
        req: CallerRequest,
        run: StageRun,
        *,
        document: RoutingDocument,
        priority: int,
        aim_at: float,
        deadline_at: float,
        failure_domain: str,
    ) -> None:
        """Executes every stage.

        Args:
            req: The request.
            run: Its stages; results are collected there.
            document: Document in force at its arrival.
            priority: Its rank.
            aim_at: When its answer should begin.
            deadline_at: When its caller leaves.
            failure_domain: Where large results should be.

        Raises:
            RefusalError: A stage cannot be done; the request has not run.
        """
        call_s = expected_calls(run.chain, document)
        self._check_waits(run.chain, call_s, aim_at, deadline_at)
        resubmits = 0
        whole = False
        tickets: set[int] = set()
        try:
            while not run.chain.done:
                for index in run.chain.due():
                    run.chain.begin(index)
                    await self._submit(
                        req,
                        run,
                        index,
                        run.chain.missing(index),
                        call_s=call_s,
                        priority=priority,
                        aim_at=aim_at,
                        deadline_at=deadline_at,
                        failure_domain=failure_domain,
                        tickets=tickets,
                    )
                with anyio.move_on_after(CHECK_S):
                    await run.changed.wait()
                run.changed = anyio.Event()
                lost = self._take_lost(tickets)
                for stage, segment, failure in run.failures:
                    if failure == PieceReply.LATE:
                        raise RefusalError(
                            reason.DEADLINE_UNREACHABLE,
                            Verdict.NOT_RUN,
                            f"stage {stage} cannot be done in time",
                            retry_after_s=LATE_RETRY_S,
                        )
                    lost.setdefault(stage, set()).add(segment)
                    if failure == PieceReply.GONE:
                        for before in run.chain.steps[stage].after:
                            if before in run.chain.steps:
                                run.chain.restart(before)
                run.failures.clear()
                if lost:
                    resubmits += 1
                    if resubmits > RESUBMITS_MAX:
                        raise RefusalError(
                            reason.STAGE_FAILED,
                            Verdict.NOT_RUN,
                            "a stage failed too often",
                            retry_after_s=1.0,
                        )
                for stage, segments in lost.items():
                    if not run.chain.is_begun(stage):
                        continue
                    await self._submit(
                        req,
                        run,
                        stage,
                        sorted(segments & set(run.chain.missing(stage))),
                        call_s=call_s,
                        priority=priority,
                        aim_at=aim_at,
                        deadline_at=deadline_at,
                        failure_domain=failure_domain,
                        tickets=tickets,
                    )
                for stage, handles in run.chain.take_unneeded().items():
                    self.release(run.chain.steps[stage].pool, handles)
            whole = True
        finally:
            for number in tickets:
                self._tickets.pop(number, None)
            if not whole:
                self.abandon(req, run)

    def _check_waits(
        self,
        chain: Chain,
        call_s: Mapping[int, float],
        aim_at: float,
        deadline_at: float,
    ) -> None:
        """Refuses a request that its stages would hold for too long.

        Raises:
            RefusalError: It should come back later.
        """
        now = self._state.clock()
        excess = excess_s(
            chain,
            call_s,
            self._state.waits,
            run_s=RUN_S,
            aim_in_s=aim_at - now,
            stays_s=deadline_at - now,
            now=now,
        )
        if excess > 0.0:
            raise RefusalError(
                reason.OVERLOADED,
                Verdict.NOT_RUN,
                f"the stages would end {excess:.2f} s too late",
                retry_after_s=max(RETRY_AFTER_MIN_S, excess),
            )

    def abandon(self, req: CallerRequest, run: StageRun) -> None:
        """Withdraws what waits for a request and releases its results."""
        self.release_rest(run)
        pools = {step.pool for step in run.chain.steps.values()}
        if run.chain.begun and self._tasks is not None:
            for pool in pools:
                for name in self._keepers(pool)[:1]:
                    self._tasks.start_soon(
                        self._send,
                        name,
                        message.StageCancel(request=req.request_id),
                    )

    def release_rest(self, run: StageRun) -> None:
        """Releases every result of a request that is still held."""
        for stage, handles in run.chain.take_rest().items():
            self.release(run.chain.steps[stage].pool, handles)

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
        ranked = self._peers.table.rank_keepers(
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
        self,
        req: CallerRequest,
        run: StageRun,
        index: int,
        segments: Sequence[int],
        *,
        call_s: Mapping[int, float],
        priority: int,
        aim_at: float,
        deadline_at: float,
        failure_domain: str,
        tickets: set[int],
    ) -> None:
        """Submits pieces of one stage to the first keeper that takes them."""
        if not segments:
            return
        step = run.chain.steps[index]
        now = self._state.clock()
        rest = remaining_s(run.chain, index, call_s, RUN_S)
        begun = len(run.chain.begun_stages()) > 1 or bool(step.after)
        number = next(self._numbers)
        msg = message.StageSubmit(
            origin=self._peers.name,
            origin_address=self._peers.address,
            ticket=number,
            pool=step.pool,
            request=req.request_id,
            stage=index,
            deadline_s=deadline_at - now - rest,
            aim_s=aim_at - now - rest,
            run_s=rest,
            priority=max(0, priority),
            failure_domain=run.choose_domain(index, failure_domain),
            result_bytes=step.result_bytes,
            begun=begun,
            inputs=tuple(
                message.InputHandle(handle=h) for h in run.chain.inputs(index)
            ),
            pieces=tuple(
                message.PieceOrder(segment=s, key=req.piece_key)
                for s in segments
            ),
        )
        detail = "no instance keeps the queue"
        candidates = self._keepers(step.pool)[:KEEPERS_MAX]
        if self._peers.name not in candidates:
            candidates.append(self._peers.name)
        for name in candidates:
            peer = self._peers.table.get(name)
            ticket = _Ticket(
                number,
                index,
                name,
                peer.incarnation if peer else self._peers.incarnation,
                segments,
                run,
            )
            # Results may arrive before the acknowledgement.
            self._tickets[number] = ticket
            tickets.add(number)
            try:
                reply = await self._peers.request(
                    self._peers.address_of(name), msg
                )
            except (PeerUnreachableError, PeerLostError, MessageError) as exc:
                detail = str(exc)
                self._peers.table.suspect(name, self._state.clock())
                logger.bind(
                    event="keeper_unreachable",
                    request=req.request_id,
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
                self._tickets.pop(number, None)
                raise RefusalError(
                    reason.OVERLOADED,
                    Verdict.NOT_RUN,
                    f"the queue of stage {index} is too long",
                    retry_after_s=reply.retry_after_s,
                )
            detail = f"instance {name}: {reply.reason}"
        self._tickets.pop(number, None)
        raise RefusalError(
            reason.NO_UPSTREAM, Verdict.NOT_RUN, detail, retry_after_s=0.5
        )

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
                run.chain.finish(ticket.stage, result.segment, result.handle)
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


def expected_calls(chain: Chain, document: RoutingDocument) -> dict[int, float]:
    """Returns the expected time of a call of each stage, by index."""
    times = {}
    for index, step in chain.steps.items():
        spec = document.pools.get(step.pool)
        if spec is not None and spec.batch is not None:
            batch = spec.batch
            full_s = batch.call_s + batch.batch * batch.piece_s
            times[index] = STAGE_FACTOR * full_s
    return times
