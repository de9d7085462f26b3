"""Kinds of values that a configuration document can hold.

A kind accepts or rejects a value, describes the allowed values for error
messages, and lists the names that a value refers to. The kind of a condition's
argument also compares that argument with an observed fact and with the argument
of the same condition in another rule.
"""

import ipaddress
import re
from collections.abc import Iterator, Mapping, Sequence
from collections.abc import Set as AbstractSet
from typing import Any

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
HOURS_PATTERN = re.compile(r"([01]\d|2[0-3])-([01]\d|2[0-4])")
TEXT_MAX_CHARS = 200
_SHOWN_MAX_CHARS = 60

DefinedNames = Mapping[str, AbstractSet[str]]


class ValueKind:
    """Base class of the kinds; by default, a condition compares for equality.

    Attributes:
        allowed: Description of the allowed values, for error messages.
        fallback: Replaces a rejected value of a required field, so that the
            rest of the document can be checked.
    """

    allowed = ""
    fallback: Any = None

    def accepts(self, value: Any) -> bool:
        """Checks the type and range of a value as parsed from TOML."""
        raise NotImplementedError

    def list_references(self, value: Any) -> Iterator[tuple[str, str]]:
        """Yields (entity, name) for each name in an accepted value.

        The entity says what the name has to be defined as, for example
        `pool` or `failure domain`.
        """
        del value
        yield from ()

    def matches(self, value: Any, observed: Any) -> bool:
        """Returns whether a condition with argument `value` holds."""
        return bool(value == observed)

    def implies(self, value: Any, other: Any) -> bool:
        """Returns whether `other` matches every fact that `value` matches."""
        return bool(value == other)

    def covers_all(self, value: Any, names: DefinedNames) -> bool:
        """Returns whether `value` matches every possible fact.

        Args:
            value: An accepted argument.
            names: Entity to the names that the document defines.
        """
        del value, names
        return False


class Flag(ValueKind):
    """True or false."""

    allowed = "true, false"
    fallback = False

    def accepts(self, value: Any) -> bool:
        """Rejects 0 and 1 and texts such as "true"."""
        return isinstance(value, bool)


class Integer(ValueKind):
    """An integer from `low` to `high`, both included."""

    def __init__(self, low: int, high: int) -> None:
        self.low = low
        self.high = high
        self.fallback = low
        self.allowed = f"{low} to {high}"

    def accepts(self, value: Any) -> bool:
        """Rejects booleans, which are integers in Python."""
        return (
            isinstance(value, int)
            and not isinstance(value, bool)
            and self.low <= value <= self.high
        )


class Number(ValueKind):
    """A number from `low` to `high`, both included, so not NaN."""

    def __init__(self, low: float, high: float) -> None:
        self.low = low
        self.high = high
        self.fallback = low
        self.allowed = f"{low} to {high}"

    def accepts(self, value: Any) -> bool:
        """Accepts integers and floats, but not booleans."""
        return (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and self.low <= value <= self.high
        )


class Below(Number):
    """An exclusive upper bound of the fact."""

    def matches(self, value: float, observed: float) -> bool:
        """Returns false for a fact equal to the bound."""
        return observed < value

    def implies(self, value: float, other: float) -> bool:
        """An upper bound implies every higher upper bound."""
        return value <= other


class Above(Number):
    """An exclusive lower bound of the fact."""

    def matches(self, value: float, observed: float) -> bool:
        """Returns false for a fact equal to the bound."""
        return observed > value

    def implies(self, value: float, other: float) -> bool:
        """A lower bound implies every lower one."""
        return value >= other


class Text(ValueKind):
    """Printable text of one line."""

    allowed = f"text of 1 to {TEXT_MAX_CHARS} printable characters"
    fallback = ""

    def accepts(self, value: Any) -> bool:
        """Rejects empty text, line breaks and control characters."""
        return (
            isinstance(value, str)
            and 0 < len(value) <= TEXT_MAX_CHARS
            and value.isprintable()
        )


class Name(ValueKind):
    """The name of an entity; it is safe in URLs, headers and metrics."""

    allowed = "1 to 64 letters, digits, '.', '_' or '-'"
    fallback = ""

    def accepts(self, value: Any) -> bool:
        """Accepts text that matches `NAME_PATTERN` as a whole."""
        return isinstance(value, str) and bool(NAME_PATTERN.fullmatch(value))


class Reference(Name):
    """The name of an entity that is defined elsewhere in the document.

    Whether it is defined is checked later, against the whole document.
    """

    def __init__(self, entity: str) -> None:
        self.entity = entity
        self.allowed = f"a defined {entity}"

    def list_references(self, value: str) -> Iterator[tuple[str, str]]:
        """Yields exactly one name."""
        yield self.entity, value


class Choice(ValueKind):
    """One of a fixed set of words."""

    def __init__(self, *choices: str) -> None:
        self.choices = choices
        self.fallback = choices[0]
        self.allowed = ", ".join(f'"{choice}"' for choice in choices)

    def accepts(self, value: Any) -> bool:
        """Compares the case of letters as well."""
        return isinstance(value, str) and value in self.choices


class Address(ValueKind):
    """An IP address and a port.

    Host names are not allowed, since they would need a resolver.
    """

    allowed = "IP:port, for example 127.0.0.1:8080"
    fallback = ""

    def accepts(self, value: Any) -> bool:
        """Accepts IPv4 and bracketed IPv6 addresses with port 1 to 65535."""
        if not isinstance(value, str):
            return False
        host, _, port = value.rpartition(":")
        if not (port.isascii() and port.isdigit() and len(port) <= 5):
            return False
        bracketed = host.startswith("[") and host.endswith("]")
        try:
            address = ipaddress.ip_address(host[1:-1] if bracketed else host)
        except ValueError:
            return False
        return bracketed == (address.version == 6) and 0 < int(port) < 65536


class ListOf(ValueKind):
    """A list of distinct values of one kind, within bounds of its length."""

    def __init__(
        self, item: ValueKind, min_items: int = 0, max_items: int = 64
    ) -> None:
        self.item = item
        self.min_items = min_items
        self.max_items = max_items
        self.fallback = ()
        self.allowed = (
            f"a list of {min_items} to {max_items} distinct: {item.allowed}"
        )

    def accepts(self, value: Any) -> bool:
        """Rejects a list with a rejected or repeated item."""
        return (
            isinstance(value, list)
            and self.min_items <= len(value) <= self.max_items
            and all(self.item.accepts(item) for item in value)
            and len(set(value)) == len(value)
        )


class Selection(ValueKind):
    """One text or a list of texts, one of which has to equal the fact.

    Args:
        entity: What the texts name, for example `pipeline`, or "" if they
            are free text.
    """

    def __init__(self, entity: str = "") -> None:
        self.entity = entity
        what = f"a defined {entity}" if entity else "a text"
        self.allowed = f"{what} or a non-empty list of them"

    def accepts(self, value: Any) -> bool:
        """Rejects an empty list, which would match no fact."""
        if isinstance(value, list):
            return bool(value) and all(isinstance(v, str) for v in value)
        return isinstance(value, str)

    def list_references(
        self, value: str | Sequence[str]
    ) -> Iterator[tuple[str, str]]:
        """Yields every text, or nothing if the texts are free text."""
        if self.entity:
            for name in _as_set(value):
                yield self.entity, name

    def matches(self, value: str | Sequence[str], observed: str) -> bool:
        """Compares whole texts; a part of a text does not match."""
        if isinstance(value, str):
            return value == observed
        return observed in value

    def implies(
        self, value: str | Sequence[str], other: str | Sequence[str]
    ) -> bool:
        """A set of texts implies every superset."""
        return _as_set(value) <= _as_set(other)

    def covers_all(
        self, value: str | Sequence[str], names: DefinedNames
    ) -> bool:
        """Returns whether the list contains every defined name."""
        return self.entity in names and _as_set(value) >= names[self.entity]


class Hours(ValueKind):
    """Hours of the day in UTC; the second hour is excluded.

    A range whose second hour is lower than the first passes midnight.
    """

    allowed = 'two different hours "HH-HH", for example "22-06" or "00-24"'

    def accepts(self, value: Any) -> bool:
        """Rejects equal hours, which could mean none or the whole day."""
        if not isinstance(value, str) or not HOURS_PATTERN.fullmatch(value):
            return False
        return value[:2] != value[3:]

    def matches(self, value: str, observed: int) -> bool:
        """Returns whether the observed hour, 0 to 23, is in the range."""
        first, end = int(value[:2]), int(value[3:])
        if first < end:
            return first <= observed < end
        return observed >= first or observed < end

    def implies(self, value: str, other: str) -> bool:
        """A range implies every range that contains all its hours."""
        return _list_hours(self, value) <= _list_hours(self, other)

    def covers_all(self, value: str, names: DefinedNames) -> bool:
        """Returns whether the range contains all 24 hours."""
        del names
        return len(_list_hours(self, value)) == 24


class PoolFraction(ValueKind):
    """A pool and an exclusive lower bound of the fraction of used slots."""

    allowed = "{ pool = a defined pool, fraction = 0 to 1 }"
    _fraction = Number(0, 1)
    _pool = Reference("pool")

    def accepts(self, value: Any) -> bool:
        """Rejects a table that has other keys or lacks one."""
        return (
            isinstance(value, dict)
            and value.keys() == {"pool", "fraction"}
            and self._pool.accepts(value["pool"])
            and self._fraction.accepts(value["fraction"])
        )

    def list_references(
        self, value: Mapping[str, Any]
    ) -> Iterator[tuple[str, str]]:
        """Yields the name of the pool."""
        yield "pool", value["pool"]

    def matches(self, value: Mapping[str, Any], observed: float) -> bool:
        """Returns false for a fraction equal to the bound."""
        return observed > value["fraction"]

    def implies(
        self, value: Mapping[str, Any], other: Mapping[str, Any]
    ) -> bool:
        """A fraction implies every lower fraction of the same pool."""
        same = value["pool"] == other["pool"]
        return same and value["fraction"] >= other["fraction"]


class StagePools(ValueKind):
    """A table of stage names and the pools that execute them instead."""

    allowed = "a non-empty table of stage name = a defined pool"

    def accepts(self, value: Any) -> bool:
        """Rejects an empty table, which would change nothing."""
        return (
            isinstance(value, dict)
            and bool(value)
            and all(Name().accepts(pool) for pool in value.values())
        )

    def list_references(
        self, value: Mapping[str, str]
    ) -> Iterator[tuple[str, str]]:
        """Yields each stage and its pool."""
        for stage, pool in value.items():
            yield "stage", stage
            yield "pool", pool


def _as_set(value: str | Sequence[str]) -> AbstractSet[str]:
    return frozenset([value] if isinstance(value, str) else value)


def _list_hours(kind: Hours, value: str) -> AbstractSet[int]:
    return frozenset(hour for hour in range(24) if kind.matches(value, hour))


def describe_value(value: Any) -> str:
    """Returns a value in TOML syntax, cut after `_SHOWN_MAX_CHARS`."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        shown = '"' + "".join(map(_escape_character, value)) + '"'
    elif isinstance(value, list | tuple):
        shown = "[" + ", ".join(map(describe_value, value[:20])) + "]"
    elif isinstance(value, dict):
        pairs = [f"{k} = {describe_value(v)}" for k, v in value.items()]
        shown = "{ " + ", ".join(pairs) + " }" if pairs else "{}"
    else:
        shown = repr(value) if isinstance(value, float) else str(value)
    return (
        shown
        if len(shown) <= _SHOWN_MAX_CHARS
        else shown[:_SHOWN_MAX_CHARS] + "..."
    )


def _escape_character(character: str) -> str:
    if character.isprintable():
        return character
    return character.encode("unicode_escape").decode()
