"""What callers and upstreams observed during one run of the soak.

All times are seconds of the monotonic clock of the soak's process.
"""

import bisect
import math
from collections.abc import Iterable, Sequence

# Kinds of request; each has its own route.
SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"
RESUMABLE = "resumable"
STAGED = "staged"
# Kinds that a relay may send to a second upstream after a failure.
RETRYABLE = frozenset([SAFE, RESUMABLE])
STREAMING = frozenset([STREAM, RESUMABLE, STAGED])


class CallerRequest:
    """A request sent by a caller, and its answer.

    Attributes:
        request_id: Value of its `Request-Id` header.
        kind: `SAFE`, `UNSAFE`, `STREAM`, `RESUMABLE` or `STAGED`.
        instance: Name of the relay that received it.
        path: Path and query.
        key: API key that was sent.
        body: Request body.
        events: Number of events in a complete stream; 0 for other kinds.
        piece_key: `Segment-Key` header, the input of the pieces of stage 0.
        version: Configuration version whose route or key it needs, 0 for any.
        deadline_s: Deadline sent with the request.
        sent_at: When its last byte was written.
        rested_s: How long its connection had been idle before it.
        answered_at: When the head of its answer came; inf if none came.
        ended_at: When the caller had its answer or gave up; inf before.
        status: Status of the answer, 0 when none came.
        headers: Headers of the answer, names in lower case.
        answer: Received bytes of the answer's body.
        complete: Whether the answer was received to its end.
        disconnected: Whether the caller closed the connection before the
            answer ended, by its own choice or after waiting in vain.
        failure: Why there is no complete answer, "" if there is one.
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
        "rested_s",
        "answered_at",
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
        rested_s: float = 0.0,
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
        self.rested_s = rested_s
        self.answered_at = math.inf
        self.ended_at = math.inf
        self.status = 0
        self.headers: dict[str, str] = {}
        self.answer = b""
        self.complete = False
        self.disconnected = False
        self.failure = ""

    @property
    def served(self) -> bool:
        """Whether a complete success was received, of whatever status."""
        return self.complete and 200 <= self.status < 300


class Execution:
    """One execution of a request at an upstream.

    Attributes:
        request_id: Value of the `Request-Id` header as received.
        upstream: Name of the upstream; the name of its host and a number.
        start: Its start: the name, and the number of its worker in the run.
        pool: Pool of the upstream.
        started_at: When the upstream started it.
        path: Path and query as received.
        body: Body as received.
        account: Client account named in the `Tenant` header.
        headers: Headers as received, names in lower case.
        first_event: Number of the first event sent; above 1 for a resumed
            stream.
        inputs: Pieces whose results it used as inputs.
        answer: Body of the complete answer, empty for a stream.
        signature: Value of the `Response-Signature` header.
    """

    __slots__ = (
        "request_id",
        "upstream",
        "start",
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
        start: str = "",
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
        self.start = start or upstream
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

    @property
    def host(self) -> str:
        """Name of the worker host of the upstream."""
        return self.upstream.rpartition("-")[0]


class Notice:
    """What an answer of an upstream told the instance that had sent a request.

    Attributes:
        start: Start of the upstream, see `Execution.start`.
        instance: Name of the instance.
        at: When the answer was sent.
        pause_s: Time for which it asks for no requests, or None if it says
            that the upstream leaves.
    """

    __slots__ = ("start", "instance", "at", "pause_s")

    def __init__(
        self, start: str, instance: str, at: float, pause_s: float | None = None
    ) -> None:
        self.start = start
        self.instance = instance
        self.at = at
        self.pause_s = pause_s


class SentAnswer:
    """What an upstream has sent as its answer to one request.

    Attributes:
        status: Its status, 0 if nothing was sent.
        body: Sent bytes of its body.
        complete: Whether it was sent to its end.
    """

    __slots__ = ("status", "body", "complete")

    def __init__(
        self, status: int = 0, body: bytes = b"", *, complete: bool = False
    ) -> None:
        self.status = status
        self.body = body
        self.complete = complete


class Arrival:
    """A request of a caller that arrived at an upstream, executed or not.

    Attributes:
        start: Start of the upstream, see `Execution.start`.
        request: The request.
        at: When it arrived.
        answer: The answer to this sending of the request.
    """

    __slots__ = ("start", "request", "at", "answer")

    def __init__(
        self,
        start: str,
        request: CallerRequest,
        at: float,
        answer: SentAnswer | None = None,
    ) -> None:
        self.start = start
        self.request = request
        self.at = at
        self.answer = answer or SentAnswer()


class Evacuation:
    """An order to evacuate a failure domain.

    Attributes:
        domain: The domain.
        acked_at: When the store acknowledged it.
        ended_at: When it was taken back; inf before.
    """

    __slots__ = ("domain", "acked_at", "ended_at")

    def __init__(self, domain: str, acked_at: float) -> None:
        self.domain = domain
        self.acked_at = acked_at
        self.ended_at = math.inf


class LimitedArrival:
    """A request of any kind that arrived at an upstream with a rate limit.

    Attributes:
        start: Start of the upstream, see `Execution.start`.
        instance: Name of the instance that sent it, or "" if it is not known,
            as of stage calls.
        at: When it arrived.
        per_s: The limit that its answer names.
    """

    __slots__ = ("start", "instance", "at", "per_s")

    def __init__(
        self, start: str, instance: str, at: float, per_s: float
    ) -> None:
        self.start = start
        self.instance = instance
        self.at = at
        self.per_s = per_s


class ColdArrival:
    """A request of any kind that arrived at a cold upstream.

    Attributes:
        start: Start of the upstream, see `Execution.start`.
        at: When it arrived.
    """

    __slots__ = ("start", "at")

    def __init__(self, start: str, at: float) -> None:
        self.start = start
        self.at = at


class Piece:
    """One execution of a piece at a stage upstream.

    Attributes:
        request_id: Id of the request it belongs to.
        stage: Index of the stage.
        segment: Index of the piece.
        key: `Segment-Key` of the request, for a stage without inputs.
        inputs: Pieces whose results were named as inputs and still existed.
        input_count: Number of inputs that were named, existing or not.
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


# `failure` of a request whose caller disconnected by choice before the answer,
# and of one whose caller waited in vain for the answer or the next event.
DISCONNECTED = "the caller disconnected"
NO_ANSWER = "no answer"
NO_EVENT = "no event"
# Kind and target of a pause of the soak's own process. Times measured during
# it are not reliable.
STALL = "stall"
TESTBED = "testbed"
# Kind of a time in which a busy machine kept an instance from running.
STARVED = "starved"


class Fault:
    """One injected fault, with the time during which it had an effect.

    Attributes:
        kind: Name of the kind of fault.
        targets: What it affects: `instance:NAME`, an instance; `term:NAME`,
            an instance that is shut down with SIGTERM; `store:NAME`, the link
            from an instance to the store; `peer:NAME`, the link from the other
            instances to an instance; `place:NAME`, a worker host or the link
            to it; `leaving:NAME`, a worker host whose worker is drained;
            `silent:NAME`, a worker host whose workers only send nothing;
            `starved:NAME`, an instance that waited for a processor.
        started_at: When it started.
        ended_at: When it ended; inf while it lasts.
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
    """A stored configuration.

    Attributes:
        number: Its `version` field.
        acked_at: When the store acknowledged it.
        replaced_at: Just before the next one was stored; inf until then.
        idle_timeout_s: Its limit for idle connections of callers.
    """

    __slots__ = ("number", "acked_at", "replaced_at", "idle_timeout_s")

    def __init__(
        self,
        number: int,
        acked_at: float,
        idle_timeout_s: float = math.inf,
    ) -> None:
        self.number = number
        self.acked_at = acked_at
        self.idle_timeout_s = idle_timeout_s
        self.replaced_at = math.inf


class Records:
    """Everything observed in one run.

    Attributes:
        requests: Requests sent by callers, by request id.
        executions: Executions at upstreams, by request id.
        pieces: Executions of pieces at stage upstreams.
        faults: Injected faults, and pauses of the soak's own process.
        drain_acked_at: When the store acknowledged that an upstream is
            draining, by its start.
        notices: What upstreams told instances in answers.
        limited_arrivals: Requests that arrived at upstreams with a rate limit.
        cold_arrivals: Requests that arrived at upstreams that are cold and
            have said so for some time, or since their start.
        arrivals: Requests of callers that arrived at upstreams.
        domains: Failure domain of each start of an upstream.
        evacuations: Orders to evacuate failure domains.
        sigterms: Times in order at which SIGTERM was sent, by instance.
        oversized: Most memory in MB of processes that used more than their
            machines have, by instance.
        most_sockets: Most sockets of processes that had more than they may, by
            instance.
        unexpected_exits: Instance, time and exit code of processes that ended
            although the soak had not ended them.
        late_exits: Instance and time of processes that were still running
            `TERM_GRACE_S` after SIGTERM, when they were killed.
        versions: Configurations, in the order in which they were stored.
        faults_ended_at: When all faults had ended and the time for recovery
            had passed; inf before.
        deadly_share: Share of the requests to engines that have a prompt part
            on which engines crash at present.
        deadly_targets: Path and query of the requests that crash each worker
            that begins to run them.
        repeated: One of these that callers send at present, or None.
        deadly_crashes: When workers crashed, by prompt part or path.
    """

    __slots__ = (
        "requests",
        "executions",
        "pieces",
        "faults",
        "drain_acked_at",
        "notices",
        "limited_arrivals",
        "cold_arrivals",
        "arrivals",
        "domains",
        "evacuations",
        "sigterms",
        "oversized",
        "most_sockets",
        "unexpected_exits",
        "late_exits",
        "versions",
        "faults_ended_at",
        "deadly_share",
        "deadly_targets",
        "repeated",
        "deadly_crashes",
    )

    def __init__(self) -> None:
        self.requests: dict[str, CallerRequest] = {}
        self.executions: dict[str, list[Execution]] = {}
        self.pieces: list[Piece] = []
        self.faults: list[Fault] = []
        self.drain_acked_at: dict[str, float] = {}
        self.notices: list[Notice] = []
        self.limited_arrivals: list[LimitedArrival] = []
        self.cold_arrivals: list[ColdArrival] = []
        self.arrivals: list[Arrival] = []
        self.domains: dict[str, str] = {}
        self.evacuations: list[Evacuation] = []
        self.sigterms: dict[str, list[float]] = {}
        self.oversized: dict[str, float] = {}
        self.most_sockets: dict[str, int] = {}
        self.unexpected_exits: list[tuple[str, float, int]] = []
        self.late_exits: list[tuple[str, float]] = []
        self.versions: list[Version] = []
        self.faults_ended_at = math.inf
        self.deadly_share = 0.0
        self.deadly_targets: set[str] = set()
        self.repeated: CallerRequest | None = None
        self.deadly_crashes: dict[str, list[float]] = {}

    def add_execution(self, execution: Execution) -> None:
        """Adds an execution to those of its request."""
        self.executions.setdefault(execution.request_id, []).append(execution)

    def is_undisturbed(
        self, since: float, until: float, targets: Iterable[str]
    ) -> bool:
        """Returns whether no fault affected any of the targets in an interval.

        A pause of the soak's own process affects every target.

        Args:
            since: Start of the interval.
            until: End of the interval, included.
            targets: As in `Fault.targets`; one that ends with a colon matches
                every target with this prefix.
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
        """Returns when SIGTERM was last sent up to a time, -inf if never."""
        sigterms = self.sigterms.get(instance, [])
        index = bisect.bisect_right(sigterms, before)
        return sigterms[index - 1] if index else -math.inf
