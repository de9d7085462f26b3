"""Stand-in for an engine that generates tokens."""

import sys
from collections.abc import AsyncIterator
from typing import Annotated, Any

import anyio

from applespring.cli import Range
from standins import content
from standins.cache import BLOCK_BYTES, PrefixCache
from standins.faults import AbortConnection, apply_token_faults
from standins.record import Execution
from standins.serve import run, run_program
from standins.upstream import NOT_RUN_HEADERS, SlotQueue, Upstream, check_call
from standins.web import Reply, WebError, WebRequest, json_reply

MAX_TOKENS_DEFAULT = 256
# Share of the first-token delay that remains for a completely cached prompt.
CACHED_DELAY_RATIO = 0.2
ORDERS_MAX = 10_000
_LOADED_FIELDS = ("model", "adapter", "version", "role")


class Generation:
    """A completion call that waits or runs.

    Attributes:
        request_id: Identifier that all attempts of a request share.
        attempt: Number of the attempt.
        cancelled: Set by `POST /v1/cancel`.
    """

    __slots__ = ("request_id", "attempt", "cancelled")

    def __init__(self, call: dict[str, Any]) -> None:
        self.request_id: str = call["request_id"]
        self.attempt: int = call["attempt"]
        self.cancelled = anyio.Event()

    async def sleep(self, seconds: float) -> None:
        """Waits for some time, unless the call is cancelled first.

        Raises:
            AbortConnection: The call was cancelled.
        """
        with anyio.move_on_after(seconds):
            await self.cancelled.wait()
        if self.cancelled.is_set():
            raise AbortConnection


class Engine(Upstream):
    """An engine with continuous batching.

    Up to `slots` running calls each get the full token rate. More calls share
    the total rate of `slots` calls equally.

    Attributes:
        tokens_per_s: Tokens per second of one call at the full rate.
        first_token_s: Seconds until the first token at the full rate, for a
            prompt that is not cached.
        loaded: Loaded model, adapter and version, and the engine's role.
        checks_fence: Whether orders with an older fence are rejected.
        fence: Highest fence accepted so far.
        load_s: Seconds that executing an order takes.
        cache: The prefix cache.
        orders: The latest orders received, each with the status answered.
    """

    def __init__(
        self,
        name: str = "engine",
        *,
        slots: int = 8,
        batch_max: int = 0,
        queue_max: int = 256,
        tokens_per_s: float = 50.0,
        first_token_s: float = 0.1,
        load_lag_s: float = 0.0,
        checks_fence: bool = True,
        load_s: float = 0.0,
        cache_blocks: int = 1024,
        cache_lag_s: float = 0.0,
        cache_gap: float = 0.0,
        seed: int = 0,
        model: str = "",
        adapter: str = "",
        version: str = "",
        role: str = "",
        idempotent: bool = True,
        effect: bool = True,
    ) -> None:
        super().__init__(
            name,
            "generate",
            slots=slots,
            slot_queue=SlotQueue(batch_max or 4 * slots, queue_max),
            load_lag_s=load_lag_s,
            idempotent=idempotent,
            effect=effect,
        )
        self.tokens_per_s = tokens_per_s
        self.first_token_s = first_token_s
        self.loaded = dict(
            zip(_LOADED_FIELDS, (model, adapter, version, role), strict=True)
        )
        self.checks_fence = checks_fence
        self.fence = 0
        self.load_s = load_s
        self.cache = PrefixCache(cache_blocks, cache_lag_s, cache_gap, seed)
        self.orders: list[dict[str, Any]] = []
        self._calls: set[Generation] = set()
        self.routes |= {
            ("POST", "/v1/completions"): self.post_completions,
            ("POST", "/v1/cancel"): self.post_cancel,
            ("GET", "/v1/cache_events"): self.get_cache_events,
            ("POST", "/v1/orders"): self.post_orders,
            ("GET", "/admin/orders"): self.get_orders,
        }

    def load_values(self) -> dict[str, Any]:
        """Returns the current load, and the model and role in use."""
        return super().load_values() | self.loaded

    def slowdown(self) -> float:
        """Returns the factor by which load and faults slow a running call."""
        return max(1.0, self.slot_queue.running / self.slots) * self.slow_factor

    async def post_completions(self, req: WebRequest) -> Reply:
        """Streams the tokens for a prompt as server-sent events."""
        call = {
            "max_tokens": MAX_TOKENS_DEFAULT,
            "priority": 0,
            "resume_from": 0,
        } | req.json()
        check_call(
            call,
            prompt=str,
            request_id=str,
            attempt=int,
            max_tokens=int,
            priority=int,
            resume_from=int,
        )
        self._check_servable(call)
        generation = Generation(call)
        self._calls.add(generation)
        req.end_callbacks.append(lambda: self._calls.discard(generation))
        await self._wait_for_slot(req, call, generation)
        execution = self.start_execution(req, call)
        events = self._generate(call, generation, execution)
        return Reply(
            content_type="text/event-stream",
            headers={"cache-control": "no-store"},
            chunks=apply_token_faults(
                req.faults, events, self.fault_plan.wait_cleared
            ),
        )

    def _check_servable(self, call: dict[str, Any]) -> None:
        if call.get("stream") is not True:
            raise WebError(
                400,
                f"stream must be true, got {call.get('stream')!r}",
                **NOT_RUN_HEADERS,
            )
        if call["resume_from"] < 0 or call["max_tokens"] < 1:
            message = (
                "resume_from must be >= 0 and max_tokens >= 1, got "
                f"{call['resume_from']} and {call['max_tokens']}"
            )
            raise WebError(400, message, **NOT_RUN_HEADERS)
        for name in ("model", "adapter"):
            wanted = call.get(name)
            if wanted and self.loaded[name] and wanted != self.loaded[name]:
                message = (
                    f"{name} {wanted!r} is not loaded; "
                    f"loaded: {self.loaded[name]!r}"
                )
                raise WebError(404, message, **NOT_RUN_HEADERS)

    async def _wait_for_slot(
        self, req: WebRequest, call: dict[str, Any], generation: Generation
    ) -> None:
        async def watch_cancel(scope: anyio.CancelScope) -> None:
            await generation.cancelled.wait()
            scope.cancel()

        queue_full: WebError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_cancel, tasks.cancel_scope)
            try:
                await self.acquire_slot(req, call["priority"])
            except WebError as exc:
                queue_full = exc
            tasks.cancel_scope.cancel()
        if queue_full:
            raise queue_full
        if generation.cancelled.is_set():
            raise WebError(
                409, "cancelled while waiting for a slot", **NOT_RUN_HEADERS
            )

    async def _generate(
        self,
        call: dict[str, Any],
        generation: Generation,
        execution: Execution,
    ) -> AsyncIterator[dict[str, Any]]:
        prompt = call["prompt"]
        count = content.token_count(prompt, call["max_tokens"])
        missing_share = self.cache.store(prompt)
        delay_ratio = (
            CACHED_DELAY_RATIO + (1 - CACHED_DELAY_RATIO) * missing_share
        )
        await generation.sleep(
            self.first_token_s * delay_ratio * self.slowdown()
        )
        for index in range(call["resume_from"], count):
            if index > call["resume_from"]:
                await generation.sleep(self.slowdown() / self.tokens_per_s)
            last = index == count - 1
            if last:
                execution.finish(True)
            yield {
                "request_id": generation.request_id,
                "attempt": generation.attempt,
                "index": index,
                "choices": [
                    {
                        "index": 0,
                        "text": content.token(prompt, index),
                        "finish_reason": "stop" if last else None,
                    }
                ],
            }
        if call["resume_from"] >= count:
            execution.finish(True)

    async def post_cancel(self, req: WebRequest) -> Reply:
        """Cancels all attempts of a request, or only the given one."""
        wanted = req.json()
        check_call(wanted, request_id=str)
        found = [
            call
            for call in self._calls
            if call.request_id == wanted["request_id"]
            and wanted.get("attempt", call.attempt) == call.attempt
        ]
        for call in found:
            call.cancelled.set()
        return json_reply({"cancelled": len(found)})

    async def get_cache_events(self, req: WebRequest) -> Reply:
        """Returns the cache events after a sequence number."""
        events = self.cache.events_after(int(req.number("after", 0)))
        return json_reply({"block_bytes": BLOCK_BYTES, "events": events})

    async def post_orders(self, req: WebRequest) -> Reply:
        """Loads a model, adapter or version, or changes the role."""
        order = req.json()
        check_call(order, fence=int)
        change = {name: order[name] for name in _LOADED_FIELDS if name in order}
        check_call(change, **dict.fromkeys(change, str))
        self._check_fence(order)
        self.fence = max(self.fence, order["fence"])
        await anyio.sleep(self.load_s)
        # An order with a newer fence may have been accepted in the meantime.
        self._check_fence(order)
        self.loaded |= change
        self._record_order(order, 200)
        self.record_load()
        return json_reply({"fence": self.fence} | self.loaded)

    def _check_fence(self, order: dict[str, Any]) -> None:
        if self.checks_fence and order["fence"] < self.fence:
            self._record_order(order, 409)
            raise WebError(
                409, f"fence {order['fence']} is older than {self.fence}"
            )

    def _record_order(self, order: dict[str, Any], status: int) -> None:
        self.orders.append(order | {"status": status})
        del self.orders[:-ORDERS_MAX]

    async def get_orders(self, _req: WebRequest) -> Reply:
        """Returns the latest orders received."""
        return json_reply({"name": self.name, "orders": self.orders})


def serve_engine(
    *,
    port: Annotated[int, Range(0, 65535)] = 0,
    name: str = "engine",
    slots: Annotated[int, Range(1, 100_000)] = 8,
    batch_max: Annotated[int, Range(0, 100_000)] = 0,
    queue_max: Annotated[int, Range(0, 1_000_000)] = 256,
    tokens_per_s: Annotated[float, Range(0.001, 1_000_000)] = 50.0,
    first_token_s: Annotated[float, Range(0, 3600)] = 0.1,
    load_lag_s: Annotated[float, Range(0, 3600)] = 0.0,
    checks_fence: bool = True,
    load_s: Annotated[float, Range(0, 3600)] = 0.0,
    cache_blocks: Annotated[int, Range(0, 10_000_000)] = 1024,
    cache_lag_s: Annotated[float, Range(0, 3600)] = 0.0,
    cache_gap: Annotated[float, Range(0, 1)] = 0.0,
    seed: int = 0,
    model: str = "",
    adapter: str = "",
    model_version: str = "",
    role: str = "",
    idempotent: bool = True,
    effect: bool = True,
) -> None:
    """Serves a stand-in for an engine on 127.0.0.1 until SIGTERM.

    Args:
        port: TCP port; 0 selects a free one.
        name: Name of this stand-in.
        slots: Calls that run at the full token rate.
        batch_max: Most calls that run at once; 0 means four times the slots.
        queue_max: Most calls that wait for a slot.
        tokens_per_s: Tokens per second of one call.
        first_token_s: Seconds until the first token.
        load_lag_s: Seconds by which load reports are delayed.
        checks_fence: Reject orders with an older fence.
        load_s: Seconds that executing an order takes.
        cache_blocks: Prefix blocks that the cache can hold.
        cache_lag_s: Seconds by which cache events are delayed.
        cache_gap: Probability that a cache event is never served.
        seed: Seed for choosing the cache events that are never served.
        model: Model that is loaded at the start.
        adapter: Adapter that is loaded at the start.
        model_version: Version that is loaded at the start.
        role: Role of the engine at the start.
        idempotent: Whether calls may be executed twice (only reported).
        effect: Whether a call counts as running the request (only reported).
    """
    app = Engine(
        name,
        slots=slots,
        batch_max=batch_max,
        queue_max=queue_max,
        tokens_per_s=tokens_per_s,
        first_token_s=first_token_s,
        load_lag_s=load_lag_s,
        checks_fence=checks_fence,
        load_s=load_s,
        cache_blocks=cache_blocks,
        cache_lag_s=cache_lag_s,
        cache_gap=cache_gap,
        seed=seed,
        model=model,
        adapter=adapter,
        version=model_version,
        role=role,
        idempotent=idempotent,
        effect=effect,
    )
    run(app, port)


if __name__ == "__main__":
    sys.exit(run_program("standin-engine", serve_engine))
