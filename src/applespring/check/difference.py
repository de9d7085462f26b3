"""Differences between two versions of a configuration.

Works on the parsed trees, so it serves both kinds of documents. Tables in a
list are compared by their names where all have one, else by position.
"""

import json
from collections.abc import Iterator
from typing import Any

# Fields whose values are secrets: only their numbers are shown.
_SECRETS = ("apiKeys",)
# Lists of tables in which the first match decides.
_ORDERED = ("rule",)
_VALUE_LENGTH_MAX = 60

KeyPath = tuple[str | int, ...]


class Difference:
    """One difference.

    Attributes:
        place: Path for readers, with names, for example
            `routes["chat"].timeoutMs`.
        text: What was added, removed or changed.
        path: Path in the new document, or in the old one if it was removed.
        is_removed: Whether the value is in the old document only.
    """

    __slots__ = ("place", "text", "path", "is_removed")

    def __init__(
        self, place: str, text: str, path: KeyPath, *, is_removed: bool = False
    ) -> None:
        self.place = place
        self.text = text
        self.path = path
        self.is_removed = is_removed


def compare(
    old: Any,
    new: Any,
    place: str = "",
    path: KeyPath = (),
    old_path: KeyPath = (),
) -> Iterator[Difference]:
    """Yields the differences of two parsed values, in the new one's order.

    Args:
        old: Value in the version in force.
        new: Value in the new version.
        place: Place of both, for readers.
        path: Path in the new document.
        old_path: Path in the old one.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _compare_tables(old, new, place, path, old_path)
    elif path and path[-1] in _SECRETS and old != new:
        yield _compare_secrets(old, new, place, path)
    elif _have_names(old) and _have_names(new):
        yield from _compare_lists(old, new, place, path, old_path)
    elif type(old) is not type(new) or old != new:
        text = f"changed from {_show(old)} to {_show(new)}"
        yield Difference(place, text, path)


def _compare_tables(
    old: dict[str, Any],
    new: dict[str, Any],
    place: str,
    path: KeyPath,
    old_path: KeyPath,
) -> Iterator[Difference]:
    for name in [*new, *(name for name in old if name not in new)]:
        inner = f"{place}.{name}" if place else name
        if name not in old:
            text = f"added: {_show_field(name, new[name])}"
            yield Difference(inner, text, (*path, name))
        elif name not in new:
            text = f"removed: was {_show_field(name, old[name])}"
            yield Difference(inner, text, (*old_path, name), is_removed=True)
        else:
            yield from compare(
                old[name],
                new[name],
                inner,
                (*path, name),
                (*old_path, name),
            )


def _compare_lists(
    old: list[dict],
    new: list[dict],
    place: str,
    path: KeyPath,
    old_path: KeyPath,
) -> Iterator[Difference]:
    old_positions = {item["name"]: n for n, item in enumerate(old)}
    new_positions = {item["name"]: n for n, item in enumerate(new)}
    for name, position in new_positions.items():
        inner = f"{place}[{json.dumps(name)}]"
        if name not in old_positions:
            text = f"added: {_show(new[position])}"
            yield Difference(inner, text, (*path, position))
            continue
        old_position = old_positions[name]
        yield from compare(
            old[old_position],
            new[position],
            inner,
            (*path, position),
            (*old_path, old_position),
        )
    for name, position in old_positions.items():
        if name not in new_positions:
            yield Difference(
                f"{place}[{json.dumps(name)}]",
                f"removed: was {_show(old[position])}",
                (*old_path, position),
                is_removed=True,
            )
    common = [name for name in new_positions if name in old_positions]
    before = [name for name in old_positions if name in new_positions]
    if path[-1:] and path[-1] in _ORDERED and common != before:
        text = f"order changed from {_show(before)} to {_show(common)}"
        yield Difference(place, text, path)


def _compare_secrets(
    old: Any, new: Any, place: str, path: KeyPath
) -> Difference:
    if not (isinstance(old, list) and isinstance(new, list)):
        return Difference(place, "changed", path)
    added = sum(key not in old for key in new)
    removed = sum(key not in new for key in old)
    text = f"changed: {added} added, {removed} removed"
    return Difference(place, text, path)


def _have_names(value: Any) -> bool:
    if not isinstance(value, list) or not all(
        isinstance(item, dict) and isinstance(item.get("name"), str)
        for item in value
    ):
        return False
    return len({item["name"] for item in value}) == len(value)


def _show_field(name: str, value: Any) -> str:
    if name in _SECRETS:
        return f"{len(value) if isinstance(value, list) else 1} values"
    return _show(value)


def _show(value: Any) -> str:
    text = json.dumps(_hide_secrets(value), default=str)
    if len(text) > _VALUE_LENGTH_MAX:
        text = text[: _VALUE_LENGTH_MAX - 3] + "..."
    return text


def _hide_secrets(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            name: _show_field(name, item)
            if name in _SECRETS
            else _hide_secrets(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [_hide_secrets(item) for item in value]
    return value
