"""Checks a configuration of the platform field by field.

`decode_document` stops at the first malformed field, since an instance rejects
the document anyway. This check finds every one, and names its place.
"""

import difflib
import json
from collections.abc import Iterator, Mapping
from typing import Any

import orjson

from applespring.core.errors import MessageError
from applespring.core.route_faults import FieldPath
from applespring.core.route_review import Entries, review
from applespring.platform.document import build_document, decode_pools
from applespring.platform.document_fields import (
    DOCUMENT,
    ROUTE,
    TEXT,
    Kind,
    Member,
    Table,
    describe_fault,
    format_path,
    show_value,
)

# Names this similar to a known one are taken for misspelt.
_SIMILAR = 0.8


# Names in the document of the fields in `core/route.py`.
_LISTS = {"route": "routes", "pool": "services", "account": "tenants"}
_NAMES = {
    "route": {
        "timeout_s": "timeoutMs",
        "target_s": "targetLatencyMs",
        "targets": "trafficSplit",
        "attempts_max": "maxAttempts",
        "gap_s": "targetGapMs",
        "homes": "allowedRegions",
        "pool": "service",
        "result_bytes": "length",
    },
    "pool": {
        "connections_max": "maxConnections",
        "cold_start_s": "coldStartS",
        "cold_per_s": "coldPerS",
        "call_s": "callMs",
    },
    "account": {"keys": "apiKeys", "homes": "allowedRegions"},
    "limits": {
        "header_s": "headerTimeoutMs",
        "idle_s": "idleTimeoutMs",
        "header_bytes": "maxHeaderBytes",
        "body_bytes": "maxBodyBytes",
    },
}


class Finding:
    """A finding of a check.

    Attributes:
        place: Path of the field in the document, or "" for all of it.
        message: What was found, with the value and the bound.
    """

    __slots__ = ("place", "message")

    def __init__(self, place: str, message: str) -> None:
        self.place = place
        self.message = message


class CheckedDocument:
    """A parsed configuration and what was found in it.

    Attributes:
        tree: The parsed JSON, or None if it is none.
        findings: All findings, malformed fields first.
    """

    __slots__ = ("tree", "findings")

    def __init__(
        self, tree: dict[str, Any] | None, findings: list[Finding]
    ) -> None:
        self.tree = tree
        self.findings = findings


def check_configuration(
    data: bytes, regions: Mapping[str, str] | None = None
) -> CheckedDocument:
    """Checks a configuration of the platform.

    Args:
        data: The configuration.
        regions: Region of each failure domain, if the settings are known.
    """
    findings: list[Finding] = []
    try:
        tree = _parse(data, findings)
    except (ValueError, RecursionError) as exc:
        message = f"the configuration is not JSON: {exc}"
        return CheckedDocument(None, [Finding("", message)])
    if not isinstance(tree, dict):
        message = f"the configuration is {show_value(tree)}; allowed: an object"
        return CheckedDocument(None, [Finding("", message)])
    checker = _Checker(findings)
    repaired_tree = checker.check_table(tree, DOCUMENT, ())
    findings += _review(repaired_tree, checker.repaired, regions)
    return CheckedDocument(tree, findings)


def _parse(data: bytes, findings: list[Finding]) -> Any:
    def collect(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for name, value in pairs:
            if name in found:
                label = found.get("name") or value
                findings.append(
                    Finding(
                        name,
                        "is given twice in one object (of "
                        f"{show_value(label)}); the last value counts",
                    )
                )
            found[name] = value
        return found

    def reject(text: str) -> None:
        raise ValueError(f"{text} is no number of JSON")

    return json.loads(data, object_pairs_hook=collect, parse_constant=reject)


class _Checker:
    """Checks tables and repairs what it rejects.

    Attributes:
        repaired: Paths whose value was replaced.
    """

    def __init__(self, findings: list[Finding]) -> None:
        self._findings = findings
        self.repaired: set[FieldPath] = set()

    def check_table(
        self, raw: dict[str, Any], table: Table, path: FieldPath
    ) -> dict[str, Any]:
        """Returns a copy with a fallback for each rejected value."""
        result = {}
        for name in raw:
            if name not in table:
                similar = difflib.get_close_matches(name, table, 1, _SIMILAR)
                if similar:
                    self._add(
                        (*path, name),
                        f"is not read; {similar[0]} was meant?",
                    )
        for name, member in table.items():
            value = raw.get(name)
            if value is None:
                if member.required:
                    self._reject((*path, name), None, member)
                    result[name] = [] if member.many else member.kind.fallback
                elif name in raw and not member.nullable:
                    self._reject((*path, name), None, member)
                continue
            checked = self._check_member(value, member, (*path, name))
            if checked is not None:
                result[name] = checked
        if table is ROUTE:
            self._check_target(result, path)
        return result

    def _check_target(self, route: dict[str, Any], path: FieldPath) -> None:
        """Checks that a route names a pool, alone or with weights."""
        if route.get("trafficSplit") or "service" in route:
            return
        path = (*path, "service")
        if path not in self.repaired:
            self._reject(path, None, Member(TEXT, required=True))
        route["service"] = ""

    def _check_member(self, value: Any, member: Member, path: FieldPath) -> Any:
        if not member.many:
            return self._check_value(value, member, path)
        if not isinstance(value, list):
            self._reject(path, value, member)
            return [] if member.required else None
        single = Member(member.kind, required=True)
        return [
            self._check_value(item, single, (*path, number))
            for number, item in enumerate(value)
        ]

    def _check_value(self, value: Any, member: Member, path: FieldPath) -> Any:
        kind = member.kind
        if isinstance(kind, Kind):
            if kind.accepts(value):
                return value
            self._reject(path, value, member)
            return kind.fallback if member.required else None
        if isinstance(value, dict):
            return self.check_table(value, kind, path)
        self._reject(path, value, member)
        return self._make_table(kind) if member.required else None

    def _make_table(self, table: Table) -> dict[str, Any]:
        return {
            name: [] if member.many else member.kind.fallback
            for name, member in table.items()
            if member.required
            and (member.many or isinstance(member.kind, Kind))
        } | ({"service": ""} if table is ROUTE else {})

    def _reject(self, path: FieldPath, value: Any, member: Member) -> None:
        self.repaired.add(path)
        self._add(path, describe_fault(path, value, member.allowed))

    def _add(self, path: FieldPath, message: str) -> None:
        self._findings.append(Finding(format_path(path), message))


def _review(
    tree: dict[str, Any],
    repaired: set[FieldPath],
    regions: Mapping[str, str] | None,
) -> Iterator[Finding]:
    """Yields the faults that do not depend on a repaired value."""
    try:
        # Values that stand in for rejected ones would be rejected too.
        document = build_document(orjson.loads(orjson.dumps(tree)))
    except (MessageError, TypeError) as exc:
        yield Finding("", str(exc))
        return
    entries = Entries(document, decode_pools(tree))
    for fault in review(entries, regions):
        path = _find_path(tree, fault.entity, fault.index, fault.field)
        entry = path[: 2 if fault.entity in _LISTS else 1]
        names = _NAMES.get(fault.entity, {})
        # A fault of an entry as a whole depends on its name only.
        value = path if fault.field else (*entry, "name")
        relied = [value, *((*entry, names.get(f, f)) for f in fault.own)]
        if any(
            _touches(bad, good) for bad in repaired for good in relied
        ) or any(
            _is_of(bad, entity, field)
            for bad in repaired
            for entity, field in fault.others
        ):
            continue
        yield Finding(format_path(path), fault.message)


def _is_of(repaired: FieldPath, entity: str, field: str) -> bool:
    """Whether a path leads to this field of any entry, or to an entry."""
    if repaired[0] != _LISTS[entity]:
        return False
    name = "segments" if field == "batch" else _NAMES[entity].get(field, field)
    return len(repaired) < 3 or repaired[2] == name


def _touches(repaired: FieldPath, relied: FieldPath) -> bool:
    """Whether one of the paths leads to the other."""
    length = min(len(repaired), len(relied))
    return repaired[:length] == relied[:length]


def _find_path(
    tree: Mapping[str, Any], entity: str, index: int, field: FieldPath
) -> FieldPath:
    names = _NAMES.get(entity, {})
    path: list[str | int] = [
        names.get(part, part) if isinstance(part, str) else part
        for part in field
    ]
    if entity == "pool" and path[:1] == ["batch"]:
        path[0] = "segments"
    if entity not in _LISTS:
        return (entity, *path)
    entry = tree[_LISTS[entity]][index]
    if path[:1] == ["trafficSplit"] and not entry.get("trafficSplit"):
        path = ["service"]
    return (_LISTS[entity], index, *path)
