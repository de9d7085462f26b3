"""Third step of loading: builds a `Fleet` from a completed document."""

from applespring.config.complete import DocumentTable
from applespring.core.fleet import (
    Account,
    Fleet,
    Pipeline,
    Pool,
    Preference,
    Rule,
    Stage,
    StageKind,
    Upstream,
)


def build_fleet(root: DocumentTable, revision: int) -> Fleet:
    """Returns the fleet, also if the document has errors.

    Of tables with the same name only the last is kept; `check_duplicates`
    reports the others.
    """
    pools = map(_build_pool, root.children["pool"])
    pipelines = map(_build_pipeline, root.children["pipeline"])
    accounts = [Account(**table.values) for table in root.children["account"]]
    return Fleet(
        revision,
        site=root["site"],
        region=root["region"],
        failure_domains=root["failure_domains"],
        prefer=Preference(root["prefer"]),
        weight_loads_per_s=root["weight_loads_per_s"],
        key_memory_s=root["key_memory_s"],
        pools={pool.name: pool for pool in pools},
        pipelines={pipeline.name: pipeline for pipeline in pipelines},
        accounts={account.name: account for account in accounts},
        rules=_build_rules(root),
    )


def _build_pool(table: DocumentTable) -> Pool:
    upstreams = [Upstream(**up.values) for up in table.children["upstream"]]
    values = {**table.values, "kind": StageKind(table["kind"])}
    return Pool(upstreams=upstreams, **values)


def _build_pipeline(table: DocumentTable) -> Pipeline:
    stages = [Stage(**stage.values) for stage in table.children["stages"]]
    return Pipeline(stages=stages, **table.values)


def _build_rules(root: DocumentTable) -> list[Rule]:
    tables = root.children["rule"]
    lines = root.document.lines.find_tables("rule", len(tables))
    return [
        _build_rule(table, line)
        for table, line in zip(tables, lines, strict=True)
    ]


def _build_rule(table: DocumentTable, line: int) -> Rule:
    [when] = table.children["when"]
    [then] = table.children["then"]
    return Rule(table["name"], when.values, then.values, line)
