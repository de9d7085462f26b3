"""Queues the pieces of stage pools and calls their upstreams.

Each pool has one scheduler, the first live instance by rendezvous hashing. The
other instances submit pieces to it and receive the results from it. When a
scheduler becomes unreachable, each submitter submits its pieces again to the
next one. A piece may be executed twice, so no queue has to be replicated or
handed over.
"""

import math
from collections import OrderedDict, deque
from collections.abc import (
    Awaitable,
    Callable,
    Container,
    Iterable,
    Sequence,
)

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from applespring.clock import wait_until
from applespring.core.batch import BatchQueue
from applespring.core.catalog import ListedUpstream
from applespring.core.crash_culprits import REQUEST_POSITION, piece_candidate
from applespring.core.crash_ledger import BrokenRequest
from applespring.core.errors import (
    ApplespringError,
    FailureKind,
    MessageError,
    StageError,
)
from applespring.core.notices import spread_return_s
from applespring.core.piece import Call, Piece
from applespring.core.queue_waits import RETRY_AFTER_MIN_S
from applespring.core.verdict import Verdict
from applespring.peer import message
from applespring.permits.broker import Permit, PermitBroker
from applespring.quarantine.crash_watch import CrashWatch, is_broken_off
from applespring.relay.client import (
    Answer,
    UpstreamClient,
    enforce_timeout,
)
from applespring.relay.guarded import run_guarded
from applespring.relay.metrics import RelayMetrics
from applespring.relay.peers import Peers
from applespring.relay.protocol import PieceReply, Protocol
from applespring.relay.state import RelayState

# A call times out after a multiple of its expected time, but not before the
# minimum.
CALL_TIMEOUT_MIN_S = 1.0
CALL_TIMEOUT_FACTOR = 3.0
# Silence after which a call ends that may not be made again. A sound upstream
# may be silent for a second or so (the users' rules).
SILENCE_MAX_S = 1.5
# A queue is checked at least this often, since deadlines pass without an event.
POLL_INTERVAL_S = 0.1
# Pause before results are sent again to an instance that did not answer,
# doubled up to the maximum.
DELIVERY_PAUSE_MIN_S = 0.05
DELIVERY_PAUSE_MAX_S = 0.4
RELEASE_TIMEOUT_S = 1.0
# Time allowed at a shutdown for returning pieces, two attempts at a submitter
# that does not answer.
RETURN_TIMEOUT_S = 0.8
# Bound of reported queue waits, which are infinite while no upstream can be
# called. A Retry-After is computed from them.
REPORTED_WAIT_MAX_S = 60.0
REPORT_TIMEOUT_S = 0.5
# How long the first calls of a pool wait for the reports of its upstreams. A
# report takes milliseconds, unless its upstream is silent.
FIRST_REPORT_WAIT_S = 0.1
# Interval between reports of an upstream whose memory results of unknown origin
# fill. Shorter than `UNKNOWN_RESULTS_S`, so that each report follows on the
# last.
REPORT_INTERVAL_S = 0.4
# Share of the lifetime of results for which pieces that read them may wait.
INPUT_WAIT_SHARE = 0.75
# Largest answer of a stage upstream: a call has tens of pieces, each answered
# with a handle of at most 255 characters. An instance may read the answers of
# all upstreams of its pools at once.
ANSWER_BYTES_MAX = 256 * 1024
# Handles for which the piece is recorded, from all connections. A connection
# remembers its own for as long as it is used.
HANDLES_MAX = 4096

# Latest releases that are repeated if one of them may have been refused, and
# upstreams for which they are recorded.
LATEST_RELEASES_MAX = 4
RELEASING_UPSTREAMS_MAX = 1200

# Why a scheduler refuses pieces. With MOVED it also returns queued pieces when
# its instance shuts down.
MOVED = "moved"
OVERLOADED = "overloaded"
UNKNOWN_POOL = "unknown_pool"
NO_HOME = "no_upstream_in_homes"
QUARANTINED = "quarantined"
# All upstreams of the pool are in evacuated failure domains.
EVACUATED = "evacuated"


class _Origin:
    """Peer address of the submitter of a piece, and its submission number."""

    __slots__ = ("address", "submission_number")

    def __eq__(self, other: object) -> bool:
        return isinstance(other, _Origin) and (
            (self.address, self.submission_number)
            == (other.address, other.submission_number)
        )

    def __hash__(self) -> int:
        return hash((self.address, self.submission_number))

    def __init__(self, address: str, submission_number: int) -> None:
        self.address = address
        self.submission_number = submission_number


class StageScheduler:
    """Queues and calls of the pools that this instance schedules."""

    def __init__(
        self,
        state: RelayState,
        peers: Peers,
        client: UpstreamClient,
        permits: PermitBroker,
        protocol: Protocol,
        crash_watch: CrashWatch,
        metrics: RelayMetrics,
    ) -> None:
        self._state = state
        self._peers = peers
        self._client = client
        self._permits = permits
        self._protocol = protocol
        self._crash_watch = crash_watch
        self._metrics = metrics
        self._queues: dict[str, BatchQueue] = {}
        self._wake_events: dict[str, anyio.Event] = {}
        # Id of the piece of each handle. An upstream that starts again may give
        # out the same handles again.
        self._piece_ids: OrderedDict[tuple[tuple[str, int], str], str] = (
            OrderedDict()
        )
        # Handles of the latest releases of each upstream.
        self._latest_releases: OrderedDict[
            tuple[str, int], deque[Sequence[str]]
        ] = OrderedDict()
        # Handles to release once their upstream's pause has ended.
        self._held_releases: dict[tuple[str, int], list[str]] = {}
        # Number of submissions whose results are being sent.
        self._deliveries = 0
        self._tasks: TaskGroup | None = None
        peers.register_handler(message.StageSubmit, self._on_submit)
        peers.register_handler(message.StageCancel, self._on_cancel)
        peers.register_handler(message.StageRelease, self._on_release)

    async def run(self) -> None:
        """Runs the queues until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            while True:
                # Peers receive the same queue waits by gossip.
                now = self._state.clock()
                for pool, waits in self.queue_waits().items():
                    self._state.queue_waits.put(pool, *waits, now)
                await anyio.sleep(POLL_INTERVAL_S)

    def _start(
        self, work: Callable[..., Awaitable[None]], *args: object
    ) -> None:
        """Starts work in the background, for one call, release or delivery."""
        assert self._tasks is not None
        self._tasks.start_soon(run_guarded, self._metrics, work, *args)

    def apply_evacuations(self, ended: Container[str]) -> None:
        """Applies a change of the evacuated failure domains at once.

        Args:
            ended: Domains that are not evacuated any more. Results that were
                not released meanwhile may fill the memory of their upstreams.
        """
        for pool, queue in self._queues.items():
            self._update_upstreams(pool, queue)
            self._wake_events[pool].set()
            if self._tasks is None or not self._reports_memory(queue):
                continue
            for upstream in self._state.usable_upstreams(pool):
                if upstream.failure_domain in ended:
                    self._start(self._check_free_memory, pool, queue, upstream)

    def queue_lengths(self) -> dict[str, int]:
        """Returns the number of waiting pieces by pool."""
        return {pool: len(queue) for pool, queue in self._queues.items()}

    def queue_waits(self) -> dict[str, tuple[float, float, float]]:
        """Returns the queue waits of pools with pieces or calls.

        Returns:
            By pool, the seconds that a piece waits if it can be on time, those
            that a late one waits, both at most `REPORTED_WAIT_MAX_S`, and those
            until the first pause ends if all upstreams are paused.
        """
        now = self._state.clock()
        return {
            pool: (
                min(REPORTED_WAIT_MAX_S, queue.wait_s(now, on_time=True)),
                min(REPORTED_WAIT_MAX_S, queue.wait_s(now)),
                queue.opens_in_s(now),
            )
            for pool, queue in self._queues.items()
            if len(queue) or queue.calls_in_progress()
        }

    @property
    def busy(self) -> bool:
        """Whether pieces wait, or calls or deliveries are in progress."""
        return self._deliveries > 0 or any(
            len(q) or q.calls_in_progress() for q in self._queues.values()
        )

    async def return_queued_pieces(self) -> None:
        """Sends every waiting piece back to its submitter as failed.

        The submitters submit them to the next scheduler. Called when this
        instance shuts down.
        """
        with anyio.move_on_after(RETURN_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for pool, queue in self._queues.items():
                    tasks.start_soon(
                        run_guarded,
                        self._metrics,
                        self._send_failures,
                        self._take_returned(pool, queue),
                        MOVED,
                    )

    def _take_returned(self, pool: str, queue: BatchQueue) -> list[Piece]:
        """Removes and returns the pieces that go back to their submitters."""
        pieces = queue.take_all()
        if pieces:
            logger.bind(
                event="queue_handed_back", pool=pool, pieces=len(pieces)
            ).info(
                "queue of pool {} returned to its submitters: {} pieces",
                pool,
                len(pieces),
            )
        return pieces

    def _get_or_create_queue(self, pool: str) -> BatchQueue | None:
        queue = self._queues.get(pool)
        if queue is None:
            doc = self._state.document
            spec = doc.pools.get(pool) if doc else None
            if spec is None or spec.batch is None or self._tasks is None:
                return None
            queue = self._queues[pool] = BatchQueue(
                spec.batch,
                self._state.domain_regions,
                self._state.settings.stage_order,
            )
            self._wake_events[pool] = anyio.Event()
            self._update_upstreams(pool, queue)
            reporting: list[ListedUpstream] = []
            if self._reports_memory(queue):
                # Results of a previous scheduler of the pool may fill it.
                reporting = self._state.usable_upstreams(pool)
            self._tasks.start_soon(self._schedule_pool, pool, queue, reporting)
            logger.bind(event="queue_kept", pool=pool).info(
                "this instance schedules pool {}", pool
            )
        return queue

    def _reports_memory(self, queue: BatchQueue) -> bool:
        """Returns whether the memory is larger than the reports' resolution."""
        resolution = self._protocol.report_resolution_bytes
        return queue.spec.result_memory_bytes > 2 * resolution

    def _update_upstreams(self, pool: str, queue: BatchQueue) -> None:
        upstreams = self._state.staying_upstreams(pool)
        closed_until = self._state.paused_until(pool)
        rates: dict[str, float] = {}
        for upstream in upstreams:
            limit = self._permits.find_limit(upstream)
            if limit is not None:
                name = upstream.name
                rates[name] = limit.per_s
                closed_until[name] = max(
                    self._permits.opens_at(upstream),
                    closed_until.get(name, -math.inf),
                )
        queue.set_upstreams(upstreams, closed_until, rates)

    async def _on_submit(self, msg: message.StageSubmit) -> message.Message:
        now = self._state.clock()
        queue = self._get_or_create_queue(msg.pool)
        if queue is None:
            return message.StageAck(accepted=False, reason=UNKNOWN_POOL)
        if self._state.leaving:
            return message.StageAck(accepted=False, reason=MOVED)
        self._update_upstreams(msg.pool, queue)
        if self._state.is_pool_evacuated(msg.pool):
            return message.StageAck(accepted=False, reason=EVACUATED)
        ledger = self._crash_watch.ledger
        if not msg.is_trial and (
            msg.fingerprint in ledger.quarantined_fingerprints
        ):
            return message.StageAck(accepted=False, reason=QUARANTINED)
        regions = frozenset(h.name for h in msg.homes) or None
        if regions is not None and not queue.has_upstream_in(regions):
            return message.StageAck(accepted=False, reason=NO_HOME)
        opens_in_s = queue.opens_in_s(now, regions)
        if not msg.begun and (
            opens_in_s > 0.0 and opens_in_s + queue.full_call_s > msg.aim_s
        ):
            # It would wait for the end of the pause and be late.
            return message.StageAck(
                accepted=False,
                reason=OVERLOADED,
                retry_after_s=spread_return_s(opens_in_s, msg.request),
                retry_after_known=True,
            )
        if not msg.begun and not queue.admits(msg.deadline_s, now, regions):
            wait_s = min(queue.wait_s(now, regions=regions), msg.deadline_s)
            return message.StageAck(
                accepted=False,
                reason=OVERLOADED,
                retry_after_s=max(RETRY_AFTER_MIN_S, 0.5 * wait_s),
            )
        preferred = msg.failure_domain
        if not self._state.domain_regions.allows(preferred, regions):
            preferred = ""
        origin = _Origin(msg.origin_address, msg.ticket)
        inputs = [i.handle for i in msg.inputs]
        piece_deadline_s = msg.deadline_s
        if inputs:
            # Inputs expire at the upstreams that made them, and a piece cannot
            # be executed without them.
            piece_deadline_s = min(
                piece_deadline_s, INPUT_WAIT_SHARE * queue.spec.result_ttl_s
            )
        pieces = [
            Piece(
                request=msg.request,
                stage=msg.stage,
                segment=order.segment,
                key=order.key,
                inputs=inputs,
                origin=origin,
                failure_domain=preferred,
                priority=msg.priority,
                target_at=now + msg.aim_s,
                deadline_at=now + piece_deadline_s,
                result_bytes=msg.result_bytes,
                started=msg.begun,
                arrived_at=now,
                fingerprint=msg.fingerprint,
                is_trial=msg.is_trial,
                regions=regions,
                account=msg.account,
            )
            for order in msg.pieces
        ]
        for piece in pieces:
            # The scheduler that made the earlier call may have been another.
            piece.isolated = (
                piece.is_trial or ledger.count_crashes(_candidate_of(piece)) > 0
            )
        queue.offer(pieces, now)
        self._state.attempt_window(msg.pool).record_request(now)
        self._wake_events[msg.pool].set()
        return message.StageAck()

    async def _on_cancel(self, msg: message.StageCancel) -> message.Message:
        origin = _Origin(msg.origin_address, msg.ticket) if msg.ticket else None
        for queue in self._queues.values():
            queue.withdraw(msg.request, origin)
        return message.Ack()

    async def _on_release(self, msg: message.StageRelease) -> message.Message:
        handles = [h.handle for h in msg.handles]
        self._get_or_create_queue(msg.pool)
        self.release(msg.pool, handles)
        return message.Ack()

    def release(self, pool: str, handles: Sequence[str]) -> None:
        """Releases results at the upstreams that made them."""
        handles_by_address: dict[str, list[str]] = {}
        for handle in handles:
            address = self._protocol.handle_address(handle)
            handles_by_address.setdefault(address, []).append(handle)
        for address, address_handles in handles_by_address.items():
            upstream = next(
                (
                    u
                    for u in self._state.catalog.all().values()
                    if u.address == address and u.pool == pool
                ),
                None,
            )
            if upstream is not None and self._tasks is not None:
                self._start(
                    self._release_after_pause, pool, upstream, address_handles
                )

    async def _release_after_pause(
        self, pool: str, upstream: ListedUpstream, handles: Sequence[str]
    ) -> None:
        """Releases results, once the upstream takes requests.

        What is to be released during its pause, or until there is a permit if
        it has a rate limit, is released by one call. Results that expire before
        are not.
        """
        clock, queue = self._state.clock, self._queues.get(pool)
        pauses, identity = self._state.notices.pauses, upstream.identity
        held = self._held_releases.get(identity)
        if held is not None:
            held += handles
            return
        permit: Permit | None = None
        is_limited = self._permits.is_limited(upstream)
        is_paused = pauses.until(identity) > clock()
        if (is_paused or is_limited) and queue is not None:
            self._held_releases[identity] = list(handles)
            expire_at = clock() + queue.spec.result_ttl_s
            try:
                # The pause may be extended meanwhile.
                while clock() < (end := min(pauses.until(identity), expire_at)):
                    await wait_until(end, clock)
                is_limited = self._permits.is_limited(upstream)
                if is_limited:
                    permit = await self._await_permit(upstream, expire_at)
            finally:
                handles = self._held_releases.pop(identity)
            if is_limited and permit is None:
                logger.bind(
                    event="release_dropped", upstream=upstream.name
                ).info(
                    "{} results at upstream {} are left to expire: its rate "
                    "limit leaves no permit within {:.2f} s",
                    len(handles),
                    upstream.name,
                    queue.spec.result_ttl_s,
                )
                return
        await self._send_release(pool, upstream, handles, permit)

    async def _await_permit(
        self, upstream: ListedUpstream, until: float
    ) -> Permit | None:
        """Waits until a call may be sent to an upstream with a rate limit."""
        clock = self._state.clock
        while clock() < until:
            permit = await self._permits.acquire(upstream, until - clock())
            if permit is not None:
                await wait_until(permit.starts_at, clock)
                return permit
            await anyio.sleep(POLL_INTERVAL_S)
        return None

    async def _send_release(
        self,
        pool: str,
        upstream: ListedUpstream,
        handles: Sequence[str],
        permit: Permit | None,
    ) -> None:
        path, headers, body = self._protocol.encode_release(handles)
        try:
            with enforce_timeout(RELEASE_TIMEOUT_S, upstream):
                async with self._client.call(
                    upstream,
                    "POST",
                    path.encode(),
                    headers,
                    body,
                    marks=handles,
                    permit=permit,
                ) as answer:
                    await answer.read(ANSWER_BYTES_MAX)
                    answer.is_new = answer.status == 200
                if not answer.is_new:
                    self._repeat_release(pool, upstream, handles, answer)
                    return
                if not answer.is_first:
                    self._record_release(upstream, handles)
                # The memory is free only once the upstream has answered.
                queue = self._queues.get(pool)
                if queue is not None:
                    queue.release(handles)
                    self._wake_events[pool].set()
        except StageError as exc:
            # An unreleased result expires at the upstream.
            logger.bind(event="release_failed", upstream=upstream.name).debug(
                "release of {} results at upstream {} failed: {}",
                len(handles),
                upstream.name,
                exc,
            )

    def _record_release(
        self, upstream: ListedUpstream, handles: Sequence[str]
    ) -> None:
        """Records a release that an upstream has answered.

        Answers to releases are alike, so one to an earlier release may be taken
        for that to the next, which was refused. The latest are repeated at the
        first sign of that.
        """
        identity = upstream.identity
        latest = self._latest_releases.setdefault(identity, deque())
        self._latest_releases.move_to_end(identity)
        latest.append(handles)
        if len(latest) > LATEST_RELEASES_MAX:
            latest.popleft()
        if len(self._latest_releases) > RELEASING_UPSTREAMS_MAX:
            self._latest_releases.popitem(last=False)

    def _take_latest_releases(self, upstream: ListedUpstream) -> list[str]:
        """Returns the handles of the latest releases, once."""
        latest = self._latest_releases.pop(upstream.identity, ())
        return [handle for handles in latest for handle in handles]

    def _repeat_release(
        self,
        pool: str,
        upstream: ListedUpstream,
        handles: Sequence[str],
        answer: Answer,
    ) -> None:
        """Releases results again if their upstream asks for a pause.

        The refusal may be that of an earlier release.
        """
        handles = [*self._take_latest_releases(upstream), *handles]
        if answer.reply.self_report.pause_s and self._tasks is not None:
            self._start(self._release_after_pause, pool, upstream, handles)
            return
        logger.bind(event="release_failed", upstream=upstream.name).debug(
            "release of {} results at upstream {} failed: status {}",
            len(handles),
            upstream.name,
            answer.status,
        )

    async def _schedule_pool(
        self, pool: str, queue: BatchQueue, reporting: Sequence[ListedUpstream]
    ) -> None:
        """Makes the calls of a pool until cancelled.

        Args:
            pool: The pool.
            queue: Its queue.
            reporting: Upstreams whose memory the results of another scheduler
                may fill. The first call waits for their reports.
        """
        with anyio.move_on_after(FIRST_REPORT_WAIT_S) as report_scope:
            async with anyio.create_task_group() as tasks:
                for upstream in reporting:
                    tasks.start_soon(
                        run_guarded,
                        self._metrics,
                        self._refresh_free_memory,
                        pool,
                        queue,
                        upstream,
                    )
        if report_scope.cancelled_caught:
            logger.bind(event="report_failed", pool=pool).info(
                "calls of pool {} begin: not all of its {} upstreams reported "
                "their free result memory within {:.1f} s",
                pool,
                len(reporting),
                FIRST_REPORT_WAIT_S,
            )
        assert self._tasks is not None
        for upstream in reporting:
            self._start(self._follow_free_memory, pool, queue, upstream)
        while True:
            self._wake_events[pool] = anyio.Event()
            now = self._state.clock()
            self._update_upstreams(pool, queue)
            if len(queue) and self._state.leaving:
                # Their call failed after the queue was returned.
                self._start(
                    self._send_failures,
                    self._take_returned(pool, queue),
                    MOVED,
                )
            if len(queue) and self._state.is_pool_evacuated(pool):
                self._start(self._send_failures, queue.take_all(), EVACUATED)
            overdue = queue.take_overdue(now)
            if overdue:
                # Not awaited: a silent submitter would hold up all calls.
                self._start(self._send_failures, overdue, PieceReply.LATE)
            outside = queue.take_outside_homes()
            if outside:
                self._start(self._send_failures, outside, NO_HOME)
            withdrawn = queue.take_quarantined(
                self._crash_watch.ledger.quarantined_fingerprints
            )
            if withdrawn:
                self._start(
                    self._send_failures, withdrawn, PieceReply.QUARANTINED
                )
            for call in queue.next_calls(now):
                self._start(self._make_call, pool, queue, call)
            delay_s = min(
                POLL_INTERVAL_S, max(0.0, queue.next_wake_at(now) - now)
            )
            with anyio.move_on_after(max(delay_s, 0.001)):
                await self._wake_events[pool].wait()

    async def _make_call(
        self, pool: str, queue: BatchQueue, call: Call
    ) -> None:
        now = self._state.clock()
        timeout_s = max(
            CALL_TIMEOUT_MIN_S, CALL_TIMEOUT_FACTOR * call.expected_s
        )
        piece_ids = [_piece_id(piece) for piece in call.pieces]
        log = logger.bind(
            event="stage_call",
            pool=pool,
            upstream=call.upstream.name,
            born_ms=call.upstream.born_ms,
            pieces=piece_ids,
        )
        evidence = self._describe_pieces(call.pieces)
        replies: list[PieceReply] | None = None
        refused, unreachable = False, False
        failure, detail = FailureKind.TIMEOUT.value, "no answer in time"
        turned_away = False
        broken_off = False
        limit = _CallLimit()
        self._start(
            self._end_silent_call, pool, limit, timeout_s, call.expected_s
        )
        try:
            with limit.call_scope:
                path, headers, body = self._protocol.encode_call(
                    call.pieces, call.upstream.name, now
                )
                async with self._client.call(
                    call.upstream,
                    "POST",
                    path.encode(),
                    headers,
                    body,
                    marks=piece_ids,
                ) as answer:
                    data = await answer.read(ANSWER_BYTES_MAX)
                    if answer.status == 200:
                        decoded = self._protocol.decode_call(data, call.pieces)
                        self._check_answer(call, decoded, answer)
                        replies = decoded
                    else:
                        refused = answer.reply.not_run
                        turned_away = answer.reply.self_report.explains_refusal
                        failure = detail = f"status {answer.status}"
        except StageError as exc:
            refused = exc.verdict is Verdict.NOT_RUN
            unreachable = exc.kind is FailureKind.CONNECT
            turned_away = exc.kind is FailureKind.WITHDRAWN
            failure, detail = exc.kind.value, exc.detail
            broken_off = is_broken_off(exc)
        except MessageError as exc:
            failure, detail = type(exc).__name__, str(exc)
        except Exception as exc:  # noqa: BLE001
            # A bug in this program ends this call only.
            failure, detail = type(exc).__name__, str(exc)
            self._metrics.state_changes.inc("fault")
            log.bind(event="fault").exception(
                "stage call to upstream {} failed with an unexpected error",
                call.upstream.name,
            )
        finally:
            limit.wait_scope.cancel()
        took_s = self._state.clock() - now
        if replies is None:
            self._metrics.stage_calls.inc(pool, "failed")
            log.bind(failure=failure, took_s=took_s, refused=refused).warning(
                "stage call to upstream {} failed after {:.3f} s, with a "
                "time-out of {:.3f} s: {}: {}",
                call.upstream.name,
                took_s,
                timeout_s,
                failure,
                detail,
            )
            ended = broken_off and await self._record_break(call, evidence)
            await self._handle_failed_call(
                pool,
                queue,
                call,
                refused,
                unreachable,
                limit.may_retry,
                turned_away=turned_away,
                ended=ended,
            )
        else:
            self._metrics.stage_calls.inc(pool, "done")
            self._metrics.stage_call_s.observe(took_s, pool)
            failures = sorted(r.failure for r in replies if r.failure)
            log.bind(took_s=took_s, left=len(queue), failures=failures).info(
                "stage call to upstream {} answered after {:.3f} s",
                call.upstream.name,
                took_s,
            )
            await self._handle_replies(pool, queue, call, replies)
        self._wake_events[pool].set()

    def _describe_pieces(self, pieces: Sequence[Piece]) -> list[BrokenRequest]:
        """Returns the evidence if a call that starts now is broken off."""
        return [
            self._crash_watch.describe([(_candidate_of(p), REQUEST_POSITION)])
            for p in pieces
            if p.fingerprint
        ]

    async def _record_break(
        self, call: Call, evidence: Sequence[BrokenRequest]
    ) -> bool:
        """Records a call that was broken off.

        Its pieces wait until it is known whether the upstream has ended.

        Returns:
            Whether it has.
        """
        check = self._crash_watch.record_break(call.upstream, evidence)
        if check is None:
            return False
        await check.done.wait()
        return check.ended

    async def _end_silent_call(
        self,
        pool: str,
        limit: "_CallLimit",
        timeout_s: float,
        expected_s: float,
    ) -> None:
        """Cancels a call that takes too long.

        If the retry budget does not allow another one, its pieces would fail,
        and their requests be refused. The call then gets more time, in case its
        upstream is sound and only silent, unless it has had that already.
        """
        clock = self._state.clock
        started_at = clock()
        with limit.wait_scope:
            await anyio.sleep(timeout_s)
            window = self._state.attempt_window(pool)
            limit.may_retry = window.try_acquire(clock(), 1)
            if not limit.may_retry:
                await wait_until(started_at + expected_s + SILENCE_MAX_S, clock)
            limit.call_scope.cancel()

    def _check_answer(
        self, call: Call, replies: Sequence[PieceReply], answer: Answer
    ) -> None:
        """Checks that an answer belongs to a call, and records its handles.

        Calls carry no id. A second answer to an earlier call is recognized by
        its handles, and one without handles by nothing, so that its connection
        is closed.

        Raises:
            StageError: A handle was made for another piece.
        """
        handles = [reply.handle for reply in replies if reply.handle]
        answer.check_new(handles)
        maker = call.upstream.identity
        for piece, reply in zip(call.pieces, replies, strict=True):
            if not reply.handle:
                continue
            piece_id = _piece_id(piece)
            recorded_id = self._piece_ids.get((maker, reply.handle), piece_id)
            if recorded_id != piece_id or handles.count(reply.handle) > 1:
                raise StageError(
                    FailureKind.MISMATCH,
                    Verdict.MAY_HAVE_RUN,
                    call.upstream.name,
                    f"handle {reply.handle} was made for another piece than "
                    f"{piece_id}",
                )
        for piece, reply in zip(call.pieces, replies, strict=True):
            if reply.handle:
                self._piece_ids[maker, reply.handle] = _piece_id(piece)
        while len(self._piece_ids) > HANDLES_MAX:
            self._piece_ids.popitem(last=False)

    async def _handle_failed_call(
        self,
        pool: str,
        queue: BatchQueue,
        call: Call,
        refused: bool,
        unreachable: bool,
        may_retry: bool | None,
        *,
        turned_away: bool,
        ended: bool,
    ) -> None:
        now = self._state.clock()
        # A call that was refused, or never reached its upstream, does not use
        # up the retry budget.
        if refused:
            may_retry = True
        elif may_retry is None:
            may_retry = self._state.attempt_window(pool).try_acquire(now, 1)
        failed = queue.fail(
            call,
            now,
            refused=refused,
            unreachable=unreachable,
            turned_away=turned_away,
            repeat=may_retry,
            isolate=ended,
        )
        if not may_retry:
            logger.bind(event="retry_denied", pool=pool).warning(
                "retry budget of pool {} is used up; {} pieces fail",
                pool,
                len(failed),
            )
        of_trials = [p for p in failed if ended and p.is_trial]
        if of_trials:
            await self._send_failures(of_trials, PieceReply.QUARANTINED)
        others = [p for p in failed if p not in of_trials]
        if others:
            failure = PieceReply.ERROR if may_retry else PieceReply.DENIED
            await self._send_failures(others, failure)

    async def _handle_replies(
        self,
        pool: str,
        queue: BatchQueue,
        call: Call,
        replies: Sequence[PieceReply],
    ) -> None:
        now = self._state.clock()
        unneeded = queue.succeed(call, [r.handle for r in replies], now)
        self._crash_watch.record_answer(
            [
                _candidate_of(piece)
                for piece, reply in zip(call.pieces, replies, strict=True)
                if reply.handle and piece.fingerprint
            ]
        )
        unneeded_set = set(unneeded)
        if any(r.failure == PieceReply.NO_MEMORY for r in replies):
            handles = self._take_latest_releases(call.upstream)
            if handles:
                self._start(
                    self._release_after_pause, pool, call.upstream, handles
                )
            self._start(self._refresh_free_memory, pool, queue, call.upstream)
        results: list[tuple[Piece, message.PieceResult]] = []
        for piece, reply in zip(call.pieces, replies, strict=True):
            if reply.handle in unneeded_set:
                continue
            retriable = reply.failure in (
                PieceReply.NO_MEMORY,
                PieceReply.ERROR,
            )
            if not reply.handle and retriable:
                self._metrics.piece_failures.inc(pool, reply.failure)
                if queue.requeue(piece, call, now):
                    continue
            result = message.PieceResult(
                segment=piece.segment,
                handle=reply.handle,
                failure=reply.failure,
                failure_domain=call.upstream.failure_domain,
            )
            results.append((piece, result))
        if unneeded:
            self.release(pool, unneeded)
        async with anyio.create_task_group() as tasks:
            for delivery in _group_by_submission(results):
                tasks.start_soon(
                    run_guarded, self._metrics, self._deliver, pool, delivery
                )

    async def _follow_free_memory(
        self, pool: str, queue: BatchQueue, upstream: ListedUpstream
    ) -> None:
        """Requests reports while unknown results fill an upstream's memory.

        Called for a pool that this instance has just begun to schedule. Results
        for the previous scheduler expire within their lifetime; pieces that
        were sent meanwhile would each take a place in a call and fail.
        """
        clock = self._state.clock
        ends_at = clock() + queue.spec.result_ttl_s
        while clock() < ends_at and queue.lacks_record(upstream.name, clock()):
            await anyio.sleep(REPORT_INTERVAL_S)
            if not len(queue) and not queue.calls_in_progress():
                # The submitters have found another scheduler.
                return
            await self._refresh_free_memory(pool, queue, upstream)
        self._wake_events[pool].set()

    async def _check_free_memory(
        self, pool: str, queue: BatchQueue, upstream: ListedUpstream
    ) -> None:
        """Requests reports of an upstream whose results are not on record."""
        await self._refresh_free_memory(pool, queue, upstream)
        await self._follow_free_memory(pool, queue, upstream)

    async def _refresh_free_memory(
        self, pool: str, queue: BatchQueue, upstream: ListedUpstream
    ) -> None:
        """Sets an upstream's free result memory to what it reports.

        One with a rate limit is not asked, since a report is not needed as much
        as calls and releases are.
        """
        if self._permits.is_limited(upstream):
            return
        path, headers = self._protocol.encode_report_request()
        try:
            with enforce_timeout(REPORT_TIMEOUT_S, upstream):
                async with self._client.call(
                    upstream, "GET", path.encode(), headers, b""
                ) as answer:
                    body = await answer.read(ANSWER_BYTES_MAX)
                if answer.status != 200:
                    raise MessageError(f"status {answer.status}")
                free_bytes = self._protocol.decode_report(body)
                queue.set_free_bytes(
                    upstream.name, free_bytes, self._state.clock()
                )
                logger.bind(
                    event="room_corrected",
                    pool=pool,
                    upstream=upstream.name,
                    free_bytes=free_bytes,
                ).info(
                    "free result memory of upstream {} set to {:.0f} bytes",
                    upstream.name,
                    free_bytes,
                )
        except (StageError, MessageError) as exc:
            logger.bind(event="report_failed", upstream=upstream.name).info(
                "upstream {} did not report its free result memory: {}",
                upstream.name,
                exc,
            )

    async def _send_failures(
        self, pieces: Sequence[Piece], failure: str
    ) -> None:
        results = [
            (piece, message.PieceResult(segment=piece.segment, failure=failure))
            for piece in pieces
        ]
        async with anyio.create_task_group() as tasks:
            for delivery in _group_by_submission(results):
                tasks.start_soon(
                    run_guarded, self._metrics, self._deliver, "", delivery
                )

    async def _deliver(self, pool: str, delivery: "_Delivery") -> None:
        """Sends results to the instance that submitted their pieces."""
        self._deliveries += 1
        try:
            await self._send_results(pool, delivery)
        finally:
            self._deliveries -= 1

    async def _send_results(self, pool: str, delivery: "_Delivery") -> None:
        """Sends results until they have arrived or are useless.

        An instance that does not answer may only be silent for a moment, and
        nothing else would tell it of the results. They are sent until they are
        useless, or until no heartbeat of the instance arrives any more; it then
        submits the pieces elsewhere.
        """
        address, results = delivery.address, delivery.results
        done = message.StageDone(
            ticket=delivery.submission_number, results=tuple(results)
        )
        pause_s = DELIVERY_PAUSE_MIN_S
        while True:
            try:
                reply = await self._peers.request(address, done)
            except ApplespringError as exc:
                now = self._state.clock()
                given_up = now >= delivery.until or not (
                    address == self._peers.address
                    or self._peers.table.is_heard_from(address, now)
                )
                logger.bind(
                    event="delivery_failed", peer=address, given_up=given_up
                ).warning(
                    "{} results were not delivered to {}: {}",
                    len(results),
                    address,
                    exc,
                )
                if given_up:
                    break
                await anyio.sleep(pause_s)
                pause_s = min(DELIVERY_PAUSE_MAX_S, 2 * pause_s)
                continue
            if isinstance(reply, message.Ack) and reply.accepted:
                return
            break
        handles = [r.handle for r in results if r.handle]
        if handles and pool:
            self.release(pool, handles)


class _CallLimit:
    """Time limit of one call.

    Attributes:
        call_scope: Scope of the call; cancelled when it takes too long.
        wait_scope: Scope of the wait for that; cancelled when the call ends.
        may_retry: Whether the retry budget granted another call after the
            time-out, or None before it.
    """

    __slots__ = ("call_scope", "wait_scope", "may_retry")

    def __init__(self) -> None:
        self.call_scope = anyio.CancelScope()
        self.wait_scope = anyio.CancelScope()
        self.may_retry: bool | None = None


class _Delivery:
    """Results of one submission that are sent to its instance together.

    Attributes:
        address: Peer address of the instance.
        submission_number: Number of the submission there.
        results: The results.
        until: When the last of them becomes useless.
    """

    __slots__ = ("address", "submission_number", "results", "until")

    def __init__(self, origin: _Origin) -> None:
        self.address = origin.address
        self.submission_number = origin.submission_number
        self.results: list[message.PieceResult] = []
        self.until = -math.inf


def _piece_id(piece: Piece) -> str:
    """Returns the id of a piece, the same each time that it is called."""
    return f"{piece.request}/{piece.stage}/{piece.segment}"


def _candidate_of(piece: Piece) -> str:
    """Returns what a crash under a piece is held against."""
    return piece_candidate(piece.fingerprint, piece.stage, piece.segment)


def _group_by_submission(
    results: Iterable[tuple[Piece, message.PieceResult]],
) -> list[_Delivery]:
    """Returns what each submission of these pieces gets."""
    deliveries: dict[_Origin, _Delivery] = {}
    for piece, result in results:
        delivery = deliveries.get(piece.origin)
        if delivery is None:
            delivery = deliveries[piece.origin] = _Delivery(piece.origin)
        delivery.results.append(result)
        delivery.until = max(delivery.until, piece.deadline_at)
    return list(deliveries.values())
