"""Checks that every rule can decide a request and is consistent."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from applespring.config.complete import DocumentTable
from applespring.config.diagnostic import Diagnostic
from applespring.config.validate import Candidate, check
from applespring.core.condition import CONDITIONS
from applespring.core.fleet import Pipeline, StageKind
from applespring.core.value_kind import DefinedNames, describe_value


@check
def check_reachable(candidate: Candidate) -> Iterator[Diagnostic]:
    """No rule is hidden by an earlier one that holds whenever it does.

    Only pairs of rules are compared. A rule hidden by several earlier rules
    together is not found.
    """
    rules = candidate.root.children["rule"]
    for position, rule in enumerate(rules):
        if not _has_valid_conditions(rule):
            continue
        earlier = _find_covering(rules[:position], rule, candidate.names)
        if earlier is not None:
            yield rule.make_error(
                f"is never reached: {earlier.label} on line "
                f"{earlier.find_line()} always holds when it does",
            )


@check
def check_last_rule(candidate: Candidate) -> Iterator[Diagnostic]:
    """The last rule always holds, so that a rule decides every request."""
    rules = candidate.root.children["rule"]
    if rules and not _always_holds(rules[-1], candidate.names):
        yield rules[-1].make_error(
            "is the last and does not always hold; "
            "allowed: a last rule without conditions",
        )


@check
def check_deadline_conditions(candidate: Candidate) -> Iterator[Diagnostic]:
    """The bounds of a rule on the deadline leave a range between them."""
    for rule in candidate.root.children["rule"]:
        when = _get_when(rule).values
        if "deadline_below_s" not in when or "deadline_above_s" not in when:
            continue
        if when["deadline_below_s"] <= when["deadline_above_s"]:
            yield rule.make_error(
                f"never holds: deadline_below_s = {when['deadline_below_s']};"
                f" allowed: above deadline_above_s = "
                f"{when['deadline_above_s']}",
                "when",
                "deadline_below_s",
            )


@check
def check_refusals(candidate: Candidate) -> Iterator[Diagnostic]:
    """A rule that refuses a request has no other action."""
    for rule in candidate.root.children["rule"]:
        then = _get_then(rule)
        if "refuse" not in then.values:
            continue
        for name in then.values:
            if name != "refuse":
                yield rule.make_error(
                    f"refuses and sets {name}; allowed: refuse alone",
                    "then",
                    name,
                )


@check
def check_stage_pools(candidate: Candidate) -> Iterator[Diagnostic]:
    """The pool that replaces a stage's own agrees with it.

    Both have the same `kind`, `idempotent` and `effect`.

    Otherwise a rule could send calls that must not be executed twice to a
    pool whose calls are retried, or add a non-idempotent pool to a pipeline
    that does not require keys.
    """
    for rule in candidate.root.children["rule"]:
        for stage, pool in _get_then(rule).values.get("pools", {}).items():
            yield from _check_stage_pool(candidate, rule, stage, pool)


def _get_when(rule: DocumentTable) -> DocumentTable:
    return rule.children["when"][0]


def _get_then(rule: DocumentTable) -> DocumentTable:
    return rule.children["then"][0]


def _has_valid_conditions(rule: DocumentTable) -> bool:
    """Returns whether all conditions are known and had accepted arguments."""
    when = _get_when(rule)
    return (
        rule.is_valid("when")
        and when.is_valid(*CONDITIONS)
        and when.given_fields <= CONDITIONS.keys()
    )


def _find_covering(
    earlier: Sequence[DocumentTable], rule: DocumentTable, names: DefinedNames
) -> DocumentTable | None:
    conditions = _get_when(rule).values
    for other in earlier:
        when = _get_when(other)
        if _has_valid_conditions(other) and all(
            _is_implied(name, argument, conditions, names)
            for name, argument in when.values.items()
        ):
            return other
    return None


def _is_implied(
    name: str, argument: Any, conditions: Mapping[str, Any], names: DefinedNames
) -> bool:
    kind = CONDITIONS[name].kind
    if name in conditions and kind.implies(conditions[name], argument):
        return True
    return kind.covers_all(argument, names)


def _always_holds(rule: DocumentTable, names: DefinedNames) -> bool:
    return _has_valid_conditions(rule) and all(
        CONDITIONS[name].kind.covers_all(argument, names)
        for name, argument in _get_when(rule).values.items()
    )


def _list_pipelines(
    candidate: Candidate, rule: DocumentTable
) -> list[Pipeline]:
    """Returns the pipelines named in the rule's condition, else all."""
    pipelines = candidate.fleet.pipelines
    argument = _get_when(rule).values.get("pipeline")
    if argument is None:
        return list(pipelines.values())
    names = [argument] if isinstance(argument, str) else argument
    return [pipelines[name] for name in names if name in pipelines]


def _check_stage_pool(
    candidate: Candidate, rule: DocumentTable, stage_name: str, pool_name: str
) -> Iterator[Diagnostic]:
    pools = candidate.fleet.pools
    stages = [
        stage
        for pipeline in _list_pipelines(candidate, rule)
        for stage in pipeline.stages
        if stage.name == stage_name
    ]
    path = ("then", "pools", stage_name)
    if not stages and stage_name in candidate.names.get("stage", ()):
        yield rule.make_error(
            f'sets a pool for the stage "{stage_name}", which its pipelines '
            "do not have; allowed: a stage of its pipelines",
            *path,
        )
    for original_name in sorted(
        {stage.pool for stage in stages} & pools.keys()
    ):
        if pool_name not in pools:
            continue
        original, replacement = pools[original_name], pools[pool_name]
        for field in ("kind", "idempotent", "effect"):
            expected, found = (
                getattr(original, field),
                getattr(replacement, field),
            )
            if expected == found:
                continue
            shown = (
                expected.value if isinstance(expected, StageKind) else expected
            )
            yield rule.make_error(
                f'sends the stage "{stage_name}" from pool '
                f'"{original_name}" to "{pool_name}"; allowed: a pool '
                f"with {field} = {describe_value(shown)}",
                *path,
            )
