"""Stand-in for the platform's store, by the users' protocol specification."""

import base64
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import anyio
import orjson

from soak.server import Reply, Request

# Answer time of the users' platform.
ANSWER_DELAY_S = 0.004
PAGE_ITEMS = 500


class Item:
    """One revision of a key: its value, or None for its removal."""

    __slots__ = ("key", "value", "revision")

    def __init__(self, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision

    def encode(self) -> dict[str, Any]:
        """Returns its representation in the answers of the store."""
        fields: dict[str, Any] = {"key": self.key, "revision": self.revision}
        if self.value is None:
            return fields | {"deleted": True}
        text = base64.b64encode(self.value).decode()
        return fields | {"value": text, "created": self.revision, "lease": 0}


class Store:
    """Key-value store with one revision counter, watches, and faults.

    Attributes:
        refusal_status: Status of every answer while requests are refused,
            else 0.
        delay_s: Extra time before each answer.
        drops_answers: Whether requests are handled but never answered.
        era: Rises by one each time that the store comes back from a copy.
        reads: When whole ranges were read.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.refusal_status = 0
        self.delay_s = 0.0
        self.drops_answers = False
        self.era = 1
        self.reads: list[float] = []
        self._clock = clock
        self._items: dict[str, Item] = {}
        self._history: list[Item] = []
        # First revision that a watch can still get from the history.
        self._history_start = 1
        self._revision = 10
        self._changed = anyio.Event()

    def put(self, key: str, value: Any) -> float:
        """Stores a value as JSON; returns the time of the acknowledgement."""
        self._add(Item(key, orjson.dumps(value), self._revision + 1))
        return self._clock()

    def delete(self, key: str) -> float:
        """Removes a key; returns the time of the acknowledgement."""
        if key in self._items:
            self._add(Item(key, None, self._revision + 1))
        return self._clock()

    def discard_history(self) -> None:
        """Discards the history; watches of earlier revisions get status 410."""
        self._history.clear()
        self._history_start = self._revision + 1

    def copy(self) -> tuple[dict[str, Item], int]:
        """Returns a copy to which `restore` can go back."""
        return dict(self._items), self._revision

    def restore(self, copied: tuple[dict[str, Item], int]) -> dict[str, Item]:
        """Comes back from a copy; returns the items that it had before."""
        lost = self._items
        self.era += 1
        self._items, self._revision = dict(copied[0]), copied[1]
        self.discard_history()
        self._changed.set()
        self._changed = anyio.Event()
        return lost

    def write_again(
        self, copied: tuple[dict[str, Item], int], lost: dict[str, Item]
    ) -> None:
        """Writes what `restore` took back, unless it was written since."""
        for key in sorted({*copied[0], *lost}):
            if self._items.get(key) is not copied[0].get(key):
                continue
            item = lost.get(key)
            if item is None:
                self.delete(key)
            elif item is not copied[0].get(key):
                self._add(Item(key, item.value, self._revision + 1))

    def _add(self, item: Item) -> None:
        self._revision = item.revision
        self._history.append(item)
        if item.value is None:
            del self._items[item.key]
        else:
            self._items[item.key] = item
        self._changed.set()
        self._changed = anyio.Event()

    async def handle(self, req: Request, reply: Reply) -> None:
        """Answers one request of the store's protocol."""
        url = urlsplit(req.target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        await anyio.sleep(ANSWER_DELAY_S + self.delay_s)
        if self.refusal_status:
            await reply.send_complete(self.refusal_status)
            return
        answer = await self.answer(url.path, query)
        if self.drops_answers:
            await anyio.sleep_forever()
        era = ("Store-Era", str(self.era))
        if answer is None:
            await reply.send_complete(404, b"", [era])
        elif isinstance(answer, int):
            await reply.send_complete(answer, b"", [era])
        else:
            body = orjson.dumps(answer)
            content_type = ("Content-Type", "application/json")
            await reply.send_complete(200, body, [content_type, era])

    async def answer(
        self, path: str, query: dict[str, str]
    ) -> dict[str, Any] | int | None:
        """Returns the body of an answer, a status, or None for 404."""
        if path == "/kv-key":
            item = self._items.get(query["key"])
            return item and item.encode() | {"at": self._revision}
        if path == "/kv-range":
            self.reads.append(self._clock())
            return self._range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self._watch(
                query["prefix"],
                int(query["after"]),
                int(query["waitMs"]) / 1000,
            )
        return None

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._items[key].encode() for key in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "at": self._revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> dict[str, Any] | int:
        with anyio.move_on_after(wait_s):
            while not self.refusal_status:
                is_unknown = after > self._revision
                if is_unknown or after + 1 < self._history_start:
                    return 410
                events = [
                    item.encode()
                    for item in self._history
                    if item.revision > after and item.key.startswith(prefix)
                ]
                if events:
                    return {"events": events, "at": self._revision}
                await self._changed.wait()
        return self.refusal_status or {"events": [], "at": self._revision}
