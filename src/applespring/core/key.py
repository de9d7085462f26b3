"""Idempotency keys.

A key that names its owner has the text form
`ask1.<instance>.<incarnation hex>.<issue second hex><random hex>`. Any other
printable ASCII text of up to `KEY_LENGTH_MAX` characters is a key chosen by the
caller. The issue second is read from the issuer's monotonic clock, so that the
issuer can refuse a key that its key table may no longer hold.
"""

import re
import uuid
from collections.abc import Callable

KEY_LENGTH_MAX = 128
KEY_RANDOM_BYTES = 12
_ISSUED = re.compile(
    r"ask1\.([A-Za-z0-9_.-]+)\.([0-9a-f]{16})\.([0-9a-f]{8})[0-9a-f]{24}"
)
_PRINTABLE = re.compile(rf"[\x21-\x7e]{{1,{KEY_LENGTH_MAX}}}")


class Key:
    """An idempotency key.

    Attributes:
        text: The key as the caller sends it.
        instance: Name of the issuing instance, or "" for a caller's key.
        incarnation: Incarnation of the issuing instance, or 0.
        issued_s: Issue second on the issuer's monotonic clock, or 0.
    """

    __slots__ = ("text", "instance", "incarnation", "issued_s")

    def __init__(
        self,
        text: str,
        instance: str = "",
        incarnation: int = 0,
        issued_s: int = 0,
    ) -> None:
        self.text = text
        self.instance = instance
        self.incarnation = incarnation
        self.issued_s = issued_s

    @property
    def names_owner(self) -> bool:
        """Whether an instance issued the key, which then owns it."""
        return bool(self.instance)


def parse_key(text: str) -> Key:
    """Parses the text of an `Idempotency-Key` header.

    Raises:
        ValueError: The text is empty, too long, not printable ASCII, or starts
            with `ask1.` without being a complete issued key. Taken as a
            caller's key, a damaged issued key could run a second time.
    """
    if not _PRINTABLE.fullmatch(text):
        raise ValueError(
            f"a key has 1 to {KEY_LENGTH_MAX} printable ASCII characters "
            f"without spaces; got {len(text)} characters"
        )
    match = _ISSUED.fullmatch(text)
    if match:
        return Key(text, match[1], int(match[2], 16), int(match[3], 16))
    if text.startswith("ask1."):
        raise ValueError(
            f"a key of {len(text)} characters starts with ask1. but is not of "
            "the form ask1.<instance>.<16 hex digits>.<32 hex digits>"
        )
    return Key(text)


def issue_key(
    instance: str,
    incarnation: int,
    now: float,
    random_bytes: Callable[[int], bytes],
) -> str:
    """Returns the text of a new key that names its owner.

    Args:
        instance: Name of the issuing instance.
        incarnation: Its incarnation.
        now: Seconds on its monotonic clock.
        random_bytes: Returns the given number of random bytes.

    Raises:
        ValueError: The instance name is too long for `KEY_LENGTH_MAX` or has
            characters other than letters, digits, `_`, `.` and `-`.
    """
    random_hex = random_bytes(KEY_RANDOM_BYTES).hex()
    suffix = f"{int(now):08x}{random_hex}"
    return parse_key(f"ask1.{instance}.{incarnation:016x}.{suffix}").text


def issue_time_s(text: str) -> float | None:
    """Returns the issue time of a UUIDv7 in Unix seconds, or None.

    Only the canonical form with hyphens counts as a UUID; `uuid.UUID` accepts
    others too.
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if str(value) != text.lower() or value.version != 7:
        return None
    return (value.int >> 80) / 1000.0
