"""The relay's registry, read from the platform's store."""

from collections.abc import Iterable

from loguru import logger

from applespring.core.era import era_of, join_era
from applespring.core.errors import MessageError
from applespring.platform import document
from applespring.platform.store import HistoryGoneError, Store
from applespring.relay.registry import (
    EntryChange,
    EvacuationChange,
    HistoryLostError,
    Registry,
    RegistryUpdate,
)

# The empty prefix. The store contains little apart from the configuration and
# the entries, and one watch of all keys costs half as much as two watches.
ALL_KEYS = ""
# Longest name of a failure domain in an order to evacuate it.
DOMAIN_CHARS_MAX = 255


class PlatformRegistry(Registry):
    """Registry of the operator's configuration and the workers' entries."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self) -> RegistryUpdate:
        """See `Registry.read`."""
        try:
            return self._decode(*await self._store.read_prefix(ALL_KEYS))
        except HistoryGoneError as exc:
            raise HistoryLostError(str(exc)) from exc

    async def wait_for_changes(
        self, after: int, wait_s: float
    ) -> RegistryUpdate:
        """See `Registry.wait_for_changes`."""
        try:
            items_and_revision = await self._store.watch(
                ALL_KEYS, after, wait_s
            )
        except HistoryGoneError as exc:
            raise HistoryLostError(str(exc)) from exc
        return self._decode(*items_and_revision)

    def decode_document(self, data: bytes):  # noqa: ANN201
        """See `Registry.decode_document`."""
        return document.decode_document(data)

    def _decode(self, items: list[dict], revision: int) -> RegistryUpdate:
        era = era_of(revision)
        return RegistryUpdate(
            _find_document(items),
            list(_decode_entries(items, era)),
            revision,
            list(_decode_evacuations(items, era)),
        )


def _decode_entries(items: Iterable[dict], era: int) -> Iterable[EntryChange]:
    """Yields the changes of registry entries among items of the store.

    Their revisions are joined with the era. One that can't be decoded has its
    fault.
    """
    for item in items:
        key = item.get("key")
        if not isinstance(key, str):
            logger.bind(event="entry_unreadable").warning(
                "item of the store has the key {!r}, which is not text", key
            )
            continue
        if not key.startswith(document.ENTRY_PREFIX):
            continue
        name = document.entry_name(key)
        revision = join_era(era, int(item.get("revision", 0)))
        if item.get("deleted"):
            yield EntryChange(name, None, revision)
            continue
        try:
            data = document.decode_value(item)
            entry = document.decode_entry(key, data, revision)
        except MessageError as exc:
            yield EntryChange(name, None, revision, fault=str(exc))
            continue
        yield EntryChange(name, entry, revision)


def _decode_evacuations(
    items: Iterable[dict], era: int
) -> Iterable[EvacuationChange]:
    """Yields the orders to evacuate failure domains among items of the store.

    An order is its key; what its value holds does not matter.
    """
    for item in items:
        key = item.get("key")
        if not isinstance(key, str):
            continue
        domain = key.removeprefix(document.EVACUATION_PREFIX)
        if not domain or domain == key:
            continue
        if len(domain) > DOMAIN_CHARS_MAX:
            logger.bind(event="evacuation_rejected", key=key[:80]).error(
                "order to evacuate {!r}... is ignored: the name has {} "
                "characters, the bound is {}",
                domain[:40],
                len(domain),
                DOMAIN_CHARS_MAX,
            )
            continue
        revision = join_era(era, int(item.get("revision", 0)))
        yield EvacuationChange(domain, not item.get("deleted"), revision)


def _find_document(items: Iterable[dict]) -> bytes | None:
    """Returns the last configuration among items of the store, or None.

    Raises:
        MessageError: Its value is not base64.
    """
    newest = None
    for item in items:
        if item.get("key") == document.DOCUMENT_KEY and "value" in item:
            newest = document.decode_value(item)
    return newest
