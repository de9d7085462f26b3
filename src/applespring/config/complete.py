"""Second step of loading: checks each field by itself, fills in defaults."""

from collections.abc import Iterable, Mapping
from typing import Any

from applespring.config.diagnostic import Diagnostic
from applespring.config.lines import KeyPath
from applespring.config.parse import Document
from applespring.config.schema import (
    ABSENT,
    FLEET,
    REQUIRED,
    ChildSchema,
    Field,
    TableSchema,
)
from applespring.core.value_kind import describe_value


class DocumentTable:
    """A table of the document after its defaults have been filled in.

    Every field of the table's schema has a value, except fields with the
    default `ABSENT` that the document omits. A rejected value is replaced by
    the field's default or fallback, so that the later steps can find the
    remaining errors. Its field is listed in `invalid_fields`, so that a check
    can skip a value that is not in the document.

    Attributes:
        document: The document that contains the table.
        label: Name of the table in messages, for example `pool "encoder"`.
        path: Path of the table in the document.
        values: Field name to value, without nested tables.
        children: Field name to the nested tables.
        given_fields: Names of the fields in the document, also unknown ones.
        invalid_fields: Fields whose value was rejected or is missing.
    """

    __slots__ = (
        "document",
        "label",
        "path",
        "values",
        "children",
        "given_fields",
        "invalid_fields",
    )

    def __init__(
        self,
        document: Document,
        label: str,
        path: KeyPath,
        given_fields: Iterable[str],
    ) -> None:
        self.document = document
        self.label = label
        self.path = path
        self.values: dict[str, Any] = {}
        self.children: dict[str, list[DocumentTable]] = {}
        self.given_fields = frozenset(given_fields)
        self.invalid_fields: set[str] = set()

    def __getitem__(self, field: str) -> Any:
        return self.values[field]

    def is_valid(self, *fields: str) -> bool:
        """Returns whether all these fields had accepted values or defaults."""
        return self.invalid_fields.isdisjoint(fields)

    def find_line(self, *fields: str | int) -> int:
        """Returns the line of the table, or of the path `fields` below it."""
        return self.document.lines.find(self.path + fields)

    def make_error(self, message: str, *fields: str | int) -> Diagnostic:
        """Returns an error about this table, at the line of `fields` in it."""
        line = self.find_line(*fields)
        return Diagnostic(self.document.file, line, f"{self.label} {message}")


def complete_document(
    document: Document,
) -> tuple[DocumentTable, list[Diagnostic]]:
    """Returns the root table and the errors of fields taken by themselves."""
    errors: list[Diagnostic] = []
    root = DocumentTable(document, "the document", (), document.tree)
    _complete_table(root, FLEET, document.tree, errors, "")
    return root, errors


def _complete_table(
    table: DocumentTable,
    schema: TableSchema,
    raw: Mapping[str, Any],
    errors: list[Diagnostic],
    prefix: str,
) -> None:
    for name in raw:
        if name not in schema.fields and name not in schema.children:
            allowed = ", ".join([*schema.fields, *schema.children]) or "none"
            errors.append(
                table.make_error(
                    f"has the unknown field {describe_value(prefix + name)}; "
                    f"allowed: {allowed}",
                    name,
                )
            )
    # Fields keep the order of the document, in which explanations list a
    # rule's conditions.
    for name in dict.fromkeys([*raw, *schema.fields]):
        if name in schema.fields:
            _complete_field(table, schema.fields[name], raw, errors, prefix)
    for child in schema.children.values():
        _complete_child(table, child, raw, errors)


def _complete_field(
    table: DocumentTable,
    field: Field,
    raw: Mapping[str, Any],
    errors: list[Diagnostic],
    prefix: str,
) -> None:
    name, kind = field.name, field.kind
    if name in raw and kind.accepts(raw[name]):
        table.values[name] = raw[name]
        return
    if name not in raw and field.default is not REQUIRED:
        if field.default is not ABSENT:
            table.values[name] = field.default
        return
    table.invalid_fields.add(name)
    if field.default is REQUIRED:
        table.values[name] = kind.fallback
    elif field.default is not ABSENT:
        table.values[name] = field.default
    if name in raw:
        problem = f"has {prefix}{name} = {describe_value(raw[name])}"
    else:
        problem = f"lacks the field {prefix}{name}"
    errors.append(table.make_error(f"{problem}; allowed: {kind.allowed}", name))


def _complete_child(
    table: DocumentTable,
    child: ChildSchema,
    raw: Mapping[str, Any],
    errors: list[Diagnostic],
) -> None:
    name = child.name
    value = raw.get(name, [] if child.max_tables else {})
    if not _accepts_child(child, value):
        table.invalid_fields.add(name)
        problem = f"has {name} = {describe_value(value)}"
        if name not in raw:
            problem = f"lacks the field {name}"
        elif isinstance(value, list):
            problem = f"has a list {name} of length {len(value)}"
        errors.append(
            table.make_error(f"{problem}; allowed: {child.allowed}", name)
        )
        value = [] if child.max_tables else {}
    path = (*table.path, name)
    if not child.max_tables:
        nested = DocumentTable(table.document, table.label, path, value)
        table.children[name] = [nested]
        _complete_table(nested, child.schema, value, errors, f"{name}.")
        return
    table.children[name] = [
        _complete_item(
            table, child.schema, raw_table, (*path, position), errors
        )
        for position, raw_table in enumerate(value)
    ]


def _accepts_child(child: ChildSchema, value: Any) -> bool:
    if not child.max_tables:
        return isinstance(value, dict)
    return (
        isinstance(value, list)
        and child.min_tables <= len(value) <= child.max_tables
        and all(isinstance(raw_table, dict) for raw_table in value)
    )


def _complete_item(
    parent: DocumentTable,
    schema: TableSchema,
    raw: Mapping[str, Any],
    path: KeyPath,
    errors: list[Diagnostic],
) -> DocumentTable:
    label = f"{schema.entity} number {int(path[-1]) + 1}"
    if "name" in schema.fields and schema.fields["name"].kind.accepts(
        raw.get("name")
    ):
        label = f'{schema.entity} "{raw["name"]}"'
    if schema.entity == "stage":
        label = f"{parent.label} {label}"
    table = DocumentTable(parent.document, label, path, raw)
    _complete_table(table, schema, raw, errors, "")
    return table
