"""The conditions under which a rule holds.

A condition is a function decorated with `condition` that returns one fact of
the request. The function's name is the name of the condition in the
configuration document. The decorator's `ValueKind` states which arguments the
document may give, and compares the argument with the fact.
"""

from collections.abc import Callable, Mapping
from typing import Any

from applespring.core.value_kind import (
    Above,
    Below,
    Flag,
    Hours,
    PoolFraction,
    Selection,
    ValueKind,
)

DEADLINE_MAX_S = 3600.0

_Observe = Callable[["Facts", Any], Any]


class Facts:
    """The properties of a request and its instance that conditions read.

    Attributes:
        pipeline: Name of the pipeline.
        account: Name of the client account.
        failure_domain: Failure domain of the instance that received the
            request.
        deadline_s: Seconds that remain until the deadline.
        stream: Whether the caller requests server-sent events.
        hour_utc: Hour of the day in UTC, 0 to 23.
        label: Label set by the caller, or "".
        pool_busy: Pool name to the fraction of its slots in use, 0 to 1.
    """

    __slots__ = (
        "pipeline",
        "account",
        "failure_domain",
        "deadline_s",
        "stream",
        "hour_utc",
        "label",
        "pool_busy",
    )

    def __init__(
        self,
        pipeline: str,
        account: str,
        *,
        failure_domain: str = "",
        deadline_s: float = 10.0,
        stream: bool = False,
        hour_utc: int = 0,
        label: str = "",
        pool_busy: Mapping[str, float] | None = None,
    ) -> None:
        self.pipeline = pipeline
        self.account = account
        self.failure_domain = failure_domain
        self.deadline_s = deadline_s
        self.stream = stream
        self.hour_utc = hour_utc
        self.label = label
        self.pool_busy = {} if pool_busy is None else pool_busy


class Condition:
    """A registered condition.

    Attributes:
        name: Name in the document.
        kind: The arguments that the document may give.
        observe: Function of the facts and the argument that returns the fact
            to compare with the argument.
    """

    __slots__ = ("name", "kind", "observe")

    def __init__(self, name: str, kind: ValueKind, observe: _Observe) -> None:
        self.name = name
        self.kind = kind
        self.observe = observe

    def holds(self, facts: Facts, argument: Any) -> bool:
        """Compares the argument, which must be valid, with the facts."""
        return self.kind.matches(argument, self.observe(facts, argument))


CONDITIONS: dict[str, Condition] = {}


def condition(kind: ValueKind) -> Callable[[_Observe], _Observe]:
    """Registers the decorated function in `CONDITIONS` under its own name."""

    def register(observe: _Observe) -> _Observe:
        name = observe.__name__
        CONDITIONS[name] = Condition(name, kind, observe)
        return observe

    return register


@condition(Selection("pipeline"))
def pipeline(facts: Facts, argument: Any) -> str:
    """The request is for one of these pipelines."""
    del argument
    return facts.pipeline


@condition(Selection("account"))
def account(facts: Facts, argument: Any) -> str:
    """The request comes from one of these client accounts."""
    del argument
    return facts.account


@condition(Selection("failure domain"))
def failure_domain(facts: Facts, argument: Any) -> str:
    """The instance runs in one of these failure domains."""
    del argument
    return facts.failure_domain


@condition(Below(0.001, DEADLINE_MAX_S))
def deadline_below_s(facts: Facts, argument: Any) -> float:
    """Less than this many seconds remain until the deadline."""
    del argument
    return facts.deadline_s


@condition(Above(0, DEADLINE_MAX_S))
def deadline_above_s(facts: Facts, argument: Any) -> float:
    """More than this many seconds remain until the deadline."""
    del argument
    return facts.deadline_s


@condition(Hours())
def hours_utc(facts: Facts, argument: Any) -> int:
    """The request arrives in these hours of the day, in UTC."""
    del argument
    return facts.hour_utc


@condition(Flag())
def stream(facts: Facts, argument: Any) -> bool:
    """The caller requests a stream, or with `false` does not."""
    del argument
    return facts.stream


@condition(Selection())
def label(facts: Facts, argument: Any) -> str:
    """The caller's label is one of these."""
    del argument
    return facts.label


@condition(PoolFraction())
def pool_busy_above(facts: Facts, argument: Any) -> float:
    """More than this fraction of the pool's slots is in use.

    A pool without a value in `Facts.pool_busy` counts as idle.
    """
    return facts.pool_busy.get(argument["pool"], 0.0)
