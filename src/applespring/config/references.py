"""Checks that names are unique and that names in use are defined."""

from collections.abc import Iterator, Sequence

from applespring.config.complete import DocumentTable
from applespring.config.diagnostic import Diagnostic
from applespring.config.schema import (
    ACCOUNT,
    RULE,
    STAGE,
    UPSTREAM,
    TableSchema,
)
from applespring.config.validate import Candidate, check
from applespring.core.value_kind import DefinedNames


@check
def check_duplicates(candidate: Candidate) -> Iterator[Diagnostic]:
    """Names are unique, and so are the addresses of upstreams."""
    root = candidate.root
    for field in ("pool", "pipeline", "account", "rule"):
        yield from _find_duplicates(root.children[field], "name")
    upstreams = [
        upstream
        for pool in root.children["pool"]
        for upstream in pool.children["upstream"]
    ]
    yield from _find_duplicates(upstreams, "name")
    yield from _find_duplicates(upstreams, "address")
    for pipeline in root.children["pipeline"]:
        yield from _find_duplicates(pipeline.children["stages"], "name")


@check
def check_references(candidate: Candidate) -> Iterator[Diagnostic]:
    """Every name that a field refers to is defined in the document."""
    root, names = candidate.root, candidate.names
    for pool in root.children["pool"]:
        for upstream in pool.children["upstream"]:
            yield from _find_undefined(upstream, UPSTREAM, names)
    for pipeline in root.children["pipeline"]:
        for stage in pipeline.children["stages"]:
            yield from _find_undefined(stage, STAGE, names)
    for account in root.children["account"]:
        yield from _find_undefined(account, ACCOUNT, names)
    for rule in root.children["rule"]:
        for field, child in RULE.children.items():
            [nested] = rule.children[field]
            yield from _find_undefined(nested, child.schema, names)


def _find_duplicates(
    tables: Sequence[DocumentTable], field: str
) -> Iterator[Diagnostic]:
    first_tables: dict[str, DocumentTable] = {}
    for table in tables:
        if not table.is_valid(field):
            continue
        first = first_tables.setdefault(table[field], table)
        if first is not table:
            yield table.make_error(
                f'repeats the {field} "{table[field]}" of line '
                f"{first.find_line(field)}; allowed: a unique {field}",
                field,
            )


def _find_undefined(
    table: DocumentTable, schema: TableSchema, names: DefinedNames
) -> Iterator[Diagnostic]:
    for field, value in table.values.items():
        if field not in table.given_fields or not table.is_valid(field):
            continue
        for entity, name in schema.fields[field].kind.list_references(value):
            if entity in names and name not in names[entity]:
                yield table.make_error(
                    f'names the undefined {entity} "{name}" in {field}; '
                    f"allowed: a defined {entity}",
                    field,
                )
