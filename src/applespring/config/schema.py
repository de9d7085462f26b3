"""Schema of the configuration document: its tables, fields and defaults."""

from collections.abc import Sequence
from typing import Any

from applespring.core.action import ACTIONS, MAX_TOKENS_MAX
from applespring.core.condition import CONDITIONS, DEADLINE_MAX_S
from applespring.core.fleet import Preference, StageKind
from applespring.core.value_kind import (
    Address,
    Choice,
    Flag,
    Integer,
    ListOf,
    Name,
    Number,
    Reference,
    Text,
    ValueKind,
)

# Default of a field that the document has to give.
REQUIRED: Any = object()
# Default of a field that gets no value if the document omits it.
ABSENT: Any = object()

CALL_MAX_S = 600.0


class TableSchema:
    """Fields and nested tables that one kind of table may have.

    Attributes:
        entity: What such a table describes, for error messages.
        fields: Field name to field.
        children: Field name to the schema of its nested table or tables.
    """

    __slots__ = ("entity", "fields", "children")

    def __init__(
        self,
        entity: str,
        fields: Sequence["Field"],
        children: Sequence["ChildSchema"] = (),
    ) -> None:
        self.entity = entity
        self.fields = {field.name: field for field in fields}
        self.children = {child.name: child for child in children}


class Field:
    """A field of a table whose value is not a table of its own.

    Attributes:
        name: Name in the document.
        kind: The values that the document may give.
        default: Default value, `REQUIRED` or `ABSENT`.
    """

    __slots__ = ("name", "kind", "default")

    def __init__(
        self, name: str, kind: ValueKind, default: Any = REQUIRED
    ) -> None:
        self.name = name
        self.kind = kind
        self.default = default


class ChildSchema:
    """A field that holds a table or a list of tables.

    Attributes:
        name: Name in the document.
        schema: Schema of each nested table.
        min_tables: Minimum length of the list.
        max_tables: Maximum length of the list, or 0 if the field holds a
            single optional table.
    """

    __slots__ = ("name", "schema", "min_tables", "max_tables")

    def __init__(
        self,
        name: str,
        schema: TableSchema,
        min_tables: int = 0,
        max_tables: int = 0,
    ) -> None:
        self.name = name
        self.schema = schema
        self.min_tables = min_tables
        self.max_tables = max_tables

    @property
    def allowed(self) -> str:
        """Description of the allowed values, for error messages."""
        if not self.max_tables:
            return "a table"
        return f"a list of {self.min_tables} to {self.max_tables} tables"


_CALL_SECONDS = Number(0.001, CALL_MAX_S)
_DEADLINE_SECONDS = Number(0.001, DEADLINE_MAX_S)

UPSTREAM = TableSchema(
    "upstream",
    [
        Field("name", Name()),
        Field("address", Address()),
        Field("failure_domain", Reference("failure domain")),
        Field("slots", Integer(1, 10_000)),
    ],
)

POOL = TableSchema(
    "pool",
    [
        Field("name", Name()),
        Field("kind", Choice(*(kind.value for kind in StageKind))),
        Field("idempotent", Flag(), True),
        Field("effect", Flag(), True),
        Field("fencing", Flag(), False),
        Field("reports_load", Flag(), False),
        Field("checks_keys", Flag(), False),
        Field("cache_events", Flag(), False),
        Field("resumes", Flag(), False),
        Field("refusal_not_run", ListOf(Integer(400, 599)), ()),
        Field("expected_s", _CALL_SECONDS, 0.1),
        Field("timeout_s", _CALL_SECONDS, 5.0),
        Field("queue_max", Integer(0, 100_000), 256),
        Field("cost", Number(0, 1_000_000), 1.0),
        Field("model", Text(), ""),
        Field("adapter", Text(), ""),
        Field("version", Text(), ""),
        Field("role", Text(), ""),
        Field("max_tokens", Integer(1, MAX_TOKENS_MAX), 256),
    ],
    [ChildSchema("upstream", UPSTREAM, 1, 1000)],
)

STAGE = TableSchema(
    "stage",
    [Field("name", Name()), Field("pool", Reference("pool"))],
)

PIPELINE = TableSchema(
    "pipeline",
    [
        Field("name", Name()),
        Field("deadline_s", _DEADLINE_SECONDS, 10.0),
        Field("deadline_max_s", _DEADLINE_SECONDS, 60.0),
        Field("objective", Number(0, 1), 0.99),
        Field("key_required", Flag(), False),
    ],
    [ChildSchema("stages", STAGE, 1, 16)],
)

ACCOUNT = TableSchema(
    "account",
    [
        Field("name", Name()),
        Field("weight", Number(0.001, 1000), 1.0),
        Field("home", Reference("failure domain"), ""),
        Field("trusted_clock", Flag(), False),
    ],
)

RULE = TableSchema(
    "rule",
    [Field("name", Name())],
    [
        ChildSchema(
            "when",
            TableSchema(
                "condition",
                [Field(c.name, c.kind, ABSENT) for c in CONDITIONS.values()],
            ),
        ),
        ChildSchema(
            "then",
            TableSchema(
                "action",
                [Field(a.name, a.kind, ABSENT) for a in ACTIONS.values()],
            ),
        ),
    ],
)

# Bounded because validation compares each rule with every earlier one.
RULES_MAX = 256

FLEET = TableSchema(
    "document",
    [
        Field("site", Text()),
        Field("region", Name()),
        Field("failure_domains", ListOf(Name(), 1, 64)),
        Field("prefer", Choice(*(p.value for p in Preference)), "attainment"),
        Field("weight_loads_per_s", Number(0.001, 1000), 1.0),
        Field("key_memory_s", Number(10, 3600), 600.0),
        Field("based_on", Integer(0, 2**53), ABSENT),
    ],
    [
        ChildSchema("pool", POOL, 1, 1000),
        ChildSchema("pipeline", PIPELINE, 1, 1000),
        ChildSchema("account", ACCOUNT, 1, 20_000),
        ChildSchema("rule", RULE, 1, RULES_MAX),
    ],
)
