"""Pieces of stages, and the calls to upstreams that execute them."""

import math
from collections.abc import Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.homes import Regions

# From this size on, a result should not be moved out of its failure domain.
LARGE_RESULT_BYTES = 500_000


class Piece:
    """One piece of a stage of a request.

    Attributes:
        request: Id of the request.
        stage: Index of the stage.
        segment: Number of the piece in its stage.
        key: Names the data that a piece without inputs is made from.
        inputs: Handles of the results that it reads.
        origin: Submission that it belongs to; the queue only compares it.
        failure_domain: Preferred failure domain of its result, or "" for any.
        priority: Rank of the request, 0 is the most urgent.
        target_at: When it has to be done for the request to be on time.
        deadline_at: When its result becomes useless.
        result_bytes: Approximate size of its result.
        started: Whether work on its request has started, at this stage or at
            another one.
        opened: Whether a piece of its stage has been called. The results of an
            opened stage occupy memory until all of them are made.
        arrived_at: When it was queued first.
        attempts: Calls that it was part of, without refused ones.
        withdrawn: Whether its result is not needed any more.
        fingerprint: Fingerprint of its request.
        isolated: Whether it shares calls only with pieces of its request, of
            which one is made at a time, since an upstream ended under it.
        is_trial: Whether its request is a trial of what is quarantined.
        regions: Regions whose upstreams may execute it; None for all.
        account: Name of the client account of its request, or "".
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
        "withdrawn",
        "fingerprint",
        "isolated",
        "is_trial",
        "regions",
        "account",
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
        fingerprint: str = "",
        isolated: bool = False,
        is_trial: bool = False,
        regions: Regions = None,
        account: str = "",
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
        self.withdrawn = False
        self.fingerprint = fingerprint
        self.isolated = isolated
        self.is_trial = is_trial
        self.regions = regions
        self.account = account


class Call:
    """One call to an upstream.

    Attributes:
        number: Sequence number in its queue.
        upstream: The upstream that is called.
        pieces: Its pieces; results come in the same order.
        started_at: When the queue released it for sending.
        expected_s: Expected time, from the upstream's measured slowdown.
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
