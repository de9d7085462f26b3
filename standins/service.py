"""Stand-in for an encoder, retriever, reranker or other service."""

import random
import sys
from typing import Annotated, Any, Literal

import anyio

from applespring.cli import Range
from applespring.core.integrity import digest
from standins.content import stage_output
from standins.serve import run, run_program
from standins.upstream import SlotQueue, Upstream, check_call
from standins.web import Reply, WebRequest, json_reply

KEYS_MAX = 100_000


class Service(Upstream):
    """A service that executes at most one call per slot at a time.

    Attributes:
        service_s: Mean seconds that a call takes.
        jitter: Largest relative deviation from `service_s`.
        deduplicates: Whether a call with the idempotency key and stage of an
            earlier one gets the output of that one without being executed.
    """

    def __init__(
        self,
        name: str = "service",
        kind: str = "service",
        *,
        slots: int = 8,
        queue_max: int = 256,
        service_s: float = 0.02,
        jitter: float = 0.0,
        seed: int = 0,
        deduplicates: bool = False,
        load_lag_s: float = 0.0,
        reports_load: bool = True,
        idempotent: bool = True,
        effect: bool = True,
    ) -> None:
        super().__init__(
            name,
            kind,
            slots=slots,
            slot_queue=SlotQueue(slots, queue_max),
            load_lag_s=load_lag_s,
            idempotent=idempotent,
            effect=effect,
            reports_load=reports_load,
        )
        self.service_s = service_s
        self.jitter = jitter
        self.deduplicates = deduplicates
        self._rng = random.Random(seed)
        # By idempotency key and stage: a tuple with the output, or an event
        # that is set when the running call ends.
        self._outputs: dict[tuple[str, str], Any] = {}
        self.routes["POST", "/v1/call"] = self.post_call

    async def post_call(self, req: WebRequest) -> Reply:
        """Executes a call, or returns the output of an earlier duplicate."""
        call = req.json()
        check_call(call, request_id=str, stage=str, attempt=int)
        key = req.headers.get("idempotency-key", "")
        if self.deduplicates and key:
            output = await self._execute_once(req, call, (key, call["stage"]))
        else:
            output = await self._execute(req, call)
        return json_reply(
            {
                "request_id": call["request_id"],
                "stage": call["stage"],
                "attempt": call["attempt"],
                "output": output,
                "digest": digest(output),
            }
        )

    async def _execute(self, req: WebRequest, call: dict[str, Any]) -> Any:
        await self.acquire_slot(req)
        execution = self.start_execution(req, call)
        deviation = self.jitter * self._rng.uniform(-1, 1)
        await anyio.sleep(self.service_s * (1 + deviation) * self.slow_factor)
        output = stage_output(self.kind, call["stage"], call.get("input"))
        execution.finish(True, digest(output))
        return output

    async def _execute_once(
        self, req: WebRequest, call: dict[str, Any], dedup_key: tuple[str, str]
    ) -> Any:
        while isinstance(entry := self._outputs.get(dedup_key), anyio.Event):
            await entry.wait()
        if entry is not None:
            return entry[0]
        done = anyio.Event()
        self._outputs[dedup_key] = done
        try:
            output = await self._execute(req, call)
            self._outputs[dedup_key] = (output,)
        finally:
            if self._outputs[dedup_key] is done:
                del self._outputs[dedup_key]
            done.set()
        self._evict_oldest()
        return output

    def _evict_oldest(self) -> None:
        while len(self._outputs) > KEYS_MAX:
            del self._outputs[next(iter(self._outputs))]


def serve_service(
    *,
    port: Annotated[int, Range(0, 65535)] = 0,
    name: str = "service",
    kind: Literal["encode", "retrieve", "rerank", "service"] = "service",
    slots: Annotated[int, Range(1, 100_000)] = 8,
    queue_max: Annotated[int, Range(0, 1_000_000)] = 256,
    service_s: Annotated[float, Range(0, 3600)] = 0.02,
    jitter: Annotated[float, Range(0, 1)] = 0.0,
    seed: int = 0,
    deduplicates: bool = False,
    load_lag_s: Annotated[float, Range(0, 3600)] = 0.0,
    reports_load: bool = True,
    idempotent: bool = True,
    effect: bool = True,
) -> None:
    """Serves a stand-in for a service on 127.0.0.1 until SIGTERM.

    Args:
        port: TCP port; 0 selects a free one.
        name: Name of this stand-in.
        kind: Kind of stage that it computes.
        slots: Most calls that run at once.
        queue_max: Most calls that wait for a slot.
        service_s: Mean seconds that a call takes.
        jitter: Largest relative deviation of the service time, 0 to 1.
        seed: Seed of the deviations.
        deduplicates: Execute calls with the same idempotency key only once.
        load_lag_s: Seconds by which load reports are delayed.
        reports_load: Answer GET /v1/load.
        idempotent: Whether calls may be executed twice (only reported).
        effect: Whether a call counts as running the request (only reported).
    """
    app = Service(
        name,
        kind,
        slots=slots,
        queue_max=queue_max,
        service_s=service_s,
        jitter=jitter,
        seed=seed,
        deduplicates=deduplicates,
        load_lag_s=load_lag_s,
        reports_load=reports_load,
        idempotent=idempotent,
        effect=effect,
    )
    run(app, port)


if __name__ == "__main__":
    sys.exit(run_program("standin-service", serve_service))
