"""Tickets and grants of a pool's gate, and load reports of its upstreams."""

from applespring.core.fleet import Upstream
from applespring.core.reason import Reason

PRIORITIES = 10
DEFAULT_PRIORITY = 5
SPILLS = ("never", "full", "any")


class Ticket:
    """Request of one stage call for an upstream of a pool.

    Attributes:
        request_id: Id of the request.
        stage: Name of the stage.
        account: Name of the client account.
        weight: Relative share of the account under contention, above 0.
        deadline_at: Deadline of the request in seconds.
        priority: 0 (urgent) to 9.
        remaining_stages_s: Expected seconds of the stages after this one.
        prefix: Hashes of the prompt's prefix blocks, in order.
        exclude: Names of upstreams that must not get the call.
        spill: "never" keeps the call in the failure domain of this instance,
            "full" prefers that domain while one of its upstreams can start
            the call, "any" treats all domains alike.
        may_queue: Whether the call may wait; otherwise it starts in the `take`
            that follows `submit` or is shed by it.
        hedge_of: Name of the upstream of the attempt that this one hedges,
            which is excluded, or "".
        enqueued_at: When the gate accepted it, in seconds.
        due_at: When this stage must have ended, in seconds.
        shed_reason: Why the gate shed it, or None.
        subqueue_key: What decides which upstreams are eligible; tickets with
            the same key share a subqueue.
        queue_key: Sort key in the queue while it is queued, else None.
    """

    __slots__ = (
        "request_id",
        "stage",
        "account",
        "weight",
        "deadline_at",
        "priority",
        "remaining_stages_s",
        "prefix",
        "exclude",
        "spill",
        "may_queue",
        "hedge_of",
        "enqueued_at",
        "due_at",
        "shed_reason",
        "subqueue_key",
        "queue_key",
    )

    def __init__(
        self,
        request_id: str,
        stage: str,
        account: str,
        *,
        deadline_at: float,
        weight: float = 1.0,
        priority: int = DEFAULT_PRIORITY,
        remaining_stages_s: float = 0.0,
        prefix: tuple[int, ...] = (),
        exclude: frozenset[str] = frozenset(),
        spill: str = "full",
        may_queue: bool = True,
        hedge_of: str = "",
    ) -> None:
        if not 0 <= priority < PRIORITIES:
            raise ValueError(
                f"priority {priority} of ticket {request_id} is not in 0..9"
            )
        if spill not in SPILLS:
            raise ValueError(
                f"spill {spill!r} of ticket {request_id} is not one of {SPILLS}"
            )
        if not weight > 0.0:
            raise ValueError(
                f"weight {weight} of ticket {request_id} is not above 0"
            )
        if not remaining_stages_s >= 0.0:
            raise ValueError(
                f"remaining_stages_s {remaining_stages_s} of ticket"
                f" {request_id} is below 0"
            )
        self.request_id = request_id
        self.stage = stage
        self.account = account
        self.weight = weight
        self.deadline_at = deadline_at
        self.priority = priority
        self.remaining_stages_s = remaining_stages_s
        self.prefix = prefix
        self.exclude = exclude | {hedge_of} if hedge_of else exclude
        self.spill = spill
        self.may_queue = may_queue
        self.hedge_of = hedge_of
        self.enqueued_at = 0.0
        self.due_at = deadline_at - remaining_stages_s
        self.shed_reason: Reason | None = None
        self.subqueue_key = (self.spill, self.exclude)
        self.queue_key: tuple[int, float, int] | None = None


class Grant:
    """Permission to send one call to one upstream.

    Attributes:
        ticket: The ticket for which it was given.
        upstream: The upstream that gets the call.
        started_at: When it was granted, in seconds.
    """

    __slots__ = ("ticket", "upstream", "started_at")

    def __init__(
        self, ticket: Ticket, upstream: Upstream, started_at: float
    ) -> None:
        self.ticket = ticket
        self.upstream = upstream
        self.started_at = started_at


class LoadReport:
    """Load of an upstream by its own report.

    Attributes:
        state: "serving" or "leaving".
        running: Calls that it is executing, of all instances.
        waiting: Calls in its queue, of all instances.
        slots: Calls that it can execute at once; 0 when unknown.
        age_s: Age of these figures when the report was received, in seconds.
    """

    __slots__ = ("state", "running", "waiting", "slots", "age_s")

    def __init__(
        self,
        state: str,
        running: int,
        waiting: int,
        slots: int,
        age_s: float = 0.0,
    ) -> None:
        if state not in ("serving", "leaving"):
            raise ValueError(
                f"upstream state {state!r} is not one of serving, leaving"
            )
        self.state = state
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.age_s = age_s
