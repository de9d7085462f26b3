"""The pieces of stages and the calls that make them."""

import math
from collections.abc import Sequence

from applespring.core.catalog import ListedUpstream

# Results above this size are worth keeping in their failure domain.
LARGE_RESULT_BYTES = 500_000


class Piece:
    """One piece of a stage of a request.

    Attributes:
        request: Id of the request.
        stage: Index of the stage.
        segment: Number of the piece in its stage.
        key: What it is made from, for a stage without inputs.
        inputs: Handles of results that it takes.
        origin: What the submitter needs to deliver the result.
        failure_domain: Where its result should be, or "".
        priority: Rank of the request, 0 first.
        target_at: Time by which it should be done for an answer on time.
        deadline_at: Time by which it must be done.
        result_bytes: Approximate size of its result.
        started: Whether work has been spent on its request.
        opened: Whether another piece of its stage has been called, so that
            results of the stage take up room until all are made.
        arrived_at: When it was offered.
        attempts: Calls that it was part of.
    """

    __slots__ = (
        "request",
        "stage",
        "segment",
        "key",
        "inputs",
        "origin",
        "failure_domain",
        "priority",
        "target_at",
        "deadline_at",
        "result_bytes",
        "started",
        "opened",
        "arrived_at",
        "attempts",
    )

    def __init__(
        self,
        *,
        request: str,
        stage: int,
        segment: int,
        key: str = "",
        inputs: Sequence[str] = (),
        origin: object = None,
        failure_domain: str = "",
        priority: int = 0,
        target_at: float = math.inf,
        deadline_at: float = math.inf,
        result_bytes: float = 0.0,
        started: bool = False,
        arrived_at: float = 0.0,
    ) -> None:
        self.request = request
        self.stage = stage
        self.segment = segment
        self.key = key
        self.inputs = tuple(inputs)
        self.origin = origin
        self.failure_domain = failure_domain
        self.priority = priority
        self.target_at = target_at
        self.deadline_at = deadline_at
        self.result_bytes = result_bytes
        self.started = started
        self.opened = False
        self.arrived_at = arrived_at
        self.attempts = 0

    @property
    def large(self) -> bool:
        """Whether its result should stay in its failure domain."""
        return self.result_bytes >= LARGE_RESULT_BYTES


class Call:
    """One call to an upstream.

    Attributes:
        number: Number of the call in its queue.
        upstream: The upstream that is called.
        pieces: Its pieces, in order.
        started_at: When it was handed out.
        expected_s: How long it should take.
    """

    __slots__ = ("number", "upstream", "pieces", "started_at", "expected_s")

    def __init__(
        self,
        number: int,
        upstream: ListedUpstream,
        pieces: Sequence[Piece],
        started_at: float,
        expected_s: float,
    ) -> None:
        self.number = number
        self.upstream = upstream
        self.pieces = tuple(pieces)
        self.started_at = started_at
        self.expected_s = expected_s
