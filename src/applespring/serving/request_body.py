"""The body of a request, which is counted as memory while it arrives."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio

from applespring.core import reason
from applespring.core.caller_memory import (
    CallerMemory,
    Holding,
    MemoryFullError,
)
from applespring.core.errors import ApplespringError, RefusalError
from applespring.core.verdict import Verdict

Receive = Callable[[], Awaitable[dict[str, Any]]]
Headers = Sequence[tuple[bytes, bytes]]

# Memory of a request in progress: its tasks, the buffers of its connections.
REQUEST_COST_BYTES = 100_000
# Memory of the objects that one header takes while a request is forwarded.
HEADER_COST_BYTES = 500
# Short, since the retry opens a new connection, which the load balancer may
# give to another instance. What has stopped arriving yields to it here.
MEMORY_RETRY_AFTER_S = 0.5


class CallerGoneError(ApplespringError):
    """The caller closed its connection, or read nothing, before the end."""


class BodyLimits:
    """Bounds of the body of a request.

    Attributes:
        bytes_max: Most bytes.
        time_s: Time within which all of it has to arrive.
        idle_s: Longest time without a byte.
    """

    __slots__ = ("bytes_max", "time_s", "idle_s")

    def __init__(self, bytes_max: int, time_s: float, idle_s: float) -> None:
        self.bytes_max = bytes_max
        self.time_s = time_s
        self.idle_s = idle_s


class RequestBody:
    """Reads the body of one request.

    Attributes:
        holding: What the request holds in memory, until it is closed.
    """

    __slots__ = (
        "holding",
        "_receive",
        "_headers",
        "_limits",
        "_clock",
        "_scope",
    )

    def __init__(
        self,
        receive: Receive,
        headers: Headers,
        limits: BodyLimits,
        memory: CallerMemory,
        account: str,
        clock: Callable[[], float],
    ) -> None:
        """Reads nothing yet.

        Args:
            receive: Returns the next message of the server.
            headers: Headers of the request, names in lower case.
            limits: Bounds of the body.
            memory: What is held in memory for callers.
            account: Name of the client account, "" if it is not known.
            clock: Clock in seconds.
        """
        self._scope = anyio.CancelScope()
        self.holding: Holding = memory.open(
            account, clock(), self._scope.cancel
        )
        self._receive = receive
        self._headers = headers
        self._limits = limits
        self._clock = clock

    async def read(self, cost: int = 0) -> bytes:
        """Returns the complete body; its memory does not yield after that.

        Args:
            cost: Bytes that the request takes besides its head and its body.

        Raises:
            RefusalError: It is too long, takes too long, or its memory is
                needed for other requests.
            CallerGoneError: The caller disconnected before its end.
        """
        self._check_stated_length()
        cost += REQUEST_COST_BYTES + sum(
            len(name) + len(value) + HEADER_COST_BYTES
            for name, value in self._headers
        )
        limits = self._limits
        ends_at = anyio.current_time() + limits.time_s
        try:
            with self._scope:
                self.holding.grow(cost, self._clock())
                body = await self._read(ends_at)
                if not self.holding.has_yielded:
                    self.holding.complete()
                    return body
        except MemoryFullError as exc:
            raise _make_memory_refusal(str(exc)) from exc
        if self.holding.has_yielded:
            raise _make_memory_refusal("it was needed for other requests")
        if anyio.current_time() >= ends_at:
            detail = f"the body did not arrive within {limits.time_s:g} s"
        else:
            detail = f"no byte of the body came for {limits.idle_s:g} s"
        raise RefusalError(reason.BODY_TIMEOUT, Verdict.NOT_RUN, detail)

    async def _read(self, ends_at: float) -> bytes:
        """Returns the body.

        Raises:
            MemoryFullError: There is no memory for it.
            RefusalError: It is too long.
            CallerGoneError: The caller disconnected before its end.
        """
        parts, size = [], 0
        try:
            while True:
                self._scope.deadline = min(
                    ends_at, anyio.current_time() + self._limits.idle_s
                )
                message = await self._receive()
                if message["type"] != "http.request":
                    raise CallerGoneError
                data = message.get("body", b"")
                size += len(data)
                if size > self._limits.bytes_max:
                    raise self._make_length_refusal()
                if data:
                    self.holding.grow(len(data), self._clock())
                    parts.append(data)
                if not message.get("more_body", False):
                    return b"".join(parts)
        finally:
            # The traceback of an error refers to this list.
            parts.clear()

    def _check_stated_length(self) -> None:
        for name, value in self._headers:
            # The server has checked that it is a number.
            if (
                name == b"content-length"
                and int(value) > self._limits.bytes_max
            ):
                raise self._make_length_refusal()

    def _make_length_refusal(self) -> RefusalError:
        return RefusalError(
            reason.BODY_TOO_LARGE,
            Verdict.NOT_RUN,
            f"the body is longer than {self._limits.bytes_max} bytes",
        )


def _make_memory_refusal(detail: str) -> RefusalError:
    return RefusalError(
        reason.MEMORY_FULL,
        Verdict.NOT_RUN,
        f"no memory for the request: {detail}",
        retry_after_s=MEMORY_RETRY_AFTER_S,
    )
