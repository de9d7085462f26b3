"""Fault injection of the stand-ins."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import orjson

BEFORE_READ = "before_read"
AFTER_READ = "after_read"
AFTER_RUN = "after_run"

# The fields of each kind of fault and their default values.
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
# Number of leading tokens among which a fault without `at` chooses one.
_RANDOM_POSITIONS = 8


class FaultError(ValueError):
    """A fault specification is invalid."""


class AbortConnection(Exception):  # noqa: N818
    """Makes the server reset the connection in place of a complete answer."""


class Fault:
    """A configured fault.

    Attributes:
        kind: A key of `KINDS`.
        path: Prefix of the paths that it applies to; "" for all paths except
            those below /admin/.
        count: Remaining requests that it applies to, or None for no limit.
        probability: Probability that it applies to a request, 0 to 1.
        fields: The fields of its kind.
        rng: Random number generator that no other fault uses.
    """

    __slots__ = ("kind", "path", "count", "probability", "fields", "rng")

    def __init__(self, spec: Any, default_seed: int) -> None:
        if not isinstance(spec, dict):
            raise FaultError(f"fault {spec!r} is not an object")
        options = dict(spec)
        self.kind = options.pop("kind", None)
        if self.kind not in KINDS:
            raise FaultError(
                f"unknown kind of fault {self.kind!r}; known: {[*KINDS]}"
            )
        self.path = str(options.pop("path", ""))
        self.count = options.pop("count", None)
        self.probability = options.pop("probability", 1.0)
        self.rng = random.Random(options.pop("seed", default_seed))
        unknown = set(options) - set(KINDS[self.kind])
        if unknown:
            raise FaultError(f"{self.kind}: unknown fields {sorted(unknown)}")
        self.fields = KINDS[self.kind] | options
        self._check()

    def _check(self) -> None:
        if self.count is not None and not _is_count(self.count):
            raise FaultError(
                f"{self.kind}: count {self.count!r} is not an integer >= 0"
            )
        if not _is_number(self.probability) or not 0 <= self.probability <= 1:
            raise FaultError(
                f"{self.kind}: probability {self.probability!r} is not a "
                "number from 0 to 1"
            )
        when_values = _WHEN_VALUES.get(self.kind)
        if when_values and self.fields["when"] not in when_values:
            raise FaultError(
                f"{self.kind}: when {self.fields['when']!r} is not one of "
                f"{when_values}"
            )
        for name in ("after", "at", "status"):
            value = self.fields.get(name)
            if value is not None and not _is_count(value):
                raise FaultError(
                    f"{self.kind}: {name} {value!r} is not an integer >= 0"
                )
        seconds = self.fields.get("seconds", 0)
        if not _is_number(seconds) or seconds < 0:
            raise FaultError(
                f"{self.kind}: seconds {seconds!r} is not a number >= 0"
            )

    def draw(self, path: str) -> bool:
        """Decides whether the fault applies to a request, and counts down."""
        if not path.startswith(self.path) or self.count == 0:
            return False
        if self.rng.random() >= self.probability:
            return False
        if self.count is not None:
            self.count -= 1
        return True

    def token_position(self) -> int:
        """Returns the token index at which the fault applies."""
        at = self.fields.get("at")
        return self.rng.randrange(_RANDOM_POSITIONS) if at is None else at


def _is_count(value: Any) -> bool:
    return type(value) is int and value >= 0


def _is_number(value: Any) -> bool:
    return type(value) in (int, float)


class FaultPlan:
    """The faults that a stand-in injects.

    Attributes:
        faults: The configured faults, in the order in which they are drawn.
        hits: Number of requests to which each kind was applied.
    """

    __slots__ = ("faults", "hits", "_cleared")

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.hits = dict.fromkeys(KINDS, 0)
        self._cleared: anyio.Event | None = None

    def replace(self, specs: Any, seed: int = 0) -> None:
        """Replaces all faults and resumes all frozen requests.

        Raises:
            FaultError: A specification is invalid; nothing changes.
        """
        if not isinstance(specs, list):
            raise FaultError(
                f"`faults` must be a list, got {type(specs).__name__}"
            )
        self.faults = [Fault(spec, seed + i) for i, spec in enumerate(specs)]
        if self._cleared is not None:
            self._cleared.set()
            self._cleared = None

    def draw(self, path: str) -> list[Fault]:
        """Chooses the faults that apply to a request, and counts them."""
        drawn = [fault for fault in self.faults if fault.draw(path)]
        for fault in drawn:
            self.hits[fault.kind] += 1
        return drawn

    async def wait_cleared(self, fault: Fault) -> None:
        """Waits until the faults are replaced.

        A request may reach the token of its freeze after the fault was cleared
        already. It returns at once then, since it would otherwise wait for
        the next replacement.
        """
        if fault not in self.faults:
            return
        if self._cleared is None:
            self._cleared = anyio.Event()
        await self._cleared.wait()


def find_fault(faults: list[Fault], kind: str) -> Fault | None:
    """Returns the first fault of a kind, or None."""
    return next((fault for fault in faults if fault.kind == kind), None)


def apply_body_faults(faults: list[Fault], body: bytes) -> tuple[bytes, bool]:
    """Applies the faults that change the body of an answer.

    Returns:
        The body to send, and whether the connection is reset after it.
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
    """Applies the faults that change a token stream, and encodes its events.

    Args:
        faults: The faults that apply to the request.
        events: The events of the tokens.
        wait_cleared: Waits until a fault is cleared.

    Yields:
        Server-sent events; the last is `[DONE]` unless the stream is truncated.

    Raises:
        AbortConnection: The stream is truncated and the connection reset.
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
    """Returns a server-sent event that carries some data."""
    return b"data: " + data + b"\n\n"
