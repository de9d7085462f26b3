"""The interface through which instances exchange messages."""

import abc
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskStatus

from applespring.core.errors import ApplespringError

OnDatagram = Callable[[bytes], Awaitable[None]]
OnRequest = Callable[[bytes], Awaitable[bytes | None]]


class PeerUnreachableError(ApplespringError):
    """A request of which nothing was sent, so the peer can't have run it."""


class PeerLostError(ApplespringError):
    """A request without a reply, which the peer may have received and run."""


class Transport(abc.ABC):
    """Sends datagrams and requests to other instances and receives theirs.

    An address is `IP:port`, or a name in the in-memory network of the tests.
    """

    @abc.abstractmethod
    async def run(
        self,
        on_datagram: OnDatagram,
        on_request: OnRequest,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Receives messages until cancelled.

        `on_request` returns the reply, or None to send none. `task_status`
        reports the start once messages can be sent and received.
        """

    @abc.abstractmethod
    async def send(self, address: str, data: bytes) -> None:
        """Sends a datagram; reports neither its loss nor an error."""

    @abc.abstractmethod
    async def request(
        self, address: str, data: bytes, timeout_s: float
    ) -> bytes:
        """Sends a request and returns the reply.

        Raises:
            PeerUnreachableError: Nothing was sent.
            PeerLostError: No reply came within `timeout_s`, or the connection
                was lost.
        """
