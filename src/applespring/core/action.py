"""The actions of rules.

An action is one function that changes the decision; its name is the name in
the document. The kind given to the decorator states the allowed arguments.
"""

from collections.abc import Callable, Mapping
from typing import Any

from applespring.core.value_kind import (
    Choice,
    Flag,
    Integer,
    StagePools,
    Text,
    ValueKind,
)

PRIORITY_DEFAULT = 5
PRIORITY_MAX = 9
MAX_TOKENS_MAX = 1_000_000

_Apply = Callable[["Decision", Any], None]


class Decision:
    """What the rules decide about a request.

    Attributes:
        rule: Name of the deciding rule, or "" when no rule holds.
        line: Line of that rule in the document.
        refuse: Why the request is refused, or None.
        priority: 0 (most urgent) to 9.
        spill: When work may leave its failure domain: "never", "full" (the
            own failure domain has no free capacity) or "any".
        hedge: Whether idempotent stages may be hedged.
        retry: Whether idempotent stages may be retried.
        max_tokens: Most tokens per generation, or None for the pool's value.
        pools: Stage name to the pool that executes it instead of its own.
        queue: Whether the request may wait when a pool is full.
    """

    __slots__ = (
        "rule",
        "line",
        "refuse",
        "priority",
        "spill",
        "hedge",
        "retry",
        "max_tokens",
        "pools",
        "queue",
    )

    def __init__(self, rule: str = "", line: int = 0) -> None:
        self.rule = rule
        self.line = line
        self.refuse: str | None = None
        self.priority = PRIORITY_DEFAULT
        self.spill = "full"
        self.hedge = False
        self.retry = True
        self.max_tokens: int | None = None
        self.pools: Mapping[str, str] = {}
        self.queue = True


class Action:
    """A registered action.

    Attributes:
        name: Name in the document.
        kind: Kind of argument.
        apply: Changes a decision.
    """

    __slots__ = ("name", "kind", "apply")

    def __init__(self, name: str, kind: ValueKind, apply: _Apply) -> None:
        self.name = name
        self.kind = kind
        self.apply = apply


ACTIONS: dict[str, Action] = {}


def action(kind: ValueKind) -> Callable[[_Apply], _Apply]:
    """Registers the decorated function under its own name."""

    def register(apply: _Apply) -> _Apply:
        name = apply.__name__
        ACTIONS[name] = Action(name, kind, apply)
        return apply

    return register


@action(Text())
def refuse(decision: Decision, argument: str) -> None:
    """Refuses the request with this sentence."""
    decision.refuse = argument


@action(Integer(0, PRIORITY_MAX))
def priority(decision: Decision, argument: int) -> None:
    """Sets the priority, 0 for the most urgent."""
    decision.priority = argument


@action(Choice("never", "full", "any"))
def spill(decision: Decision, argument: str) -> None:
    """Sets when work may leave its failure domain."""
    decision.spill = argument


@action(Flag())
def hedge(decision: Decision, argument: bool) -> None:
    """Allows or forbids hedges of idempotent stages."""
    decision.hedge = argument


@action(Flag())
def retry(decision: Decision, argument: bool) -> None:
    """Allows or forbids retries of idempotent stages."""
    decision.retry = argument


@action(Integer(1, MAX_TOKENS_MAX))
def max_tokens(decision: Decision, argument: int) -> None:
    """Limits the tokens of each generation."""
    decision.max_tokens = argument


@action(StagePools())
def pools(decision: Decision, argument: Mapping[str, str]) -> None:
    """Lets other pools execute some stages."""
    decision.pools = argument


@action(Flag())
def queue(decision: Decision, argument: bool) -> None:
    """Allows waiting for a full pool, or refuses at once."""
    decision.queue = argument
