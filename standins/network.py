"""An HTTP network in one process, for tests and benchmarks in virtual time.

ASGI applications are attached to addresses. Clients reach them through an httpx
transport that streams responses and reports the trace events of a real
connection, so that the code under test runs unchanged. Links can be cut, and
hosts killed or paused, at any moment.
"""

import enum
import math
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import httpx
from anyio.abc import ObjectReceiveStream, ObjectSendStream, TaskGroup

from standins.faults import AbortConnection

AsgiApp = Callable[..., Awaitable[None]]

CHUNKS_BUFFERED = 1000
CONNECT_STARTED = "connection.connect_tcp.started"
WRITE_STARTED = "http11.send_request_headers.started"


class Step(enum.Enum):
    """A step of an HTTP exchange, at which a test can inject a fault.

    Steps are reported in this order: `ARRIVED` before the application starts,
    `ANSWERING` when the client receives the head of the response, `CHUNK` for
    each chunk of the body, and `ANSWERED` after the last chunk.
    """

    CONNECTING = "connecting"
    WRITTEN = "written"
    ARRIVED = "arrived"
    ANSWERING = "answering"
    CHUNK = "chunk"
    ANSWERED = "answered"


class StepEvent:
    """A step that an exchange has reached.

    Attributes:
        step: The step.
        address: Address of the host that serves the request.
        path: Path of the request.
        source: Address of the host that sent the request, or "" for a client
            without one.
    """

    __slots__ = ("step", "address", "path", "source")

    def __init__(
        self, step: Step, address: str, path: str, source: str
    ) -> None:
        self.step = step
        self.address = address
        self.path = path
        self.source = source


class Host:
    """An application at an address of the network.

    Attributes:
        app: The ASGI application.
        failure_domain: Failure domain that it runs in.
        alive: False once it was killed; connections to it are refused then.
        resumed: Set unless the host is paused.
        exchanges: The exchanges in progress.
        on_written: Called when the first byte of a request to this host is
            written, for tests that inject a fault at that step, or None.
    """

    __slots__ = (
        "app",
        "failure_domain",
        "alive",
        "resumed",
        "exchanges",
        "on_written",
    )

    def __init__(self, app: AsgiApp, failure_domain: str) -> None:
        self.app = app
        self.failure_domain = failure_domain
        self.alive = True
        self.resumed = anyio.Event()
        self.resumed.set()
        self.exchanges: set[_Exchange] = set()
        self.on_written: Callable[[], None] | None = None


class Network:
    """Hosts, the links between failure domains, and injected faults.

    Attributes:
        hosts: Hosts by address.
        one_way_s: One-way latency of each link in seconds.
        observer: Called at each step of each exchange, for tests that inject
            a fault at a step, or None.
    """

    __slots__ = (
        "hosts",
        "one_way_s",
        "observer",
        "_tasks",
        "_cuts",
        "_healed",
        "_rng",
    )

    def __init__(
        self, tasks: TaskGroup, *, one_way_s: float = 0.001, seed: int = 0
    ) -> None:
        """Creates a network whose applications run in a task group."""
        self.hosts: dict[str, Host] = {}
        self.one_way_s = one_way_s
        self.observer: Callable[[StepEvent], None] | None = None
        self._tasks = tasks
        self._cuts: set[frozenset[str]] = set()
        self._healed = anyio.Event()
        self._rng = random.Random(seed)

    def attach(self, address: str, app: AsgiApp, failure_domain: str) -> Host:
        """Serves an application at an address and kills an earlier one."""
        if address in self.hosts:
            self.kill(address)
        host = Host(app, failure_domain)
        self.hosts[address] = host
        return host

    def kill(self, address: str) -> None:
        """Resets all connections to a host and refuses new ones."""
        host = self.hosts[address]
        host.alive = False
        for exchange in list(host.exchanges):
            exchange.abort()

    async def refuses_connections(self, address: str) -> bool:
        """Returns whether no host runs at an address."""
        host = self.hosts.get(address)
        return host is None or not host.alive

    def pause(self, address: str) -> None:
        """Stops a host's reading and writing; its connections stay open."""
        host = self.hosts[address]
        if host.resumed.is_set():
            host.resumed = anyio.Event()

    def resume(self, address: str) -> None:
        """Ends the pause of a host."""
        self.hosts[address].resumed.set()

    def cut(self, first: str, second: str) -> None:
        """Cuts the link of two failure domains until `heal`."""
        self._cuts.add(frozenset((first, second)))

    def heal(self) -> None:
        """Restores all links; traffic that waited on them continues."""
        self._cuts.clear()
        self._healed.set()
        self._healed = anyio.Event()

    def is_cut(self, first: str, second: str) -> bool:
        """Returns whether the link of two failure domains is cut."""
        return frozenset((first, second)) in self._cuts

    def transport(
        self, failure_domain: str, source: str = ""
    ) -> "NetworkTransport":
        """Returns the transport of a client in a failure domain.

        Args:
            failure_domain: Failure domain of the client.
            source: Address of the host that the client belongs to, or "". A
                pause of that host pauses the client too.
        """
        return NetworkTransport(self, failure_domain, source)

    def client(
        self, failure_domain: str, source: str = ""
    ) -> httpx.AsyncClient:
        """Returns a client in a failure domain; see `transport`."""
        return httpx.AsyncClient(
            transport=self.transport(failure_domain, source), timeout=None
        )

    async def wait_resumed(self, address: str) -> None:
        """Waits while the host at an address, if there is one, is paused."""
        host = self.hosts.get(address)
        if host is not None:
            await host.resumed.wait()

    async def wait_transit(self, first: str, second: str) -> None:
        """Waits while the link is cut, and then for the one-way latency."""
        while self.is_cut(first, second):
            await self._healed.wait()
        if self.one_way_s:
            await anyio.sleep(self.one_way_s)

    def observe(self, step: Step, request: httpx.Request, source: str) -> None:
        """Reports a step of an exchange to the observer, if there is one."""
        if self.observer is not None:
            url = request.url
            address = f"{url.host}:{url.port}"
            self.observer(StepEvent(step, address, url.path, source))

    def start(self, exchange: "_Exchange") -> None:
        """Starts the application on an exchange."""
        exchange.host.exchanges.add(exchange)
        self._tasks.start_soon(exchange.run)


class _Exchange:
    """A request to an application and the messages of its response."""

    __slots__ = (
        "host",
        "_asgi_scope",
        "_body",
        "_body_read",
        "_disconnected",
        "_cancel_scope",
        "messages",
        "_sender",
    )

    def __init__(self, host: Host, scope: dict[str, Any], body: bytes) -> None:
        self.host = host
        self._asgi_scope = scope
        self._body = body
        self._body_read = False
        self._disconnected = anyio.Event()
        self._cancel_scope = anyio.CancelScope()
        self._sender: ObjectSendStream
        self.messages: ObjectReceiveStream
        self._sender, self.messages = anyio.create_memory_object_stream(
            CHUNKS_BUFFERED
        )

    async def run(self) -> None:
        try:
            with self._cancel_scope:
                await self.host.resumed.wait()
                await self.host.app(self._asgi_scope, self._receive, self._send)
        except AbortConnection:
            pass
        finally:
            self.host.exchanges.discard(self)
            self._sender.close()

    def abort(self) -> None:
        """Resets the connection, as the end of the host's process does."""
        self._cancel_scope.cancel()
        self._disconnected.set()

    def disconnect(self) -> None:
        """Closes the connection from the client's side.

        The application receives `http.disconnect`.
        """
        self._disconnected.set()
        self.messages.close()

    async def _receive(self) -> dict[str, Any]:
        if not self._body_read:
            self._body_read = True
            return {
                "type": "http.request",
                "body": self._body,
                "more_body": False,
            }
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: dict[str, Any]) -> None:
        await self.host.resumed.wait()
        try:
            await self._sender.send(message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._disconnected.set()


class NetworkTransport(httpx.AsyncBaseTransport):
    """The httpx transport of a client in one failure domain."""

    def __init__(
        self, network: Network, failure_domain: str, source: str
    ) -> None:
        self._network = network
        self._failure_domain = failure_domain
        self._source = source

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends a request and returns once the response's head is there."""
        address = f"{request.url.host}:{request.url.port}"
        host = await self._connect(request, address)
        await self._network.wait_resumed(self._source)
        await _trace(request, WRITE_STARTED)
        if host.on_written is not None:
            host.on_written()
        self._network.observe(Step.WRITTEN, request, self._source)
        body = await request.aread()
        exchange = _Exchange(host, _make_scope(request, self._source), body)
        try:
            await self._network.wait_transit(
                self._failure_domain, host.failure_domain
            )
            self._network.observe(Step.ARRIVED, request, self._source)
            if not host.alive:
                raise httpx.ReadError(
                    f"connection to {request.url} was reset", request=request
                )
            self._network.start(exchange)
            return await self._read_start(request, host, exchange)
        except BaseException:
            exchange.disconnect()
            raise

    async def _connect(self, request: httpx.Request, address: str) -> Host:
        await _trace(request, CONNECT_STARTED)
        self._network.observe(Step.CONNECTING, request, self._source)
        host = self._network.hosts.get(address)
        if host is None:
            raise httpx.ConnectError(
                f"connection to {address} was refused", request=request
            )
        timeout_s = _connect_timeout_s(request)
        with anyio.move_on_after(timeout_s):
            await self._network.wait_transit(
                self._failure_domain, host.failure_domain
            )
            if not host.alive:
                raise httpx.ConnectError(
                    f"connection to {address} was refused", request=request
                )
            return host
        raise httpx.ConnectTimeout(
            f"no connection to {address} within {timeout_s} s", request=request
        )

    async def _read_start(
        self, request: httpx.Request, host: Host, exchange: _Exchange
    ) -> httpx.Response:
        try:
            message = await exchange.messages.receive()
        except anyio.EndOfStream as exc:
            raise httpx.ReadError(
                f"connection to {request.url} was reset", request=request
            ) from exc
        await self._network.wait_transit(
            host.failure_domain, self._failure_domain
        )
        await self._network.wait_resumed(self._source)
        self._network.observe(Step.ANSWERING, request, self._source)
        return httpx.Response(
            message["status"],
            headers=message["headers"],
            stream=_BodyStream(
                self._network,
                exchange,
                self._failure_domain,
                self._source,
                request,
            ),
            request=request,
        )


class _BodyStream(httpx.AsyncByteStream):
    """The body of a response, in the chunks that the application sends."""

    def __init__(
        self,
        network: Network,
        exchange: _Exchange,
        failure_domain: str,
        source: str,
        request: httpx.Request,
    ) -> None:
        self._network = network
        self._exchange = exchange
        self._failure_domain = failure_domain
        self._source = source
        self._request = request

    async def __aiter__(self) -> AsyncIterator[bytes]:
        host = self._exchange.host
        while True:
            try:
                message = await self._exchange.messages.receive()
            except anyio.EndOfStream as exc:
                raise httpx.ReadError(
                    f"connection to {self._request.url} was reset",
                    request=self._request,
                ) from exc
            if self._network.is_cut(host.failure_domain, self._failure_domain):
                await self._network.wait_transit(
                    host.failure_domain, self._failure_domain
                )
            await self._network.wait_resumed(self._source)
            if message.get("body"):
                self._observe(Step.CHUNK)
                yield message["body"]
            if not message.get("more_body", False):
                self._observe(Step.ANSWERED)
                return

    async def aclose(self) -> None:
        self._exchange.disconnect()

    def _observe(self, step: Step) -> None:
        self._network.observe(step, self._request, self._source)


async def _trace(request: httpx.Request, event: str) -> None:
    """Reports a trace event as httpcore does for a real connection."""
    trace = request.extensions.get("trace")
    if trace is not None:
        await trace(event, {})


def _connect_timeout_s(request: httpx.Request) -> float:
    timeouts = request.extensions.get("timeout", {})
    timeout_s = timeouts.get("connect")
    return math.inf if timeout_s is None else timeout_s


def _make_scope(request: httpx.Request, source: str) -> dict[str, Any]:
    host, _, port = source.rpartition(":")
    return {
        "type": "http",
        "client": (host, int(port)) if source else None,
        "method": request.method,
        "path": request.url.path,
        "query_string": request.url.query,
        "headers": [
            (name.lower(), value) for name, value in request.headers.raw
        ],
    }
