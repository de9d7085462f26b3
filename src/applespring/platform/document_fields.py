"""The fields of the platform's configuration and the values that they may have.

Instances check them before they decode a document (`check_fields`), and the
check program names every fault (`document_check.py`).
"""

import json
import math
from collections.abc import Callable, Mapping
from typing import Any

from applespring.core.errors import MessageError
from applespring.core.route import RouteKind
from applespring.core.route_faults import FieldPath

_VALUE_LENGTH_MAX = 40
# orjson, which the instances use, reads integers of 64 bits.
_INTEGER_MAX = 2**63 - 1


class Kind:
    """The values that a field may have.

    Attributes:
        allowed: Description for messages.
        accepts: Whether a value is allowed.
        fallback: Value that stands in for a rejected one, so that the check
            can go on.
    """

    __slots__ = ("allowed", "accepts", "fallback")

    def __init__(
        self, allowed: str, accepts: Callable[[Any], bool], fallback: Any
    ) -> None:
        self.allowed = allowed
        self.accepts = accepts
        self.fallback = fallback


class Member:
    """A field of a table.

    Attributes:
        kind: Its values, or the fields of the table or tables that it holds.
        required: Whether it has to be given.
        many: Whether it holds a list of `kind`.
        nullable: Whether null stands for a field that is not given.
        decoded: Whether instances decode it, and reject a document for it.
    """

    __slots__ = ("kind", "required", "many", "nullable", "decoded")

    def __init__(
        self,
        kind: "Kind | Table",
        *,
        required: bool = False,
        many: bool = False,
        nullable: bool = True,
        decoded: bool = True,
    ) -> None:
        self.kind = kind
        self.required = required
        self.many = many
        self.nullable = nullable
        self.decoded = decoded

    @property
    def allowed(self) -> str:
        """Description of the allowed values for messages."""
        kind = self.kind
        allowed = kind.allowed if isinstance(kind, Kind) else "an object"
        return f"a list, each {allowed}" if self.many else allowed


Table = Mapping[str, Member]


def _is_number(value: Any) -> bool:
    return _is_integer(value) or (
        isinstance(value, float) and math.isfinite(value)
    )


def _is_integer(value: Any) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and abs(value) <= _INTEGER_MAX
    )


TEXT = Kind("a text", lambda v: isinstance(v, str) and v != "", "")
ANY_TEXT = Kind("a text", lambda v: isinstance(v, str), "")
FLAG = Kind("true, false", lambda v: isinstance(v, bool), False)
INTEGER = Kind("an integer", _is_integer, 1)
VERSION = Kind("an integer above 0", lambda v: _is_integer(v) and v > 0, 1)
NUMBER = Kind("a number", _is_number, 0)
POSITIVE = Kind("a number above 0", lambda v: _is_number(v) and v > 0, 1)
NOT_NEGATIVE = Kind(
    "a number, 0 or above", lambda v: _is_number(v) and v >= 0, 0
)
ROUTE_KIND = Kind(
    ", ".join(kind.value for kind in RouteKind),
    lambda v: v in [kind.value for kind in RouteKind],
    RouteKind.SAFE.value,
)

STAGE: Table = {
    "service": Member(TEXT, required=True),
    "after": Member(INTEGER, many=True),
    "length": Member(NOT_NEGATIVE, required=True),
}
TARGET: Table = {
    "service": Member(TEXT, required=True),
    "weight": Member(NUMBER, required=True),
}
ROUTE: Table = {
    "name": Member(TEXT, required=True),
    "host": Member(TEXT, required=True),
    "prefix": Member(TEXT, required=True),
    "kind": Member(ROUTE_KIND, required=True),
    "timeoutMs": Member(POSITIVE, required=True),
    "targetLatencyMs": Member(POSITIVE, nullable=False),
    "priority": Member(INTEGER, nullable=False),
    "service": Member(TEXT),
    "trafficSplit": Member(TARGET, many=True),
    "maxAttempts": Member(INTEGER, nullable=False),
    "stages": Member(STAGE, many=True),
    "public": Member(FLAG),
    "stickySessions": Member(FLAG),
    "resumable": Member(FLAG),
    "targetGapMs": Member(NOT_NEGATIVE),
    "allowedRegions": Member(TEXT, many=True),
}
SERVICE: Table = {
    "name": Member(TEXT, required=True),
    "healthPath": Member(TEXT, decoded=False),
    "maxConnections": Member(INTEGER, nullable=False),
    "engine": Member(
        {
            "slots": Member(INTEGER, nullable=False),
            "kvCapacityTokens": Member(NOT_NEGATIVE, nullable=False),
        }
    ),
    "segments": Member(
        {
            "slots": Member(INTEGER, required=True),
            "queue": Member(INTEGER, decoded=False),
            "batch": Member(INTEGER, required=True),
            "callMs": Member(NOT_NEGATIVE, required=True),
            "itemMs": Member(NOT_NEGATIVE, required=True),
            "headroomMb": Member(NOT_NEGATIVE, required=True),
            "handleTtlS": Member(POSITIVE, required=True),
        }
    ),
    # Malformed ones are ignored one by one.
    "coldStartS": Member(NOT_NEGATIVE, decoded=False),
    "coldPerS": Member(NOT_NEGATIVE, decoded=False),
}
TENANT: Table = {
    "name": Member(TEXT, required=True),
    "apiKeys": Member(ANY_TEXT, required=True, many=True),
    "priority": Member(INTEGER),
    "allowedRegions": Member(TEXT, many=True),
}
LIMITS: Table = {
    "maxHeaderBytes": Member(INTEGER, nullable=False),
    "maxBodyBytes": Member(INTEGER, nullable=False),
    "headerTimeoutMs": Member(POSITIVE, nullable=False),
    "idleTimeoutMs": Member(POSITIVE, nullable=False),
}
DOCUMENT: Table = {
    "version": Member(VERSION, required=True),
    "routes": Member(ROUTE, required=True, many=True),
    "services": Member(SERVICE, required=True, many=True),
    "limits": Member(LIMITS),
    "tenants": Member(TENANT, many=True),
}
SECRET = "apiKeys"


def check_fields(
    raw: Any, table: Table = DOCUMENT, path: FieldPath = ()
) -> None:
    """Checks the fields of a table that instances decode.

    Args:
        raw: The table as it was read.
        table: Its fields.
        path: Where it stands in the document.

    Raises:
        MessageError: A field is missing, of the wrong type or out of range. The
            message names the first one, with the value and the bound.
    """
    if not isinstance(raw, dict):
        raise _make_error(path, raw, "an object")
    for name, member in table.items():
        if not member.decoded:
            continue
        value = raw.get(name)
        if value is None:
            if member.required or (name in raw and not member.nullable):
                raise _make_error((*path, name), None, member.allowed)
        elif not member.many:
            _check_value(value, member.kind, path, name)
        elif isinstance(value, list):
            for number, item in enumerate(value):
                _check_value(item, member.kind, path, name, number)
        else:
            raise _make_error((*path, name), value, member.allowed)


def _check_value(
    value: Any, kind: Kind | Table, path: FieldPath, *place: str | int
) -> None:
    """Checks one value of a field; see `check_fields`."""
    if not isinstance(kind, Kind):
        check_fields(value, kind, (*path, *place))
    elif not kind.accepts(value):
        raise _make_error((*path, *place), value, kind.allowed)


def _make_error(path: FieldPath, value: Any, allowed: str) -> MessageError:
    return MessageError(
        f"the configuration is malformed: {format_path(path) or 'it'} "
        f"{describe_fault(path, value, allowed)}"
    )


def describe_fault(path: FieldPath, value: Any, allowed: str) -> str:
    """Returns the value met and the bound; keys are secrets and not shown."""
    if value is None:
        return f"is missing or null; allowed: {allowed}"
    shown = "a value" if SECRET in path else show_value(value)
    return f"is {shown}; allowed: {allowed}"


def format_path(path: FieldPath) -> str:
    """Returns a path as text, for example `routes[0].stages[1].length`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def show_value(value: Any) -> str:
    """Returns a value as JSON, shortened for messages."""
    text = json.dumps(value)
    if len(text) > _VALUE_LENGTH_MAX:
        text = text[: _VALUE_LENGTH_MAX - 3] + "..."
    return text
