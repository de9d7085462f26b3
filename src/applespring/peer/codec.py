"""Conversion of messages to bytes and back, with bounds on their size."""

import pathlib
from typing import Any

import capnp

from applespring.core.errors import MessageError
from applespring.peer.message import MESSAGES, Message

# A configuration document of 1 MB must fit, with its envelope.
MESSAGE_BYTES_MAX = 2 * 1024 * 1024
# Stays below the usual size of a UDP payload that is not fragmented.
DATAGRAM_BYTES_MAX = 1400
# Bounds the memory that a decoded message takes: a small packed message can
# state a very long list of empty structs, each of which takes memory.
TRAVERSAL_WORDS_MAX = MESSAGE_BYTES_MAX // 2
NESTING_DEPTH_MAX = 16

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))
_TAG_BY_CLASS = {cls: tag for tag, cls in MESSAGES.items()}


def _to_camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


_FIELDS_BY_CLASS: dict[
    type[Message], list[tuple[str, str, type[Message] | None]]
] = {}


def _fields_of(
    cls: type[Message],
) -> list[tuple[str, str, type[Message] | None]]:
    if cls not in _FIELDS_BY_CLASS:
        _FIELDS_BY_CLASS[cls] = [
            (name, _to_camel(name), cls.NESTED.get(name))
            for name in cls.__slots__
        ]
    return _FIELDS_BY_CLASS[cls]


def encode(message: Message, bytes_max: int = MESSAGE_BYTES_MAX) -> bytes:
    """Returns the bytes of a message.

    Raises:
        MessageError: A value does not fit its field, or the message exceeds
            `bytes_max`.
    """
    envelope = _SCHEMA.Envelope.new_message()
    try:
        _fill_struct(envelope.init(_TAG_BY_CLASS[type(message)]), message)
        data = envelope.to_bytes_packed()
    except (capnp.KjException, TypeError, ValueError, OverflowError) as exc:
        name = type(message).__name__
        raise MessageError(f"{name} cannot be encoded: {exc}") from exc
    if len(data) > bytes_max:
        raise MessageError(
            f"{type(message).__name__} of {len(data)} bytes exceeds the bound "
            f"of {bytes_max} bytes"
        )
    return data


def decode(data: bytes, bytes_max: int = MESSAGE_BYTES_MAX) -> Message:
    """Returns the message that these bytes encode.

    Raises:
        MessageError: There are more than `bytes_max` bytes, or they are not a
            message of `MESSAGES`.
    """
    if len(data) > bytes_max:
        raise MessageError(
            f"a message of {len(data)} bytes exceeds the bound of {bytes_max}"
        )
    try:
        envelope = _SCHEMA.Envelope.from_bytes_packed(
            data,
            traversal_limit_in_words=TRAVERSAL_WORDS_MAX,
            nesting_limit=NESTING_DEPTH_MAX,
        )
        tag = str(envelope.which())
        return _read_struct(getattr(envelope, tag), MESSAGES[tag])
    except (capnp.KjException, ValueError, KeyError, TypeError) as exc:
        first_line = str(exc).partition("\n")[0][:120]
        raise MessageError(
            f"a message of {len(data)} bytes cannot be decoded: {first_line}"
        ) from exc


def _fill_struct(builder: Any, message: Message) -> None:
    for name, wire_name, nested in _fields_of(type(message)):
        value = getattr(message, name)
        if nested is None:
            setattr(builder, wire_name, value)
        elif isinstance(value, Message):
            _fill_struct(builder.init(wire_name), value)
        elif value:
            elements = builder.init(wire_name, len(value))
            for index, element in enumerate(value):
                _fill_struct(elements[index], element)


def _read_struct(reader: Any, cls: type[Message]) -> Message:
    fields = {}
    for name, wire_name, nested in _fields_of(cls):
        value = getattr(reader, wire_name)
        if nested is not None:
            if hasattr(value, "__len__"):
                value = tuple(
                    _read_struct(element, nested) for element in value
                )
            else:
                value = _read_struct(value, nested)
        fields[name] = value
    return cls(**fields)
