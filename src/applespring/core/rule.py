"""Evaluates the ordered rules; the first one whose conditions hold decides."""

from collections.abc import Sequence
from typing import Any

from applespring.core.action import ACTIONS, Decision
from applespring.core.condition import CONDITIONS, Facts
from applespring.core.fleet import Fleet, Rule
from applespring.core.value_kind import describe_value

__all__ = [
    "ConditionOutcome",
    "Decision",
    "Facts",
    "RuleOutcome",
    "decide",
    "explain",
]


class ConditionOutcome:
    """Result of one condition of a rule, for explanations.

    Attributes:
        name: Name of the condition.
        argument: Argument in the document.
        held: Whether the condition held.
        observation: Text that states the fact the argument was compared with,
            for example `observed 0.9`.
    """

    __slots__ = ("name", "argument", "held", "observation")

    def __init__(
        self, name: str, argument: Any, held: bool, observation: str
    ) -> None:
        self.name = name
        self.argument = argument
        self.held = held
        self.observation = observation


class RuleOutcome:
    """Result of one rule, for explanations.

    Attributes:
        rule: The evaluated rule.
        conditions: Results of its conditions in the order of the document.
        held: Whether all conditions held.
        decides: Whether this is the first rule that held.
    """

    __slots__ = ("rule", "conditions", "held", "decides")

    def __init__(
        self,
        rule: Rule,
        conditions: Sequence[ConditionOutcome],
        decides: bool,
    ) -> None:
        self.rule = rule
        self.conditions = tuple(conditions)
        self.held = all(outcome.held for outcome in conditions)
        self.decides = decides


def decide(fleet: Fleet, facts: Facts) -> Decision:
    """Returns the decision of the first rule that holds.

    The last rule of a valid document always holds. If no rule holds, the
    defaults of `Decision` apply.
    """
    for rule in fleet.rules:
        if _holds(rule, facts):
            return _apply_rule(rule)
    return Decision()


def explain(fleet: Fleet, facts: Facts) -> list[RuleOutcome]:
    """Evaluates every rule, also those after the deciding one, in order."""
    outcomes: list[RuleOutcome] = []
    decided = False
    for rule in fleet.rules:
        conditions = [
            _explain_condition(name, argument, facts)
            for name, argument in rule.when.items()
        ]
        held = all(outcome.held for outcome in conditions)
        outcomes.append(RuleOutcome(rule, conditions, held and not decided))
        decided = decided or held
    return outcomes


def _holds(rule: Rule, facts: Facts) -> bool:
    return all(
        CONDITIONS[name].holds(facts, argument)
        for name, argument in rule.when.items()
    )


def _apply_rule(rule: Rule) -> Decision:
    decision = Decision(rule.name, rule.line)
    for name, argument in rule.then.items():
        ACTIONS[name].apply(decision, argument)
    return decision


def _explain_condition(
    name: str, argument: Any, facts: Facts
) -> ConditionOutcome:
    condition = CONDITIONS[name]
    held = condition.holds(facts, argument)
    observed = condition.observe(facts, argument)
    observation = f"observed {describe_value(observed)}"
    return ConditionOutcome(name, argument, held, observation)
