"""Text that explains rules and decisions to operators."""

from collections.abc import Iterator, Sequence

from applespring.core.rule import Decision, RuleOutcome
from applespring.core.value_kind import describe_value


def describe_rules(outcomes: Sequence[RuleOutcome]) -> Iterator[str]:
    """Yields a line for each rule, followed by one for each condition."""
    for outcome in outcomes:
        rule = outcome.rule
        yield (
            f'line {rule.line}: rule "{rule.name}" {_describe_outcome(outcome)}'
        )
        if not outcome.conditions:
            yield "    no conditions: always holds"
        for condition in outcome.conditions:
            verb = "holds" if condition.held else "does not hold"
            argument = describe_value(condition.argument)
            yield (
                f"    {condition.name} = {argument} {verb}:"
                f" {condition.observation}"
            )


def describe_decision(decision: Decision) -> Iterator[str]:
    """Yields the rule that decides, and a line for each setting it makes."""
    yield f'decision of rule "{decision.rule}" on line {decision.line}:'
    if decision.refuse is not None:
        yield f"    refuse = {describe_value(decision.refuse)}"
        return
    for name in decision.__slots__[3:]:
        value = getattr(decision, name)
        if value is not None:
            yield f"    {name} = {describe_value(value)}"


def _describe_outcome(outcome: RuleOutcome) -> str:
    if outcome.decides:
        return "decides"
    if outcome.held:
        return "holds, but an earlier rule decides"
    return "does not hold"
