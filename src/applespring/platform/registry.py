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
)


class PlatformRegistry(Registry):
    """The operator's configuration and the workers' entries in the store."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read_document(self) -> tuple[bytes | None, int]:
        """See `Registry.read_document`."""
        items, revision = await self._store.read_prefix(
            document.DOCUMENT_PREFIX
        )
        return _find_document(items), revision

    async def wait_document(self, after: int) -> tuple[bytes | None, int]:
        """See `Registry.wait_document`."""
        try:
            events, revision = await self._store.watch(
                document.DOCUMENT_PREFIX, after
            )
        except HistoryGoneError as exc:
            raise HistoryLostError(str(exc)) from exc
        return _find_document(events), revision

    async def read_entries(self) -> tuple[list[EntryChange], int]:
        """See `Registry.read_entries`."""
        items, revision = await self._store.read_prefix(document.ENTRY_PREFIX)
        return list(self._decode(items)), revision

    async def wait_entries(self, after: int) -> tuple[list[EntryChange], int]:
        """See `Registry.wait_entries`."""
        try:
            events, revision = await self._store.watch(
                document.ENTRY_PREFIX, after
            )
        except HistoryGoneError as exc:
            raise HistoryLostError(str(exc)) from exc
        return list(self._decode(events)), revision

    def decode_document(self, data: bytes):  # noqa: ANN201
        """See `Registry.decode_document`."""
        return document.decode_document(data)

    def _decode(self, items: Iterable[dict]) -> Iterable[EntryChange]:
        for item in items:
            key = item.get("key")
            if not isinstance(key, str):
                logger.bind(event="entry_unreadable").warning(
                    "an item of the store has no key"
                )
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
