"""What an operator should know of a sound document before it is published.

An instance accepts a document with these findings, since each of them can be
meant; in most cases one is a mistake.
"""

from collections.abc import Iterator

from applespring.config.complete import DocumentTable, complete_document
from applespring.config.diagnostic import Diagnostic
from applespring.config.parse import Document


def find_advice(document: Document) -> list[Diagnostic]:
    """Returns the findings, sorted by line and message."""
    root, _ = complete_document(document)
    findings = [
        *_check_pools(root),
        *_check_rules(root),
        *_check_homes(root),
        *_check_time_outs(root),
    ]
    return sorted(findings, key=lambda found: (found.line, found.message))


def _check_pools(root: DocumentTable) -> Iterator[Diagnostic]:
    used = {
        stage.values.get("pool")
        for pipeline in root.children["pipeline"]
        for stage in pipeline.children["stages"]
    }
    for rule in root.children["rule"]:
        used |= set(_then(rule).get("pools", {}).values())
    for pool in root.children["pool"]:
        if pool.is_valid("name") and pool["name"] not in used:
            yield pool.make_error(
                "gets no requests: no stage and no rule names it", "name"
            )


def _check_rules(root: DocumentTable) -> Iterator[Diagnostic]:
    pipelines = {
        pipeline["name"]: pipeline
        for pipeline in root.children["pipeline"]
        if pipeline.is_valid("name")
    }
    for rule in root.children["rule"]:
        when = rule.children["when"][0].values
        named = when.get("pipeline", list(pipelines))
        named = [named] if isinstance(named, str) else named
        chosen = [pipelines[name] for name in named if name in pipelines]
        if not chosen:
            continue
        longest_s = max(p["deadline_max_s"] for p in chosen)
        if when.get("deadline_above_s", -1.0) >= longest_s:
            yield rule.make_error(
                f"never holds: deadline_above_s = {when['deadline_above_s']}; "
                f"the deadline_max_s of its pipelines is {longest_s:g}",
                "when",
                "deadline_above_s",
            )
        busy = when.get("pool_busy_above", {})
        if busy.get("fraction", 0.0) >= 1.0:
            yield rule.make_error(
                "never holds: pool_busy_above has fraction = "
                f"{busy['fraction']}; allowed: below 1",
                "when",
                "pool_busy_above",
            )


def _check_homes(root: DocumentTable) -> Iterator[Diagnostic]:
    with_upstreams = {
        upstream.values.get("failure_domain")
        for pool in root.children["pool"]
        for upstream in pool.children["upstream"]
    }
    for account in root.children["account"]:
        home = account["home"]
        if home and account.is_valid("home") and home not in with_upstreams:
            yield account.make_error(
                f'has home = "{home}", where no upstream is', "home"
            )


def _check_time_outs(root: DocumentTable) -> Iterator[Diagnostic]:
    for pool in root.children["pool"]:
        longest_s = max(
            (
                pipeline["deadline_max_s"]
                for pipeline in root.children["pipeline"]
                for stage in pipeline.children["stages"]
                if stage.values.get("pool") == pool.values.get("name")
            ),
            default=None,
        )
        if (
            longest_s is not None
            and "timeout_s" in pool.given_fields
            and pool["timeout_s"] > longest_s
        ):
            yield pool.make_error(
                f"has timeout_s = {pool['timeout_s']}, which no call reaches: "
                f"the deadline_max_s of its pipelines is {longest_s:g}",
                "timeout_s",
            )


def _then(rule: DocumentTable) -> dict:
    return rule.children["then"][0].values
