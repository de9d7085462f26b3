"""Checks what a registry entry says of an upstream.

Anyone may write entries, and an instance without the registry reads them from
its peers. An entry that fails a check names no upstream. One that passes can be
called, and fits the messages between instances.
"""

import re

from applespring.core.catalog import ListedUpstream
from applespring.core.errors import MessageError
from applespring.core.value_kind import Address

_ADDRESS = Address()
# A name is sent as a header.
_NAME = re.compile(r"[\x21-\x7e]{1,255}")
TEXT_CHARS_MAX = 255
# Largest values of their fields in a message between instances.
SLOTS_MAX = 2**32 - 1
BORN_MS_MAX = 2**64 - 1


def check_upstream(upstream: ListedUpstream) -> None:
    """Checks the type and the range of each field.

    Raises:
        MessageError: A field has another type, or is out of range.
    """
    name = upstream.name
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        raise MessageError(
            f"upstream {name!r:.80}: the name is not 1 to 255 printable ASCII "
            "characters without a space"
        )
    check_text(name, "pool", upstream.pool)
    check_text(name, "failure domain", upstream.failure_domain)
    check_whole(name, "slots", upstream.slots, SLOTS_MAX)
    check_whole(name, "start", upstream.born_ms, BORN_MS_MAX)
    _check_address(name, upstream.address)


def check_text(name: str, field: str, value: object) -> None:
    """Checks a text field of an upstream.

    Raises:
        MessageError: It is no text, empty or too long.
    """
    if not isinstance(value, str) or not 0 < len(value) <= TEXT_CHARS_MAX:
        raise MessageError(
            f"upstream {name}: {field} is {value!r:.80}, not a text of 1 to "
            f"{TEXT_CHARS_MAX} characters"
        )


def check_whole(name: str, field: str, value: object, value_max: int) -> None:
    """Checks a field of an upstream that has a whole number.

    Raises:
        MessageError: It is no whole number, or out of range.
    """
    # True and False are instances of int.
    if type(value) is not int or not 0 <= value <= value_max:
        raise MessageError(
            f"upstream {name}: {field} is {value!r:.80}, not a whole number "
            f"from 0 to {value_max}"
        )


def _check_address(name: str, address: object) -> None:
    """Checks that an address is an IPv4 address and a port.

    Raises:
        MessageError: It is not.
    """
    if not _ADDRESS.accepts(address) or address.startswith("["):
        raise MessageError(
            f"upstream {name}: address is {address!r:.80}, not an IPv4 address "
            "and a port from 1 to 65535"
        )
