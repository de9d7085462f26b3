"""Fault injection that is common to all stand-ins."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import orjson

BEFORE_READ = "before_read"
AFTER_READ = "after_read"
AFTER_RUN = "after_run"

# Each kind of fault with the fields that it takes and their defaults.
KINDS: dict[str, dict[str, Any]] = {
    "refuse": {"status": 503, "not_run": False, "when": AFTER_READ},
    "reset": {"when": AFTER_READ},
    "delay": {"seconds": 1.0},
    "freeze": {"at": None},
    "truncate": {"after": 0, "clean": False},
    "duplicate": {"at": None},
    "reorder": {"at": None},
    "wrong_id": {"at": None},
    "garbage": {"at": None},
}
_WHEN_VALUES = {
    "refuse": (AFTER_READ, AFTER_RUN),
    "reset": (BEFORE_READ, AFTER_READ, AFTER_RUN),
}
# Tokens from which a fault without `at` picks its place.
_RANDOM_POSITIONS = 8


class FaultError(ValueError):
    """A fault description that is not understood."""


class AbortConnection(Exception):  # noqa: N818
    """Tells the server to close the connection without an answer."""


class Fault:
    """One configured fault.

    Attributes:
        kind: A key of `KINDS`.
        path: Path prefix that it applies to, or "" for all but /admin.
        count: Requests that it still applies to, or None for no limit.
        probability: Chance that it applies to a request, 0 to 1.
        fields: The values that belong to the kind.
        rng: Random numbers of this fault alone.
    """

    __slots__ = ("kind", "path", "count", "probability", "fields", "rng")

    def __init__(self, spec: Any, default_seed: int) -> None:
        if not isinstance(spec, dict):
            raise FaultError("a fault must be an object")
        options = dict(spec)
        self.kind = options.pop("kind", None)
        if self.kind not in KINDS:
            raise FaultError(f"unknown kind {self.kind!r}; one of {[*KINDS]}")
        self.path = str(options.pop("path", ""))
        self.count = options.pop("count", None)
        self.probability = options.pop("probability", 1.0)
        self.rng = random.Random(options.pop("seed", default_seed))
        unknown = set(options) - set(KINDS[self.kind])
        if unknown:
            raise FaultError(f"{self.kind}: unknown field {sorted(unknown)}")
        self.fields = KINDS[self.kind] | options
        self._check()

    def _check(self) -> None:
        if self.count is not None and not _is_count(self.count):
            raise FaultError(f"count {self.count!r} is not a number >= 0")
        if not _is_number(self.probability) or not 0 <= self.probability <= 1:
            raise FaultError(f"probability {self.probability!r} not in 0 to 1")
        when_values = _WHEN_VALUES.get(self.kind)
        if when_values and self.fields["when"] not in when_values:
            raise FaultError(
                f"{self.kind}: `when` must be one of {when_values}"
            )
        for name in ("after", "at", "status"):
            value = self.fields.get(name)
            if value is not None and not _is_count(value):
                raise FaultError(f"{name} {value!r} is not a number >= 0")
        seconds = self.fields.get("seconds", 0)
        if not _is_number(seconds) or seconds < 0:
            raise FaultError(f"seconds {seconds!r} is not a number >= 0")

    def draw(self, path: str) -> bool:
        """Decides whether the fault applies to a request, and counts it."""
        if not path.startswith(self.path) or self.count == 0:
            return False
        if self.rng.random() >= self.probability:
            return False
        if self.count is not None:
            self.count -= 1
        return True

    def token_position(self) -> int:
        """Returns the token position at which the fault applies."""
        at = self.fields.get("at")
        return self.rng.randrange(_RANDOM_POSITIONS) if at is None else at


def _is_count(value: Any) -> bool:
    return type(value) is int and value >= 0


def _is_number(value: Any) -> bool:
    return type(value) in (int, float)


class FaultPlan:
    """The faults in force at one stand-in.

    Attributes:
        faults: The configured faults in their order.
        hits: How often each kind was applied.
    """

    __slots__ = ("faults", "hits", "_cleared")

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.hits = dict.fromkeys(KINDS, 0)
        self._cleared: anyio.Event | None = None

    def replace(self, specs: Any, seed: int = 0) -> None:
        """Puts a new list of faults in force and ends every freeze.

        Raises:
            FaultError: A description is not understood; nothing changes.
        """
        if not isinstance(specs, list):
            raise FaultError("`faults` must be a list")
        self.faults = [Fault(spec, seed + i) for i, spec in enumerate(specs)]
        if self._cleared is not None:
            self._cleared.set()
            self._cleared = None

    def draw(self, path: str) -> list[Fault]:
        """Returns the faults that apply to a request."""
        drawn = [fault for fault in self.faults if fault.draw(path)]
        for fault in drawn:
            self.hits[fault.kind] += 1
        return drawn

    async def wait_cleared(self, fault: Fault) -> None:
        """Waits until the faults are replaced.

        A request may reach the place of its freeze after the fault that it
        drew was cleared; it must not wait for the next replacement.
        """
        if fault not in self.faults:
            return
        if self._cleared is None:
            self._cleared = anyio.Event()
        await self._cleared.wait()


def find_fault(faults: list[Fault], kind: str) -> Fault | None:
    """Returns the first of these faults that has this kind."""
    return next((fault for fault in faults if fault.kind == kind), None)


def apply_body_faults(faults: list[Fault], body: bytes) -> tuple[bytes, bool]:
    """Applies the faults that change a body.

    Returns:
        The body to send, and whether the connection breaks after it.
    """
    broken = False
    for fault in faults:
        if fault.kind == "wrong_id":
            body = _replace_id(body)
        elif fault.kind == "garbage":
            body = fault.rng.randbytes(max(16, len(body)))
        elif fault.kind == "duplicate":
            body = body + body
        elif fault.kind == "truncate":
            body = body[: fault.fields["after"]]
            broken = not fault.fields["clean"]
    return body, broken


def _replace_id(body: bytes) -> bytes:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return body
    if isinstance(value, dict) and "request_id" in value:
        value["request_id"] = f"not-{value['request_id']}"
    return orjson.dumps(value)


async def apply_token_faults(
    faults: list[Fault],
    events: AsyncIterator[dict[str, Any]],
    wait_cleared: Callable[[Fault], Awaitable[None]],
) -> AsyncIterator[bytes]:
    """Applies the faults that change a stream, and encodes its events.

    Args:
        faults: The faults of this request.
        events: The tokens.
        wait_cleared: Waits until a fault is cleared.

    Yields:
        Server-sent events; `[DONE]` last unless a fault cuts the stream.

    Raises:
        AbortConnection: A fault breaks the connection here.
    """
    truncate = find_fault(faults, "truncate")
    positions = {fault.kind: fault.token_position() for fault in faults}
    garbage = find_fault(faults, "garbage")
    freeze = find_fault(faults, "freeze")
    delayed_chunk: bytes | None = None
    position = 0
    async for event in events:
        if truncate and position >= truncate.fields["after"]:
            break
        if freeze and freeze.fields["at"] == position:
            await wait_cleared(freeze)
        if positions.get("wrong_id") == position:
            event = event | {"request_id": f"not-{event['request_id']}"}
        chunk = encode_event(orjson.dumps(event))
        if garbage and positions["garbage"] == position:
            chunk = encode_event(garbage.rng.randbytes(24).hex().encode())
        if positions.get("reorder") == position:
            delayed_chunk = chunk
        else:
            yield chunk
            if delayed_chunk is not None:
                yield delayed_chunk
                delayed_chunk = None
        if positions.get("duplicate") == position:
            yield chunk
        position += 1
    if delayed_chunk is not None:
        yield delayed_chunk
    if truncate is None:
        yield encode_event(b"[DONE]")
    elif not truncate.fields["clean"]:
        raise AbortConnection


def encode_event(data: bytes) -> bytes:
    """Returns a server-sent event with this data."""
    return b"data: " + data + b"\n\n"
