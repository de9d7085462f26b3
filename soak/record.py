"""What callers and upstreams saw during a run of the soak.

All times are seconds of the steady clock of the soak's process.
"""

import bisect
import math
from collections.abc import Iterable, Sequence

# Every kind of request is sent on a route of its own.
SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"
RESUMABLE = "resumable"
STAGED = "staged"
# Kinds that a relay may send to a second upstream after a failure.
RETRYABLE = frozenset([SAFE, RESUMABLE])
STREAMING = frozenset([STREAM, RESUMABLE, STAGED])


class CallerRequest:
    """One request of a caller and what came of it.

    Attributes:
        request: Its id.
        kind: Kind of request.
        instance: Name of the relay that got it.
        path: Path and query.
        key: API key that was sent.
        body: Its body.
        events: Events that its stream has.
        piece_key: What its first pieces are made from.
        version: Configuration whose route or key it needs, 0 for any.
        deadline_s: Time that the caller waits.
        sent_at: When its last byte was written.
        ended_at: When the caller had its answer or gave up; inf before.
        status: Status of the answer, 0 when none came.
        headers: Headers of the answer, names in lower case.
        answer: Bytes of its body.
        whole: Whether the answer ended as complete.
        left: Whether the caller left before the answer ended.
        failure: Why there is no whole answer, "" if there is one.
    """

    __slots__ = (
        "request_id",
        "kind",
        "instance",
        "path",
        "key",
        "body",
        "events",
        "piece_key",
        "version",
        "deadline_s",
        "sent_at",
        "ended_at",
        "status",
        "headers",
        "answer",
        "complete",
        "disconnected",
        "failure",
    )

    def __init__(
        self,
        request_id: str,
        kind: str,
        *,
        instance: str = "",
        path: str = "",
        key: str = "",
        body: bytes = b"",
        events: int = 0,
        piece_key: str = "",
        version: int = 0,
        deadline_s: float = 1.0,
        sent_at: float = 0.0,
    ) -> None:
        self.request_id = request_id
        self.kind = kind
        self.instance = instance
        self.path = path
        self.key = key
        self.body = body
        self.events = events
        self.piece_key = piece_key
        self.version = version
        self.deadline_s = deadline_s
        self.sent_at = sent_at
        self.ended_at = math.inf
        self.status = 0
        self.headers: dict[str, str] = {}
        self.answer = b""
        self.complete = False
        self.disconnected = False
        self.failure = ""

    @property
    def served(self) -> bool:
        """Whether a whole successful answer came."""
        return self.complete and self.status == 200


class Execution:
    """One execution of a request at an upstream.

    Attributes:
        request: Its id.
        upstream: Name of the upstream.
        pool: Pool of the upstream.
        at: When it began.
        path: Path and query as received.
        body: Body as received.
        account: Client account that the upstream was told.
        headers: Headers as received, names in lower case.
        first_event: Number of the first event that it makes.
        inputs: Pieces whose results it took.
        answer: Its whole answer, "" for a stream.
        signature: Signature of its answer.
    """

    __slots__ = (
        "request_id",
        "upstream",
        "pool",
        "started_at",
        "path",
        "body",
        "account",
        "headers",
        "first_event",
        "inputs",
        "answer",
        "signature",
    )

    def __init__(
        self,
        request_id: str,
        upstream: str,
        pool: str,
        started_at: float,
        *,
        path: str = "",
        body: bytes = b"",
        account: str = "",
        headers: dict[str, str] | None = None,
        first_event: int = 1,
        inputs: Sequence["Piece"] = (),
        answer: bytes = b"",
        signature: str = "",
    ) -> None:
        self.request_id = request_id
        self.upstream = upstream
        self.pool = pool
        self.started_at = started_at
        self.path = path
        self.body = body
        self.account = account
        self.headers = headers or {}
        self.first_event = first_event
        self.inputs = inputs
        self.answer = answer
        self.signature = signature


class Piece:
    """One piece that a stage upstream was asked for.

    Attributes:
        request: Id of the request.
        stage: Index of the stage.
        segment: Index of the piece.
        key: What it is made from, for a stage without inputs.
        inputs: Pieces that it is made of, as far as they exist.
        inputs_named: Number of inputs that were named.
    """

    __slots__ = (
        "request_id",
        "stage",
        "segment",
        "key",
        "inputs",
        "input_count",
    )

    def __init__(
        self,
        request_id: str,
        stage: int,
        segment: int,
        key: str,
        inputs: Sequence["Piece"],
        input_count: int,
    ) -> None:
        self.request_id = request_id
        self.stage = stage
        self.segment = segment
        self.key = key
        self.inputs = inputs
        self.input_count = input_count

    @property
    def name(self) -> tuple[str, int, int]:
        """Request, stage and segment."""
        return (self.request_id, self.stage, self.segment)


# Failure of an attempt whose caller left before its answer.
DISCONNECTED = "the caller left"
# Kind and target of a pause of the soak itself, which can then time nothing.
STALL = "stall"
TESTBED = "testbed"


class Fault:
    """One fault, from its begin to the end of its effect.

    Attributes:
        kind: Name of the kind of fault.
        targets: What it harms: `instance:NAME`; `term:NAME`, an instance that
            is stopped in order; `store:NAME`, an instance's way to the store;
            `peer:NAME`, the way of others to an instance; `place:NAME`, a
            worker or the way to it; `leaving:NAME`, a worker that leaves.
        began_at: When it began.
        ended_at: When it had ended; inf while it lasts.
    """

    __slots__ = ("kind", "targets", "started_at", "ended_at")

    def __init__(
        self, kind: str, targets: Iterable[str], started_at: float
    ) -> None:
        self.kind = kind
        self.targets = frozenset(targets)
        self.started_at = started_at
        self.ended_at = math.inf


class Version:
    """One configuration.

    Attributes:
        number: Its version.
        acked_at: When the store acknowledged it.
        replaced_at: When the next one was sent; inf before.
    """

    __slots__ = ("number", "acked_at", "replaced_at")

    def __init__(self, number: int, acked_at: float) -> None:
        self.number = number
        self.acked_at = acked_at
        self.replaced_at = math.inf


class Records:
    """Everything that was seen in one run.

    Attributes:
        attempts: Requests of callers, by id.
        runs: Executions, by request.
        pieces: Pieces that were asked for.
        faults: Faults that were injected.
        leavings: When the store acknowledged that an upstream leaves.
        terms: When an instance was sent SIGTERM.
        exits: Instance, time and exit code of processes that ended by
            themselves.
        overstays: Instance and time of processes that were still there at the
            end of their time after SIGTERM.
        versions: Configurations, in the order in which they were stored.
        calm_from: When all faults had ended; inf before.
    """

    __slots__ = (
        "requests",
        "executions",
        "pieces",
        "faults",
        "drain_acked_at",
        "sigterms",
        "unexpected_exits",
        "late_exits",
        "versions",
        "faults_ended_at",
    )

    def __init__(self) -> None:
        self.requests: dict[str, CallerRequest] = {}
        self.executions: dict[str, list[Execution]] = {}
        self.pieces: list[Piece] = []
        self.faults: list[Fault] = []
        self.drain_acked_at: dict[str, float] = {}
        self.sigterms: dict[str, list[float]] = {}
        self.unexpected_exits: list[tuple[str, float, int]] = []
        self.late_exits: list[tuple[str, float]] = []
        self.versions: list[Version] = []
        self.faults_ended_at = math.inf

    def add_execution(self, execution: Execution) -> None:
        """Notes an execution."""
        self.executions.setdefault(execution.request_id, []).append(execution)

    def is_undisturbed(
        self, since: float, until: float, targets: Iterable[str]
    ) -> bool:
        """Returns whether no fault touched any of the targets in a time.

        A pause of the soak itself touches every target.

        Args:
            since: Begin of the time.
            until: End of the time.
            targets: As in `Fault.targets`; one that ends with a colon stands
                for all that begin so.
        """
        targets = [*targets, TESTBED]
        return not any(
            fault.started_at <= until
            and fault.ended_at >= since
            and any(
                name == target
                or (target[-1] == ":" and name.startswith(target))
                for name in fault.targets
                for target in targets
            )
            for fault in self.faults
        )

    def last_sigterm_at(self, instance: str, before: float) -> float:
        """Returns the last SIGTERM of an instance up to a time, or -inf."""
        sigterms = self.sigterms.get(instance, [])
        index = bisect.bisect_right(sigterms, before)
        return sigterms[index - 1] if index else -math.inf
