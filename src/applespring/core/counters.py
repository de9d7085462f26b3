"""Event counters of a gate, for metrics."""


class GateCounters:
    """Totals since the gate was created; their names are metric labels.

    Attributes:
        submitted: Tickets submitted.
        granted: Tickets granted.
        succeeded: Grants whose call succeeded.
        failed: Grants whose call failed at the upstream.
        cancelled: Grants whose call ended as CANCELLED or WITHDRAWN (see
            `FailureKind`), which does not count against the upstream.
        withdrawn: Tickets taken back by `PoolGate.withdraw` while queued.
        refused_deadline: Submissions refused as DEADLINE_UNREACHABLE.
        refused_overload: Submissions refused as OVERLOADED.
        refused_no_upstream: Submissions refused as NO_UPSTREAM.
        shed_deadline: Queued tickets that could not meet their deadline.
        shed_overload: Tickets shed because the queue was full, or because
            they may not wait and could not start.
        shed_no_upstream: Queued tickets for which no upstream was eligible any
            more.
        ejected: Ejections of upstreams.
        spilled: Grants at upstreams outside the instance's failure domain.
    """

    __slots__ = (
        "submitted",
        "granted",
        "succeeded",
        "failed",
        "cancelled",
        "withdrawn",
        "refused_deadline",
        "refused_overload",
        "refused_no_upstream",
        "shed_deadline",
        "shed_overload",
        "shed_no_upstream",
        "ejected",
        "spilled",
    )

    def __init__(self) -> None:
        for name in self.__slots__:
            setattr(self, name, 0)

    def add(self, name: str, count: int = 1) -> None:
        """Adds to the counter of this name.

        Raises:
            AttributeError: There is no such counter.
        """
        setattr(self, name, getattr(self, name) + count)
