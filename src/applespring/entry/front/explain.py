"""Explanation of rule decisions for operators, as JSON."""

from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qsl

from applespring.core.errors import RefusalError
from applespring.core.fleet import Fleet
from applespring.core.reason import (
    NOT_READY,
    UNKNOWN_ACCOUNT,
    UNKNOWN_PIPELINE,
)
from applespring.core.request import Request
from applespring.core.rule import Decision, Facts, RuleOutcome
from applespring.core.verdict import Verdict
from applespring.entry.front.exchange import reject

QUERY_FIELDS = ("pipeline", "account", "deadline_s", "stream", "label")
_BOOLEANS = {"true": True, "false": False}


def parse_query(query: str, fleet: Fleet | None, now: float) -> Request:
    """Returns the request that a query string describes.

    Args:
        query: Fields of QUERY_FIELDS; `pipeline` and `account` are required.
        fleet: The configuration in force, or None.
        now: Seconds on the monotonic clock.

    Raises:
        RefusalError: There is no configuration yet, or a field is unknown,
            missing or invalid.
    """
    if fleet is None:
        raise RefusalError(NOT_READY, Verdict.NOT_RUN, retry_after_s=1.0)
    fields = dict(parse_qsl(query, keep_blank_values=True))
    unknown = sorted(set(fields) - set(QUERY_FIELDS))
    if unknown:
        raise reject(
            f"unknown field {unknown[0]!r}; allowed: {', '.join(QUERY_FIELDS)}"
        )
    pipeline = fleet.pipelines.get(fields.get("pipeline", ""))
    if pipeline is None:
        raise RefusalError(
            UNKNOWN_PIPELINE,
            Verdict.NOT_RUN,
            f"there is no pipeline {fields.get('pipeline', '')!r}",
        )
    account = fields.get("account", "")
    if account not in fleet.accounts:
        raise RefusalError(
            UNKNOWN_ACCOUNT,
            Verdict.NOT_RUN,
            f"there is no client account {account!r}",
        )
    deadline_s = _parse_deadline(fields, pipeline.deadline_s)
    return Request(
        "",
        pipeline.name,
        account,
        None,
        arrived_at=now,
        deadline_at=now + deadline_s,
        stream=_parse_stream(fields),
        label=fields.get("label", ""),
    )


def describe_explanation(
    facts: Facts, outcomes: list[RuleOutcome], decision: Decision
) -> dict[str, Any]:
    """Returns the facts, the outcome of each rule in order and the decision.

    The slots of `Facts` and `Decision` are the field names of the document.
    """
    return {
        "facts": {name: getattr(facts, name) for name in facts.__slots__},
        "rules": [_describe_rule(outcome) for outcome in outcomes],
        "decision": {
            name: getattr(decision, name) for name in decision.__slots__
        },
    }


def _describe_rule(outcome: RuleOutcome) -> dict[str, Any]:
    return {
        "rule": outcome.rule.name,
        "line": outcome.rule.line,
        "held": outcome.held,
        "decides": outcome.decides,
        "conditions": [
            {
                "name": condition.name,
                "argument": condition.argument,
                "held": condition.held,
                "why": condition.observation,
            }
            for condition in outcome.conditions
        ],
    }


def _parse_deadline(fields: Mapping[str, str], default_s: float) -> float:
    text = fields.get("deadline_s")
    if text is None:
        return default_s
    try:
        deadline_s = float(text)
    except ValueError:
        deadline_s = 0.0
    if not 0.0 < deadline_s < float("inf"):
        raise reject(f"deadline_s: {text!r} is not a number above 0")
    return deadline_s


def _parse_stream(fields: Mapping[str, str]) -> bool:
    text = fields.get("stream", "false")
    if text not in _BOOLEANS:
        raise reject(f"stream: {text!r} is not true or false")
    return _BOOLEANS[text]
