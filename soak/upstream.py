"""Stand-ins for the platform's workers: plain services, engines, stages.

A worker is one start of a worker process. A worker host runs one worker after
the other at the same address, so that an address may later name another worker.
"""

import hashlib
import itertools
import math
import random
from collections.abc import Callable, Mapping, Sequence

import anyio
import orjson

from soak.record import (
    Arrival,
    ColdArrival,
    Execution,
    LimitedArrival,
    Notice,
    Piece,
    Records,
)
from soak.server import Reply, Request
from soak.silence import CONTROL_TARGETS

NOT_RUN_HEADER = ("Not-Executed", "1")
# Stage workers: base time of a call, time per piece, most pieces of a call,
# result memory, size of a result, and time for which it is kept. The times are
# a quarter of the users', so that a short run makes many calls.
CALL_S = 0.04
PIECE_S = 0.005
BATCH_MAX = 4
RESULT_MEMORY_MB = 1.0
RESULT_BYTES = 100_000
RESULT_TTL_S = 2.0
# Name of the prompt part on which engines crash.
DEADLY_PART = "dead"
# Engines: time to the first event and between events. Plain workers: shortest
# and longest time of an answer.
FIRST_EVENT_DELAY_S = 0.04
EVENT_GAP_S = 0.02
PLAIN_RANGE_S = (0.01, 0.06)
# Shortest and longest time until an answer is sent a second time, unless that
# waits for the next request on the connection.
SECOND_RANGE_S = (0.0, 0.5)

# Answers of a worker that spoils them.
SPOILED_STATUSES = (200, 201, 202, 203, 206, 299)
SPOILED_BODY = bytes(40)


class Misbehaviour:
    """Deviations of the workers of a host from the protocol.

    Attributes:
        slow: Factor by which work takes longer.
        failing: Share of requests that are executed and fail with 500.
        full: Share of requests refused as not executed.
        losing: Share of requests executed but never answered completely.
        unsigned: Share of successes without a signature.
        truncating: Share of answers that are truncated.
        extra: Share of answers followed by bytes that belong to no request.
        unframed: Share of answers without length or chunks.
        endless: Share of requests that are executed and answered with bytes
            without end, in a head or a body.
        doubling: Share of answers of any kind that are sent a second time.
        forgetting: Share of stage results that are gone at once.
        spoiling: Share of requests that are executed and answered with another
            success than 200, without a signature, and with other bytes.
    """

    __slots__ = (
        "slow",
        "failing",
        "full",
        "losing",
        "unsigned",
        "truncating",
        "extra",
        "unframed",
        "endless",
        "doubling",
        "forgetting",
        "spoiling",
    )

    def __init__(self) -> None:
        self.slow = 1.0
        self.failing = 0.0
        self.full = 0.0
        self.losing = 0.0
        self.unsigned = 0.0
        self.truncating = 0.0
        self.extra = 0.0
        self.unframed = 0.0
        self.endless = 0.0
        self.doubling = 0.0
        self.forgetting = 0.0
        self.spoiling = 0.0


class WorkerContext:
    """State shared by the workers of a run.

    Attributes:
        records: Records of the run.
        results: Pieces whose results still exist, by handle.
        clock: Monotonic clock in seconds.
        rng: Random generator of times and misbehaviour.
    """

    __slots__ = ("records", "results", "clock", "rng", "start_numbers")

    def __init__(
        self,
        records: Records,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.records = records
        self.results: dict[str, Piece] = {}
        self.clock = clock
        self.rng = rng
        self.start_numbers = itertools.count(1)


class Worker:
    """One start of a worker process.

    Attributes:
        name: Worker id, the value that `Target-Instance` has to have.
        start: The id and a number unique in the run, since another start may
            have the same id.
        pool: Service that it belongs to.
        leaving: Whether it says in all answers that it leaves.
        paused_until: Until when it refuses requests and asks for no more.
        born_ms: When it was started, in Unix milliseconds.
        cold_from: Since when all instances have to know that it is cold.
        cold_until: Until when it is cold.
        limit_per_s: Rate limit that it names in all answers; infinite after it
            had one, None before.
        misbehaviour: Its deviations, shared with its host.
        crash: Ends this worker; called with the cause when it begins to run
            the deadly request, or an answer on the deadly prompt part.
    """

    crash: Callable[[str], None]

    def __init__(
        self,
        name: str,
        pool: str,
        misbehaviour: Misbehaviour,
        context: WorkerContext,
    ) -> None:
        self.name = name
        self.start = f"{name}#{next(context.start_numbers)}"
        self.pool = pool
        self.leaving = False
        self.paused_until = -math.inf
        self.born_ms = 0
        self.cold_from = self.cold_until = -math.inf
        self.limit_per_s: float | None = None
        self.misbehaviour = misbehaviour
        self._context = context

    async def handle(self, req: Request, reply: Reply) -> None:
        """Executes a request, or refuses it as not executed."""
        request_id = req.headers.get("request-id", "")
        echo = [("Request-Id", request_id)] if request_id else []
        target = req.headers.get("target-instance", self.name)
        if target != self.name:
            reply.said, reply.on_said = [], None
            await reply.send_complete(421, b"", [*echo, NOT_RUN_HEADER])
        elif await self._turn_away(req, reply, echo):
            return
        elif self._draw(self.misbehaviour.full):
            status = self._context.rng.choice([429, 503])
            await reply.send_complete(status, b"", [*echo, NOT_RUN_HEADER])
        else:
            reply.unframed = self._draw(self.misbehaviour.unframed)
            await self.execute(request_id, req, reply)

    def speak(self, req: Request, reply: Reply) -> None:
        """Lets the answer to a request say what the worker says of itself.

        Decides also whether the answer is sent a second time.
        """
        records, clock = self._context.records, self._context.clock
        if self._draw(self.misbehaviour.doubling):
            delay_s = self._context.rng.uniform(*SECOND_RANGE_S)
            reply.is_doubled = True
            reply.second_after_s = self._context.rng.choice([delay_s, None])
        request = records.requests.get(req.headers.get("request-id", ""))
        if request is not None:
            records.arrivals.append(
                Arrival(self.start, request, clock(), reply.answer)
            )
        if self.cold_from <= clock() < self.cold_until:
            records.cold_arrivals.append(ColdArrival(self.start, clock()))
        if self.limit_per_s not in (None, math.inf):
            reply.said = [("Server-Limit", f"{self.limit_per_s:g}")]
            instance = request.instance if request is not None else ""
            records.limited_arrivals.append(
                LimitedArrival(self.start, instance, clock(), self.limit_per_s)
            )
        if not self.leaving:
            return
        reply.said = [*reply.said, ("Server-Leaving", "1")]
        if request is not None:
            reply.on_said = lambda: records.notices.append(
                Notice(self.start, request.instance, clock())
            )

    async def _turn_away(
        self, req: Request, reply: Reply, echo: Sequence[tuple[str, str]]
    ) -> bool:
        """Asks for a pause in place of an answer; returns whether it did."""
        records, now = self._context.records, self._context.clock()
        pause_s = round(self.paused_until - now, 3)
        if pause_s <= 0.0:
            return False
        request = records.requests.get(req.headers.get("request-id", ""))
        if request is not None:
            records.notices.append(
                Notice(self.start, request.instance, now, pause_s)
            )
        headers = [*echo, NOT_RUN_HEADER, ("Retry-After", str(pause_s))]
        await reply.send_complete(503, b"", headers)
        return True

    async def execute(
        self, request_id: str, req: Request, reply: Reply
    ) -> None:
        """Executes and answers one request."""
        raise NotImplementedError

    def stop(self) -> None:
        """Discards the results of the worker."""

    async def _crash_on_request(self, req: Request) -> None:
        """Ends the worker if the request is one that crashes its workers."""
        if req.target in self._context.records.deadly_targets:
            self.crash(req.target)
            await anyio.sleep_forever()

    async def _send_endless(self, reply: Reply) -> None:
        """Sends bytes without end if the misbehaviour says so."""
        if self._draw(self.misbehaviour.endless):
            reply.unframed = True
            await reply.send_endless(with_head=self._draw(0.5))

    async def _spoil(self, request_id: str, reply: Reply) -> bool:
        """Sends a spoiled answer if the misbehaviour says so.

        Returns:
            Whether it was sent.
        """
        if not self._draw(self.misbehaviour.spoiling):
            return False
        headers = [("Request-Id", request_id)]
        if self._draw(0.3):
            headers.append(NOT_RUN_HEADER)
        status = self._context.rng.choice(SPOILED_STATUSES)
        await reply.send_complete(status, SPOILED_BODY, headers)
        return True

    def _draw(self, share: float) -> bool:
        return share > 0 and self._context.rng.random() < share

    def _record_execution(
        self, request_id: str, req: Request, inputs: Sequence[Piece] = ()
    ) -> Execution:
        execution = Execution(
            request_id,
            self.name,
            self.pool,
            self._context.clock(),
            start=self.start,
            path=req.target,
            body=req.body,
            account=req.headers.get("tenant", ""),
            headers=req.headers,
            first_event=int(req.headers.get("last-event-id", "0")) + 1,
            inputs=inputs,
        )
        execution.signature = f"{self.name}.{request_id}"
        self._context.records.add_execution(execution)
        return execution

    def _make_headers(self, execution: Execution) -> list[tuple[str, str]]:
        headers = [("Request-Id", execution.request_id)]
        if not self._draw(self.misbehaviour.unsigned):
            headers.append(("Response-Signature", execution.signature))
        return headers


class PlainWorker(Worker):
    """Answers with one body that depends on the request and the worker."""

    async def execute(
        self, request_id: str, req: Request, reply: Reply
    ) -> None:
        """See `Worker.execute`."""
        misbehaviour = self.misbehaviour
        execution = self._record_execution(request_id, req)
        digest = hashlib.sha256(req.target.encode() + req.body).hexdigest()
        execution.answer = f"{request_id} {self.name} {digest}".encode()
        await self._crash_on_request(req)
        await anyio.sleep(
            self._context.rng.uniform(*PLAIN_RANGE_S) * misbehaviour.slow
        )
        headers = self._make_headers(execution)
        await self._send_endless(reply)
        if self._draw(misbehaviour.losing):
            await anyio.sleep_forever()
        if await self._spoil(request_id, reply):
            return
        if self._draw(misbehaviour.failing):
            execution.answer = b"failed"
            await reply.send_complete(500, execution.answer, headers)
        elif self._draw(misbehaviour.truncating):
            length = ("Content-Length", str(len(execution.answer)))
            await reply.send_head(200, [*headers, length])
            await reply.send_part(execution.answer[:7])
            reply.reset()
        else:
            await reply.send_complete(200, execution.answer, headers)
            if self._draw(misbehaviour.extra):
                await reply.send_raw(
                    b"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\n"
                    b"Response-Signature: x\r\nContent-Length: 5\r\n\r\nextra"
                )


class EngineWorker(Worker):
    """Answers with a stream of numbered events."""

    async def execute(
        self, request_id: str, req: Request, reply: Reply
    ) -> None:
        """See `Worker.execute`."""
        misbehaviour, rng = self.misbehaviour, self._context.rng
        handles = [h for h in req.headers.get("inputs", "").split(",") if h]
        inputs = [self._context.results.get(handle) for handle in handles]
        if None in inputs:
            echo = ("Request-Id", request_id)
            await reply.send_complete(409, b"", [echo, NOT_RUN_HEADER])
            return
        execution = self._record_execution(request_id, req, inputs)
        count = int(req.headers["token-count"].partition(",")[2])
        await anyio.sleep(FIRST_EVENT_DELAY_S * misbehaviour.slow)
        if f"{DEADLY_PART}:" in req.headers.get("prompt-prefix", ""):
            self.crash(DEADLY_PART)
            await anyio.sleep_forever()
        await self._crash_on_request(req)
        await self._send_endless(reply)
        if await self._spoil(request_id, reply):
            return
        if self._draw(misbehaviour.failing):
            execution.answer = b"failed"
            await reply.send_complete(
                500, execution.answer, self._make_headers(execution)
            )
            return
        content_type = ("Content-Type", "text/event-stream")
        await reply.send_head(
            200, [content_type, *self._make_headers(execution)]
        )
        cut_at = count + 1
        if self._draw(misbehaviour.truncating) or self._draw(
            misbehaviour.losing
        ):
            cut_at = rng.randint(execution.first_event, count)
        for number in range(execution.first_event, count + 1):
            event = make_event(request_id, number)
            if number == cut_at:
                await reply.send_part(event[: len(event) // 2])
                if self._draw(0.5):
                    await anyio.sleep_forever()
                reply.reset()
                return
            await reply.send_part(event)
            await anyio.sleep(EVENT_GAP_S * misbehaviour.slow)
        await reply.send_end()


class StageWorker(Worker):
    """Executes the pieces of one call at a time."""

    def __init__(
        self,
        name: str,
        pool: str,
        misbehaviour: Misbehaviour,
        context: WorkerContext,
    ) -> None:
        super().__init__(name, pool, misbehaviour, context)
        self.address = ""
        self._call_lock = anyio.Lock()
        self._expiry_by_handle: dict[str, float] = {}
        self._made_count = 0

    async def handle(self, req: Request, reply: Reply) -> None:
        """Answers a call, a release or a query of the free result memory."""
        if req.target in CONTROL_TARGETS and await self._turn_away(
            req, reply, ()
        ):
            return
        if req.target == "/stage-free":
            for handle in orjson.loads(req.body)["handles"]:
                self._release(handle)
            await reply.send_complete(200, b"{}")
        elif req.target == "/report":
            self._expire()
            free_mb = (
                RESULT_MEMORY_MB
                - len(self._expiry_by_handle) * RESULT_BYTES / 1e6
            )
            await reply.send_complete(200, orjson.dumps({"freeMb": free_mb}))
        else:
            await super().handle(req, reply)

    async def execute(
        self, request_id: str, req: Request, reply: Reply
    ) -> None:
        """Executes the pieces of a call; the call itself has no request id."""
        del request_id
        items = orjson.loads(req.body)["items"]
        async with self._call_lock:
            await anyio.sleep(
                (CALL_S + PIECE_S * len(items)) * self.misbehaviour.slow
            )
            self._expire()
            answers = [self._make(item) for item in items]
        await self._send_endless(reply)
        if self._draw(self.misbehaviour.losing):
            await anyio.sleep_forever()
        if self._draw(self.misbehaviour.truncating):
            reply.reset()
            return
        await reply.send_complete(200, orjson.dumps({"items": answers}))

    def _make(self, item: Mapping) -> dict[str, str]:
        handles = item.get("inputs", [])
        inputs = [self._context.results.get(handle) for handle in handles]
        now = self._context.clock()
        piece = Piece(
            item["id"],
            item["stage"],
            item["segment"],
            item.get("key", ""),
            [found for found in inputs if found is not None],
            len(handles),
        )
        self._context.records.pieces.append(piece)
        if None in inputs:
            return {"reason": "gone"}
        if self._draw(self.misbehaviour.failing):
            return {"reason": "error"}
        if (
            len(self._expiry_by_handle) + 1
        ) * RESULT_BYTES > RESULT_MEMORY_MB * 1e6:
            return {"reason": "room"}
        self._made_count += 1
        handle = f"{self.address}/{self.name}-{self._made_count}"
        self._expiry_by_handle[handle] = now + RESULT_TTL_S
        self._context.results[handle] = piece
        if self._draw(self.misbehaviour.forgetting):
            self._release(handle)
        return {"handle": handle}

    def _release(self, handle: str) -> None:
        if self._expiry_by_handle.pop(handle, None) is not None:
            self._context.results.pop(handle, None)

    def _expire(self) -> None:
        now = self._context.clock()
        for handle, expires_at in list(self._expiry_by_handle.items()):
            if expires_at < now:
                self._release(handle)

    def stop(self) -> None:
        """See `Worker.stop`."""
        for handle in list(self._expiry_by_handle):
            self._release(handle)


def make_event(request_id: str, number: int) -> bytes:
    """Returns the event with a number in the stream of a request."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()
