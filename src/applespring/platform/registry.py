"""Reads the platform's store as the relay's registry."""

from collections.abc import Iterable

from loguru import logger

from applespring.core.errors import MessageError
from applespring.platform import document
from applespring.platform.store import HistoryGoneError, Store
from applespring.relay.registry import (
    EntryChange,
    HistoryLostError,
    Registry,
    RegistryUpdate,
)

# The store holds little but the configuration and the entries, and one watch
# of all keys costs half of two.
ALL_KEYS = ""


class PlatformRegistry(Registry):
    """The operator's configuration and the workers' entries in the store."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self) -> RegistryUpdate:
        """See `Registry.read`."""
        return self._decode(*await self._store.read_prefix(ALL_KEYS))

    async def wait_for_changes(
        self, after: int, wait_s: float
    ) -> RegistryUpdate:
        """See `Registry.wait_for_changes`."""
        try:
            found = await self._store.watch(ALL_KEYS, after, wait_s)
        except HistoryGoneError as exc:
            raise HistoryLostError(str(exc)) from exc
        return self._decode(*found)

    def decode_document(self, data: bytes):  # noqa: ANN201
        """See `Registry.decode_document`."""
        return document.decode_document(data)

    def _decode(self, items: list[dict], revision: int) -> RegistryUpdate:
        changes = list(_decode_entries(items))
        return RegistryUpdate(_find_document(items), changes, revision)


def _decode_entries(items: Iterable[dict]) -> Iterable[EntryChange]:
    """Yields the entries among items of the store; others are ignored."""
    for item in items:
        key = item.get("key")
        if not isinstance(key, str):
            logger.bind(event="entry_unreadable").warning(
                "an item of the store has no key"
            )
            continue
        if not key.startswith(document.ENTRY_PREFIX):
            continue
        name = document.entry_name(key)
        revision = int(item.get("revision", 0))
        if item.get("deleted"):
            yield EntryChange(name, None, revision)
            continue
        try:
            data = document.decode_value(item)
            entry = document.decode_entry(key, data, revision)
        except MessageError as exc:
            logger.bind(event="entry_unreadable", key=key).warning(
                "entry names no upstream: {}", exc
            )
            yield EntryChange(name, None, revision, unreadable=True)
            continue
        yield EntryChange(name, entry, revision)


def _find_document(items: Iterable[dict]) -> bytes | None:
    """Returns the last document among items of the store."""
    newest = None
    for item in items:
        if item.get("key") == document.DOCUMENT_KEY and "value" in item:
            newest = document.decode_value(item)
    return newest
