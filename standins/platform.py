"""Stand-in for the platform: its configuration service and instance list."""

import random
import sys
from typing import Annotated, Any

import anyio
import orjson
import xxhash

from applespring.cli import Range
from standins.faults import AbortConnection, FaultError
from standins.serve import run, run_program
from standins.web import App, Reply, WebError, WebRequest, json_reply

DOCUMENT_MAX_BYTES = 1_000_000
REVISIONS_MAX = 64
WAIT_MAX_S = 60.0
_INSTANCE_FIELDS = ("name", "role", "address", "failure_domain", "state")


class PublishedValue:
    """A published configuration document or instance list.

    Attributes:
        revision: Revision; each publication adds one.
        body: The value as it is served.
        at: Time of publication in seconds on the monotonic clock.
    """

    __slots__ = ("revision", "body", "at")

    def __init__(self, revision: int, body: bytes) -> None:
        self.revision = revision
        self.body = body
        self.at = anyio.current_time()


class Platform(App):
    """The platform's interface with its own kinds of faults.

    Attributes:
        limit_per_s: Calls per second above which the answer is 429.
        staleness: Number of revisions by which the configuration served is
            behind the latest one.
        outage: Whether all connections are reset.
        garbage: Whether random bytes are served in place of each value.
        lag_s: Seconds until a published instance list is served.
        calls: Number of calls by path, and under `limited` of those that were
            answered 429.
    """

    def __init__(self, name: str = "platform", limit_per_s: int = 2000) -> None:
        super().__init__(name)
        self.limit_per_s = limit_per_s
        self.staleness = 0
        self.outage = False
        self.garbage = False
        self.lag_s = 0.0
        self.calls = {"/v1/config": 0, "/v1/instances": 0, "limited": 0}
        self._rng = random.Random(0)
        self._second = -1
        self._second_calls = 0
        self._configs: list[PublishedValue] = []
        self._instances: list[PublishedValue] = []
        self._changed: anyio.Event | None = None
        self.routes |= {
            ("GET", "/v1/config"): self.get_config,
            ("GET", "/v1/instances"): self.get_instances,
            ("PUT", "/admin/config"): self.put_config,
            ("PUT", "/admin/instances"): self.put_instances,
            ("GET", "/admin/calls"): self.get_calls,
        }

    def intercept_request(self, req: WebRequest) -> Reply | None:
        """Applies the outage and the limit of calls per second."""
        if self.outage:
            raise AbortConnection
        self.calls[req.path] += 1
        second = int(anyio.current_time())
        if second != self._second:
            self._second, self._second_calls = second, 0
        self._second_calls += 1
        if self._second_calls <= self.limit_per_s:
            return None
        self.calls["limited"] += 1
        return json_reply({"error": "call limit"}, 429, retry_after="1")

    def shutdown(self) -> None:
        """Ends waiting watches as well."""
        super().shutdown()
        self._notify()

    def _notify(self) -> None:
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def _wait_change(self, seconds: float) -> None:
        if self._changed is None:
            self._changed = anyio.Event()
        with anyio.move_on_after(seconds):
            await self._changed.wait()

    def visible_config(self) -> PublishedValue | None:
        """Returns the configuration served now, or None before the first."""
        if not self._configs:
            return None
        revisions_behind = min(self.staleness, len(self._configs) - 1)
        return self._configs[-1 - revisions_behind]

    def visible_instances(self) -> PublishedValue | None:
        """Returns the instance list served now, or None before the first."""
        visible_until = anyio.current_time() - self.lag_s
        visible = [
            value for value in self._instances if value.at <= visible_until
        ]
        return visible[-1] if visible else None

    async def get_config(self, req: WebRequest) -> Reply:
        """Returns the configuration; a watch waits for a newer revision."""
        value = await self._watch(req, self.visible_config)
        return self._reply(req, value, "application/toml")

    async def get_instances(self, req: WebRequest) -> Reply:
        """Returns the instance list; a watch waits for a newer revision."""
        value = await self._watch(req, self.visible_instances)
        return self._reply(req, value, "application/json")

    async def _watch(
        self, req: WebRequest, get_visible: Any
    ) -> PublishedValue | None:
        """Returns the value to serve, or None if a watch saw nothing newer.

        Raises:
            AbortConnection: An outage started during the wait.
            WebError: Nothing is published (404).
        """
        wait_s = min(req.number("wait_s", 0), WAIT_MAX_S)
        deadline = anyio.current_time() + wait_s
        is_watch = "after" in req.query
        after_revision = req.number("after", 0)
        while True:
            value = get_visible()
            if value and (not is_watch or value.revision > after_revision):
                return value
            remaining_s = deadline - anyio.current_time()
            if remaining_s <= 0 or self.stopping:
                break
            await self._wait_change(min(remaining_s, self._next_visible_s()))
            if self.outage:
                raise AbortConnection
        if value is None and not is_watch:
            raise WebError(404, f"no value is published for {req.path}")
        return None

    def _next_visible_s(self) -> float:
        now = anyio.current_time()
        waits_s = [value.at + self.lag_s - now for value in self._instances]
        return min((s for s in waits_s if s > 0), default=WAIT_MAX_S)

    def _reply(
        self, req: WebRequest, value: PublishedValue | None, content_type: str
    ) -> Reply:
        if value is None:
            return Reply(status=304)
        etag = f'"{xxhash.xxh64_hexdigest(value.body)}"'
        headers = {"etag": etag, "applespring-revision": str(value.revision)}
        if req.headers.get("if-none-match") == etag and not self.garbage:
            return Reply(status=304, headers=headers)
        body = value.body
        if self.garbage:
            body = self._rng.randbytes(max(16, len(body)))
        return Reply(body, content_type=content_type, headers=headers)

    async def put_config(self, req: WebRequest) -> Reply:
        """Publishes a configuration document without validating it."""
        if len(req.body) > DOCUMENT_MAX_BYTES:
            raise WebError(
                413,
                f"document has {len(req.body)} bytes, "
                f"over the limit of {DOCUMENT_MAX_BYTES}",
            )
        return self._publish(self._configs, req.body)

    async def put_instances(self, req: WebRequest) -> Reply:
        """Publishes an instance list."""
        entries = req.json(list)
        for entry in entries:
            missing = [
                name
                for name in _INSTANCE_FIELDS
                if not isinstance(entry, dict)
                or not isinstance(entry.get(name), str)
            ]
            if missing:
                raise WebError(
                    400, f"instance {entry!r} lacks the strings {missing}"
                )
        revision = self._instances[-1].revision + 1 if self._instances else 1
        body = {"revision": revision, "instances": entries}
        return self._publish(self._instances, orjson.dumps(body))

    def _publish(self, values: list[PublishedValue], body: bytes) -> Reply:
        revision = values[-1].revision + 1 if values else 1
        values.append(PublishedValue(revision, body))
        del values[:-REVISIONS_MAX]
        self._notify()
        return json_reply({"revision": revision})

    async def get_calls(self, _req: WebRequest) -> Reply:
        """Returns the number of calls by path."""
        return json_reply(self.calls)

    def apply_faults(self, spec: dict[str, Any]) -> None:
        """Applies the platform's fault settings and the common faults.

        Settings that are absent keep their value.

        Raises:
            FaultError: A setting is unknown, negative or of a wrong type.
        """
        types = {
            "limit_per_s": (int,),
            "staleness": (int,),
            "outage": (bool,),
            "garbage": (bool,),
            "lag_s": (int, float),
        }
        settings = {name: spec[name] for name in types if name in spec}
        for name, value in settings.items():
            if type(value) not in types[name] or value < 0:
                raise FaultError(
                    f"{name} {value!r} is negative or not of type "
                    f"{types[name][-1].__name__}"
                )
        common = {name: spec[name] for name in spec if name not in settings}
        super().apply_faults(common)
        self._rng = random.Random(spec.get("seed", 0))
        for name, value in settings.items():
            setattr(self, name, value)
        self._notify()


def serve_platform(
    *,
    port: Annotated[int, Range(0, 65535)] = 0,
    name: str = "platform",
    limit_per_s: Annotated[int, Range(0, 1_000_000)] = 2000,
) -> None:
    """Serves a stand-in for the platform on 127.0.0.1 until SIGTERM.

    Args:
        port: TCP port; 0 selects a free one.
        name: Name of this stand-in.
        limit_per_s: Calls per second above which the answer is 429.
    """
    run(Platform(name, limit_per_s), port)


if __name__ == "__main__":
    sys.exit(run_program("standin-platform", serve_platform))
