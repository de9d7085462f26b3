"""Client of the platform: configuration documents and instance list."""

import ipaddress
from collections import Counter
from collections.abc import Mapping
from typing import Any

import anyio
import httpx
import orjson

from applespring.core.errors import ApplespringError
from applespring.core.instances import (
    InstanceEntry,
    InstanceList,
    InstanceState,
)
from applespring.core.revision import DOCUMENT_MAX_BYTES, REVISION_MAX

CONFIG_PATH = "/v1/config"
INSTANCES_PATH = "/v1/instances"
REVISION_HEADER = "Applespring-Revision"
# Enough for 8,192 entries of about 200 bytes each.
INSTANCES_MAX_BYTES = 2_000_000
WATCH_WAIT_MAX_S = 30.0
# Time that a watch may take beyond its wait. A watch of the list must end
# before evidence becomes stale.
REPLY_SLACK_S = 0.5
READ_TIMEOUT_S = 2.0
TEXT_MAX_CHARS = 256


class PlatformError(ApplespringError):
    """A call to the platform that failed or returned an invalid reply.

    Attributes:
        kind: `unreachable`, `timeout`, `status`, `too_large` or `garbage`.
    """

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(f"platform: {kind}: {detail}")
        self.kind = kind


class ConfigReply:
    """Reply to a request for the configuration.

    Attributes:
        revision: Newest revision at the platform.
        text: Text of that document, or None if there is no newer one.
        etag: Entity tag of the document, or "".
    """

    __slots__ = ("revision", "text", "etag")

    def __init__(self, revision: int, text: str | None, etag: str) -> None:
        self.revision = revision
        self.text = text
        self.etag = etag


class ListReply:
    """Reply to a request for the instance list.

    Attributes:
        revision: Newest revision at the platform.
        instances: The list, or None if there is no newer one.
    """

    __slots__ = ("revision", "instances")

    def __init__(self, revision: int, instances: InstanceList | None) -> None:
        self.revision = revision
        self.instances = instances


class PlatformClient:
    """HTTP client of the platform.

    Attributes:
        calls: Number of calls made.
        errors: Number of failed calls by kind.
    """

    __slots__ = ("calls", "errors", "_http")

    def __init__(self, http: httpx.AsyncClient) -> None:
        self.calls = 0
        self.errors: Counter[str] = Counter()
        self._http = http

    async def fetch_config(
        self, etag: str = "", known_revision: int = 0
    ) -> ConfigReply:
        """Reads the newest document.

        Args:
            etag: Entity tag of a document that need not be sent again, or "".
            known_revision: Revision of that document.

        Raises:
            PlatformError: The call failed or its reply is invalid.
        """
        headers = {"If-None-Match": etag} if etag else {}
        return await self._read_config(
            {}, headers, READ_TIMEOUT_S, known_revision
        )

    async def watch_config(self, after: int, wait_s: float) -> ConfigReply:
        """Waits for a document newer than `after`.

        Args:
            after: Revision of the caller.
            wait_s: Seconds for which the platform may delay the reply.

        Raises:
            PlatformError: The call failed or its reply is invalid.
        """
        wait_s = min(max(0.0, wait_s), WATCH_WAIT_MAX_S)
        params = {"after": str(after), "wait_s": f"{wait_s:g}"}
        limit_s = max(READ_TIMEOUT_S, wait_s + REPLY_SLACK_S)
        return await self._read_config(params, {}, limit_s, after)

    async def watch_instances(self, after: int, wait_s: float) -> ListReply:
        """Waits for a list newer than `after`.

        Args:
            after: Revision of the caller.
            wait_s: Seconds for which the platform may delay the reply.

        Raises:
            PlatformError: The call failed or its reply is invalid.
        """
        wait_s = min(max(0.0, wait_s), WATCH_WAIT_MAX_S)
        params = {"after": str(after), "wait_s": f"{wait_s:g}"}
        resp, body = await self._get(
            INSTANCES_PATH,
            params,
            {},
            wait_s + REPLY_SLACK_S,
            INSTANCES_MAX_BYTES,
        )
        if resp.status_code == 304:
            return ListReply(self._read_revision(resp, after), None)
        try:
            instances = parse_instances(body)
        except ValueError as exc:
            raise self._make_error("garbage", str(exc)) from exc
        return ListReply(instances.revision, instances)

    async def _read_config(
        self,
        params: Mapping[str, str],
        headers: Mapping[str, str],
        limit_s: float,
        known_revision: int,
    ) -> ConfigReply:
        resp, body = await self._get(
            CONFIG_PATH, params, headers, limit_s, DOCUMENT_MAX_BYTES
        )
        etag = resp.headers.get("ETag", "")[:TEXT_MAX_CHARS]
        if resp.status_code == 304:
            return ConfigReply(
                self._read_revision(resp, known_revision), None, etag
            )
        revision = self._read_revision(resp, 0)
        try:
            text = body.decode("utf-8")
        except UnicodeDecodeError as exc:
            raise self._make_error(
                "garbage", "the document is not UTF-8"
            ) from exc
        if revision == 0:
            raise self._make_error(
                "garbage", f"the reply has no {REVISION_HEADER} header"
            )
        return ConfigReply(revision, text, etag)

    async def _get(
        self,
        path: str,
        params: Mapping[str, str],
        headers: Mapping[str, str],
        limit_s: float,
        bytes_max: int,
    ) -> tuple[httpx.Response, bytes]:
        """Makes one call, bounded in time and in the size of the reply."""
        self.calls += 1
        all_headers = {"Accept-Encoding": "identity", **headers}
        try:
            with anyio.fail_after(limit_s):
                async with self._http.stream(
                    "GET",
                    path,
                    params=params,
                    headers=all_headers,
                    timeout=limit_s,
                ) as resp:
                    body = await self._read_body(resp, bytes_max)
        except (TimeoutError, httpx.TimeoutException) as exc:
            raise self._make_error(
                "timeout", f"{path}: no reply within {limit_s:g} s"
            ) from exc
        except (httpx.HTTPError, httpx.InvalidURL, OSError) as exc:
            raise self._make_error("unreachable", f"{path}: {exc}") from exc
        if resp.status_code not in (200, 304):
            raise self._make_error(
                "status", f"{path}: status {resp.status_code}"
            )
        return resp, body

    async def _read_body(self, resp: httpx.Response, bytes_max: int) -> bytes:
        body = bytearray()
        async for chunk in resp.aiter_bytes():
            body += chunk
            if len(body) > bytes_max:
                raise self._make_error(
                    "too_large", f"the reply exceeds {bytes_max} bytes"
                )
        return bytes(body)

    def _read_revision(self, resp: httpx.Response, default: int) -> int:
        text = resp.headers.get(REVISION_HEADER)
        if text is None:
            return default
        if not (text.isascii() and text.isdigit() and len(text) < 20):
            raise self._make_error(
                "garbage", f"revision {text[:40]!r} is not a number"
            )
        revision = int(text)
        if revision > REVISION_MAX:
            raise self._make_error(
                "garbage", f"revision {revision} exceeds {REVISION_MAX}"
            )
        return revision

    def _make_error(self, kind: str, detail: str) -> PlatformError:
        self.errors[kind] += 1
        return PlatformError(kind, detail)


def parse_instances(body: bytes) -> InstanceList:
    """Parses `{"revision": N, "instances": [...]}`.

    Raises:
        ValueError: Any part of it is malformed. A list with one malformed entry
            is rejected as a whole, since a missing entry would count as a
            removal.
    """
    data = orjson.loads(body)
    if not isinstance(data, dict):
        raise ValueError("the instance list is not a JSON object")
    revision = data.get("revision")
    if not _is_count(revision) or revision == 0:
        raise ValueError(f"the instance list has revision {revision!r}")
    items = data.get("instances")
    if not isinstance(items, list):
        raise ValueError("the field 'instances' is not an array")
    return InstanceList(revision, [_parse_entry(item) for item in items])


def _parse_entry(item: Any) -> InstanceEntry:
    if not isinstance(item, dict):
        raise ValueError("an entry is not a JSON object")
    texts = []
    for field in ("name", "role", "address", "failure_domain", "state"):
        value = item.get(field)
        if not isinstance(value, str) or not 0 < len(value) <= TEXT_MAX_CHARS:
            raise ValueError(f"an entry has the {field} {str(value)[:40]!r}")
        texts.append(value)
    name, role, address, failure_domain, state = texts
    _check_address(address)
    incarnation = item.get("incarnation", 0)
    if not _is_count(incarnation):
        raise ValueError(
            f"an entry has the incarnation {str(incarnation)[:40]!r}"
        )
    return InstanceEntry(
        name, role, address, failure_domain, InstanceState(state), incarnation
    )


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"an entry has the address {address[:40]!r}")


def _is_count(value: Any) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and 0 <= value <= 2**64 - 1
    )
