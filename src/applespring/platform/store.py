"""HTTP client of the platform's key-value store: range reads and watches."""

from typing import Any

import anyio
import httpx
import orjson

from applespring.core.era import ERA_MAX, era_of, join_era, revision_of
from applespring.core.errors import ApplespringError, MessageError

RANGE_PATH = "/kv-range"
WATCH_PATH = "/kv-watch"
# Least and greatest timeout of a read. The store usually answers in
# milliseconds. While it is slow, the timeout is twice the time of its last
# answer, and doubles after each read without one.
READ_TIMEOUT_S = 1.0
READ_TIMEOUT_MAX_S = 4.0
# Further time in which an answer has to end, and its largest size: a page has
# 500 items or about 1 MB, and one value of 1 MiB takes a third more as base64.
BODY_TIMEOUT_S = 3.0
BODY_BYTES_MAX = 16 * 1024 * 1024
# A watch times out this long after the store should have answered it, since its
# connection is then assumed to be dead.
WATCH_MARGIN_S = 0.6
CONNECT_TIMEOUT_S = 0.5
# Header with the era, which rises each time the store comes back from a copy.
ERA_HEADER = "store-era"
# Bound on the pages of one range read.
PAGES_MAX = 1000


class StoreError(ApplespringError):
    """The store did not answer, or answered with an error."""


class HistoryGoneError(StoreError):
    """The store no longer has the changes after a watch's revision."""


class LateAnswerError(StoreError):
    """An answer that belongs to an earlier call on its connection."""


class Store:
    """Reads and watches keys of the platform's store.

    Revisions in and out are joined with the era of the answer (`core/era.py`).

    Attributes:
        address: IP:port of the store.
        era: Highest era that an answer has named.
    """

    def __init__(
        self, transport: httpx.AsyncBaseTransport, address: str
    ) -> None:
        self._transport = transport
        self.address = address
        self.era = 0
        self._read_timeout_s = READ_TIMEOUT_S

    async def read_prefix(self, prefix: str) -> tuple[list[dict], int]:
        """Returns all items whose keys have a prefix, and a revision.

        A watch after this revision misses no change. It is the revision of the
        first page, since the store may change between two pages.

        Raises:
            StoreError: The store did not answer, or answered with an error.
            MessageError: The answer is malformed.
        """
        items: list[dict] = []
        revision, era = None, self.era
        query = {"prefix": prefix}
        for _ in range(PAGES_MAX):
            page = await self._read_page(query)
            if page is None:
                break
            if revision is None:
                revision = join_era(self.era, _read_at(RANGE_PATH, page))
                era = self.era
            elif self.era != era:
                raise HistoryGoneError(
                    f"{RANGE_PATH}: era {self.era} began during a read of era "
                    f"{era}"
                )
            page_items = _read_items(RANGE_PATH, page, "items")
            items.extend(page_items)
            if not page.get("hasMore") or not page_items:
                break
            last_key = page_items[-1].get("key")
            if not isinstance(last_key, str):
                raise MessageError(
                    f"{RANGE_PATH}: the last item of a page has the key "
                    f"{last_key!r:.80}, not a text"
                )
            query = {"prefix": prefix, "after": last_key}
        return items, revision or 0

    async def _read_page(self, query: dict[str, Any]) -> dict[str, Any] | None:
        """Reads one page, and sets the timeout of the next one."""
        started_at = anyio.current_time()
        next_timeout_s = self._read_timeout_s
        try:
            page = await self._get(RANGE_PATH, query, self._read_timeout_s)
            next_timeout_s = 2 * (anyio.current_time() - started_at)
            return page
        except StoreError:
            if anyio.current_time() - started_at >= self._read_timeout_s:
                next_timeout_s *= 2
            raise
        finally:
            self._read_timeout_s = min(
                READ_TIMEOUT_MAX_S, max(READ_TIMEOUT_S, next_timeout_s)
            )

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[dict], int]:
        """Waits for changes of keys with a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are returned.
            wait_s: Longest time to wait for a change.

        Returns:
            The changed items and the revision for the next watch.

        Raises:
            HistoryGoneError: The store no longer has all changes after `after`,
                or has begun another era since.
            StoreError: The store did not answer, or answered with an error.
            MessageError: The answer is malformed.
        """
        wait_ms = int(1000 * wait_s)
        query = {
            "prefix": prefix,
            "after": revision_of(after),
            "waitMs": wait_ms,
        }
        page = await self._get(WATCH_PATH, query, wait_s + WATCH_MARGIN_S)
        if page is None:
            raise StoreError(
                f"watch after revision {after} was answered with status 404"
            )
        if self.era != era_of(after):
            raise HistoryGoneError(
                f"{WATCH_PATH}: era {self.era} has begun, the watch is of era "
                f"{era_of(after)}"
            )
        revision = _read_at(WATCH_PATH, {"at": revision_of(after), **page})
        events = _read_items(WATCH_PATH, page, "events")
        return events, join_era(self.era, revision)

    async def _get(
        self, path: str, query: dict[str, Any], read_timeout_s: float
    ) -> dict[str, Any] | None:
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "read": read_timeout_s,
            "write": CONNECT_TIMEOUT_S,
            "pool": read_timeout_s,
        }
        url = httpx.URL(f"http://{self.address}{path}", params=query)
        request = httpx.Request("GET", url, extensions={"timeout": timeout})
        limit_s = read_timeout_s + BODY_TIMEOUT_S
        try:
            with anyio.fail_after(limit_s):
                resp = await self._transport.handle_async_request(request)
                try:
                    body = await _read_body(resp, path)
                    return self._decode_page(path, query, resp, body)
                except LateAnswerError:
                    # The answer to this call would be the one to the next.
                    await _close_connection(resp)
                    raise
                finally:
                    await _close(resp)
        except TimeoutError as exc:
            raise StoreError(
                f"{path}: the answer did not end within {limit_s:.1f} s"
            ) from exc
        except (httpx.HTTPError, OSError) as exc:
            raise StoreError(f"{path}: {type(exc).__name__}: {exc}") from exc

    def _decode_page(
        self,
        path: str,
        query: dict[str, Any],
        resp: httpx.Response,
        body: bytes,
    ) -> dict[str, Any] | None:
        """Returns the page of a complete answer, or None if there is none.

        Raises:
            LateAnswerError: The answer can't be the one to the call.
            StoreError: It is an error.
            MessageError: It is malformed.
        """
        self._check_era(path, resp.headers.get(ERA_HEADER))
        if resp.status_code == 404:
            return None
        if resp.status_code == 410:
            raise HistoryGoneError(
                f"{path}: the store no longer has the history: {query}"
            )
        if resp.status_code != 200:
            raise StoreError(f"{path}: status {resp.status_code}")
        try:
            page = orjson.loads(body)
        except ValueError as exc:
            raise StoreError(f"{path}: the answer is not JSON") from exc
        if not isinstance(page, dict):
            raise MessageError(f"{path}: the answer is not an object")
        if path == WATCH_PATH:
            _check_watch(query["after"], page)
        elif "events" in page:
            raise LateAnswerError(f"{path}: the answer is that to a watch")
        return page

    def _check_era(self, path: str, text: str | None) -> None:
        """Records the era of an answer; one without any is of the era held.

        Raises:
            LateAnswerError: The answer is of an earlier era.
            MessageError: The era is no number, or out of range.
        """
        if text is None:
            return
        if not text.isascii() or not text.isdigit() or int(text) > ERA_MAX:
            raise MessageError(
                f"{path}: the era {text[:40]!r} is no number up to {ERA_MAX}"
            )
        era = int(text)
        if era < self.era:
            raise LateAnswerError(
                f"{path}: an answer of era {era} came after one of era "
                f"{self.era}"
            )
        self.era = era


def _check_watch(after: int, page: dict[str, Any]) -> None:
    """Checks that an answer can be the one to a watch after a revision.

    Raises:
        LateAnswerError: It is that to a read, or to an earlier watch.
    """
    if "items" in page:
        raise LateAnswerError(f"{WATCH_PATH}: the answer is that to a read")
    events = page.get("events")
    revisions = [
        event.get("revision")
        for event in (events if isinstance(events, list) else [])
        if isinstance(event, dict)
    ]
    if any(type(r) is int and r <= after for r in revisions) or (
        type(page.get("at")) is int and 0 <= page["at"] < after
    ):
        raise LateAnswerError(
            f"{WATCH_PATH}: an answer of revision {page.get('at')} has changes "
            f"up to revision {after}, after which it was asked for"
        )


def _read_at(path: str, page: dict[str, Any]) -> int:
    """Returns the revision of an answer.

    Raises:
        MessageError: It is no whole number.
    """
    at = page.get("at")
    if type(at) is not int or at < 0:
        raise MessageError(
            f"{path}: the revision of the answer is {at!r:.80}, not a whole "
            "number from 0"
        )
    return at


def _read_items(path: str, page: dict[str, Any], name: str) -> list[dict]:
    """Returns the items of an answer; none if it names none.

    Raises:
        MessageError: They are no list of objects.
    """
    items = page.get(name) or []
    if not isinstance(items, list) or not all(
        isinstance(item, dict) for item in items
    ):
        raise MessageError(
            f"{path}: {name} is {items!r:.80}, not a list of objects"
        )
    return items


async def _read_body(resp: httpx.Response, path: str) -> bytes:
    """Returns the complete body of an answer.

    Raises:
        StoreError: It is longer than `BODY_BYTES_MAX`.
    """
    body = bytearray()
    # The connection stays with this call until the answer is checked, which
    # `aiter_bytes` would return at the end of the body.
    async for chunk in resp.stream:
        body += chunk
        if len(body) > BODY_BYTES_MAX:
            raise StoreError(
                f"{path}: the answer exceeds {BODY_BYTES_MAX} bytes"
            )
    return bytes(body)


async def _close_connection(resp: httpx.Response) -> None:
    """Closes the connection of an answer, so that it is not used again."""
    connection = resp.extensions.get("network_stream")
    if connection is not None:
        with anyio.move_on_after(CONNECT_TIMEOUT_S, shield=True):
            await connection.aclose()


async def _close(resp: httpx.Response) -> None:
    """Closes the connection if the body was not read to its end."""
    with anyio.move_on_after(CONNECT_TIMEOUT_S, shield=True):
        await resp.aclose()
