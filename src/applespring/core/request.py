"""A request and its answer, independent of the protocol."""

from collections.abc import Sequence
from typing import Any

from applespring.core.verdict import Verdict


class Request:
    """One submission of a request by a caller.

    Attributes:
        request_id: Unique id, from the caller or else from the instance.
        pipeline: Name of the pipeline.
        account: Name of the client account.
        payload: The JSON value under `input`.
        arrived_at: Seconds on the monotonic clock.
        deadline_at: Seconds on the monotonic clock.
        stream: Whether the caller asked for server-sent events.
        key: Text of the Idempotency-Key, or "".
        label: The caller's label, which rules can match, or "".
    """

    __slots__ = (
        "request_id",
        "pipeline",
        "account",
        "payload",
        "arrived_at",
        "deadline_at",
        "stream",
        "key",
        "label",
    )

    def __init__(
        self,
        request_id: str,
        pipeline: str,
        account: str,
        payload: Any,
        *,
        arrived_at: float,
        deadline_at: float,
        stream: bool = False,
        key: str = "",
        label: str = "",
    ) -> None:
        self.request_id = request_id
        self.pipeline = pipeline
        self.account = account
        self.payload = payload
        self.arrived_at = arrived_at
        self.deadline_at = deadline_at
        self.stream = stream
        self.key = key
        self.label = label


class StageCost:
    """Cost units spent on one attempt of one stage.

    Attributes:
        stage: Name of the stage.
        pool: Name of the pool.
        cost: Cost units, as the pool's `cost` defines them.
        attempt: Number of the attempt, from 1.
    """

    __slots__ = ("stage", "pool", "cost", "attempt")

    def __init__(
        self, stage: str, pool: str, cost: float, attempt: int
    ) -> None:
        self.stage = stage
        self.pool = pool
        self.cost = cost
        self.attempt = attempt


class Answer:
    """The complete answer to a request.

    Attributes:
        request_id: Id of the request that it answers.
        pipeline: Name of the pipeline.
        output: The last stage's output, a JSON value.
        verdict: Always RAN, since the answer is complete.
        costs: Cost of each attempt, in the order of execution.
    """

    __slots__ = ("request_id", "pipeline", "output", "verdict", "costs")

    def __init__(
        self,
        request_id: str,
        pipeline: str,
        output: Any,
        costs: Sequence[StageCost] = (),
    ) -> None:
        self.request_id = request_id
        self.pipeline = pipeline
        self.output = output
        self.verdict = Verdict.RAN
        self.costs = tuple(costs)
