"""An in-memory network for peer messages, for tests in virtual time."""

import random
from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup, TaskStatus

from applespring.peer.transport import (
    OnDatagram,
    OnRequest,
    PeerLostError,
    PeerUnreachableError,
    Transport,
)

PENDING_DATAGRAMS_MAX = 64
SEND_TIMEOUT_S = 1.0


class PeerNetwork:
    """The network that connects `MemoryTransport`s.

    Attributes:
        rng: Random number generator for delays and losses.
        delay_max_s: Largest one-way delay; each message takes a random time
            up to it.
        loss: Probability that a datagram is lost.
        lose_replies: Whether all replies to requests are lost.
        transports: The running transports by address.
    """

    __slots__ = (
        "rng",
        "delay_max_s",
        "loss",
        "lose_replies",
        "transports",
        "_cuts",
    )

    def __init__(self, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.delay_max_s = 0.005
        self.loss = 0.0
        self.lose_replies = False
        self.transports: dict[str, MemoryTransport] = {}
        self._cuts: set[frozenset[str]] = set()

    def cut(self, one: Iterable[str], other: Iterable[str]) -> None:
        """Cuts the links between two sets of addresses until `heal`."""
        others = list(other)
        self._cuts |= {frozenset((a, b)) for a in one for b in others if a != b}

    def heal(self) -> None:
        """Restores all links."""
        self._cuts.clear()

    def can_reach(self, source: str, target: str) -> bool:
        """Returns whether a message from `source` can reach `target` now."""
        linked = frozenset((source, target)) not in self._cuts
        return target in self.transports and linked

    async def wait_transit(self) -> None:
        """Waits for the random one-way delay of a message."""
        await anyio.sleep(self.rng.uniform(0, self.delay_max_s))


class MemoryTransport(Transport):
    """An instance's transport on a `PeerNetwork`.

    A paused instance sends nothing. Messages to it are delivered when it
    resumes; datagrams beyond `PENDING_DATAGRAMS_MAX` are dropped.

    Attributes:
        network: The network.
        name: Address of this instance on the network.
        resumed: Set unless the instance is paused.
    """

    def __init__(self, network: PeerNetwork, name: str) -> None:
        self.network = network
        self.name = name
        self.resumed = anyio.Event()
        self.resumed.set()
        self._pending_datagrams = 0
        self._tasks: TaskGroup
        self._on_datagram: OnDatagram
        self._on_request: OnRequest

    async def run(
        self,
        on_datagram: OnDatagram,
        on_request: OnRequest,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """See `Transport.run`."""
        self._on_datagram, self._on_request = on_datagram, on_request
        async with anyio.create_task_group() as self._tasks:
            self.network.transports[self.name] = self
            task_status.started()
            try:
                await anyio.sleep_forever()
            finally:
                if self.network.transports.get(self.name) is self:
                    del self.network.transports[self.name]

    async def send(self, address: str, data: bytes) -> None:
        """See `Transport.send`."""
        if not self.resumed.is_set() or not self.network.can_reach(
            self.name, address
        ):
            return
        if self.network.rng.random() >= self.network.loss:
            target = self.network.transports[address]
            target._tasks.start_soon(target._deliver, data)

    async def request(
        self, address: str, data: bytes, timeout_s: float
    ) -> bytes:
        """See `Transport.request`."""
        try:
            with anyio.fail_after(min(SEND_TIMEOUT_S, timeout_s)):
                await self.resumed.wait()
                await self.network.wait_transit()
        except TimeoutError as exc:
            raise PeerUnreachableError(
                f"{self.name} could not send to {address}: it is paused"
            ) from exc
        if not self.network.can_reach(self.name, address):
            raise PeerUnreachableError(f"no connection to {address}")
        target = self.network.transports[address]
        reply: list[bytes] = []
        done = anyio.Event()
        target._tasks.start_soon(target._serve, data, reply, done)
        with anyio.move_on_after(timeout_s):
            await done.wait()
        if not reply or not self.network.can_reach(self.name, address):
            raise PeerLostError(
                f"no reply from {address} (time-out {timeout_s} s)"
            )
        return reply[0]

    async def _deliver(self, data: bytes) -> None:
        """Passes a datagram to the instance after the delay and any pause."""
        await self.network.wait_transit()
        if self._pending_datagrams < PENDING_DATAGRAMS_MAX:
            self._pending_datagrams += 1
            await self.resumed.wait()
            self._pending_datagrams -= 1
            await self._on_datagram(data)

    async def _serve(
        self, data: bytes, reply: list[bytes], done: anyio.Event
    ) -> None:
        """Handles a request; `reply` stays empty if the instance is killed."""
        try:
            await self.resumed.wait()
            result = await self._on_request(data)
            await self.network.wait_transit()
            if result is not None and not self.network.lose_replies:
                reply.append(result)
        finally:
            done.set()
