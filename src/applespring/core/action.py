"""The actions that a rule can take, each of which sets part of the decision.

An action is a function decorated with `action`. The function's name is the
name of the action in the configuration document, and the decorator's
`ValueKind` states which arguments the document may give it.
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
    """How a request is handled, as the deciding rule sets it.

    The values that `__init__` assigns apply where the rule sets none.

    Attributes:
        rule: Name of the deciding rule, or "" when no rule holds.
        line: Line of the document at which that rule starts, or 0.
        refuse: Detail of the refusal sent to the caller, or None if the
            request is not refused by a rule.
        priority: 0 (most urgent) to 9.
        spill: When work may leave its failure domain: "never", "full" (when
            the local failure domain has no free capacity) or "any".
        hedge: Whether idempotent stages may be hedged.
        retry: Whether idempotent stages may be retried.
        max_tokens: Maximum tokens per generation, or None to apply the
            `max_tokens` of the pool alone.
        pools: Stage name to the name of the pool that executes the stage
            instead of the one in its pipeline.
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
        kind: The arguments that the document may give.
        apply: Function of the decision to change and the argument.
    """

    __slots__ = ("name", "kind", "apply")

    def __init__(self, name: str, kind: ValueKind, apply: _Apply) -> None:
        self.name = name
        self.kind = kind
        self.apply = apply


ACTIONS: dict[str, Action] = {}


def action(kind: ValueKind) -> Callable[[_Apply], _Apply]:
    """Registers the decorated function in `ACTIONS` under its own name."""

    def register(apply: _Apply) -> _Apply:
        name = apply.__name__
        ACTIONS[name] = Action(name, kind, apply)
        return apply

    return register


@action(Text())
def refuse(decision: Decision, argument: str) -> None:
    """Refuses the request; the argument is the detail sent to the caller."""
    decision.refuse = argument


@action(Integer(0, PRIORITY_MAX))
def priority(decision: Decision, argument: int) -> None:
    """Sets the priority; 0 is the most urgent."""
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
    """Sets the maximum number of tokens of each generation."""
    decision.max_tokens = argument


@action(StagePools())
def pools(decision: Decision, argument: Mapping[str, str]) -> None:
    """Sends the named stages to other pools than those of the pipeline."""
    decision.pools = argument


@action(Flag())
def queue(decision: Decision, argument: bool) -> None:
    """Lets the request wait for a full pool, or refuses it immediately."""
    decision.queue = argument
