"""Callers with persistent connections that record the answers they get."""

import math
import random
from collections.abc import Callable, Mapping, Sequence

import anyio
import h11

from soak import document
from soak.net import Address, Conn, ConnError, connect
from soak.record import (
    DISCONNECTED,
    NO_ANSWER,
    NO_EVENT,
    RESUMABLE,
    SAFE,
    STAGED,
    STREAM,
    STREAMING,
    UNSAFE,
    CallerRequest,
    Records,
)
from soak.upstream import DEADLY_PART

CONNECT_LIMIT_S = 1.0
EVENT_END = b"\n\n"
# Upper bound of the requests that a caller sends on one connection.
CONNECTION_REQUESTS_MAX = 20
# Shortest and longest time between two requests on a connection.
PAUSE_RANGE_S = (0.0, 0.15)
# Share of pauses in which a connection rests longer, and the share of the idle
# limit in force for which it may rest.
REST_SHARE = 0.15
IDLE_USE_SHARE = 0.8
# Share of these rests that last as long as the former limit, less an offset of
# at most this, if the limit is raised meanwhile.
FORMER_LIMIT_SHARE = 0.5
FORMER_LIMIT_OFFSET_S = 0.0015
# Share of requests whose caller disconnects before the answer ends.
DISCONNECT_SHARE = 0.06
# Share of safe requests for a route or key that only one version of the
# configuration has.
VERSIONED_SHARE = 0.3
# Time past its deadline that a caller waits, so that late answers are recorded.
LATE_WAIT_S = 2.0
# Share of requests that are the one that crashes its workers, while it is sent.
REPEATED_SHARE = 0.05
# Weights of the kinds of request.
KIND_WEIGHTS = {SAFE: 3, UNSAFE: 3, STREAM: 2, RESUMABLE: 2, STAGED: 2}
# Headers that a caller must not set; the relay has to remove them.
FORGED_HEADERS = [("Tenant", "another"), ("Hold", "1"), ("Pin-Ms", "4000")]


class Caller:
    """Sends requests one at a time to randomly chosen instances."""

    def __init__(
        self,
        name: str,
        rng: random.Random,
        records: Records,
        rotation: Callable[[], Sequence[tuple[str, Address]]],
        clock: Callable[[], float],
    ) -> None:
        """Initializes the caller without sending anything.

        Args:
            name: Prefix of its request ids.
            rng: Random generator of its choices.
            records: Records to which its requests are added.
            rotation: Returns name and address of the instances that receive
                new connections.
            clock: Monotonic clock in seconds.
        """
        self._name = name
        self._rng = rng
        self._records = records
        self._rotation = rotation
        self._clock = clock
        self._sent_count = 0

    async def run(self, stop: anyio.Event) -> None:
        """Sends requests until `stop` is set."""
        while not stop.is_set():
            instances = self._rotation()
            if not instances:
                await anyio.sleep(PAUSE_RANGE_S[1])
                continue
            name, address = self._rng.choice(instances)
            try:
                conn = await connect(address, CONNECT_LIMIT_S)
            except ConnError:
                # Tries another instance.
                await anyio.sleep(PAUSE_RANGE_S[1])
                continue
            try:
                await self._send_requests(name, conn, stop)
            finally:
                conn.close()

    async def _send_requests(
        self, instance: str, conn: Conn, stop: anyio.Event
    ) -> None:
        state = h11.Connection(h11.CLIENT)
        rest_s = 0.0
        for _ in range(self._rng.randint(1, CONNECTION_REQUESTS_MAX)):
            if stop.is_set():
                return
            request = self._make_request(instance)
            request.rested_s = rest_s
            self._records.requests[request.request_id] = request
            try:
                await self._exchange(request, conn, state)
            except ConnError as exc:
                request.failure = f"connection: {exc}"
            except h11.RemoteProtocolError as exc:
                request.failure = f"protocol: {exc}"
            request.ended_at = self._clock()
            if not request.complete or h11.MUST_CLOSE in (
                state.our_state,
                state.their_state,
            ):
                return
            state.start_next_cycle()
            rested_from = self._clock()
            if not await self._rest(request, conn, state):
                return
            rest_s = self._clock() - rested_from

    async def _rest(
        self, request: CallerRequest, conn: Conn, state: h11.Connection
    ) -> bool:
        """Lets a connection rest; returns whether it may be used again.

        The idle limit may change meanwhile. If it is raised, the caller may use
        the connection at the moment at which the former limit ends.

        Args:
            request: The last request on the connection.
            conn: The connection.
            state: Its protocol state.
        """
        rng = self._rng
        if rng.random() >= REST_SHARE:
            await anyio.sleep(rng.uniform(*PAUSE_RANGE_S))
            return True
        rested_from = self._clock()
        keep_alive_s = _read_keep_alive(request.headers)
        rest_s = rng.random() * min(self._idle_use_s(), keep_alive_s)
        if rng.random() < FORMER_LIMIT_SHARE:
            former_s = self._records.versions[-1].idle_timeout_s
            former_s -= rng.uniform(0.0, FORMER_LIMIT_OFFSET_S)
            rest_s = min(self._idle_use_s(), keep_alive_s)
            if not await _wait_open(rest_s, conn, state):
                return False
            if former_s <= min(self._idle_use_s(), keep_alive_s):
                rest_s = former_s
        rested_s = self._clock() - rested_from
        is_open = await _wait_open(rest_s - rested_s, conn, state)
        return is_open and rest_s <= self._idle_use_s()

    def _idle_use_s(self) -> float:
        """Returns how long a connection may rest under the limit in force."""
        return IDLE_USE_SHARE * self._records.versions[-1].idle_timeout_s

    def _make_request(self, instance: str) -> CallerRequest:
        rng = self._rng
        repeated = self._records.repeated
        if repeated is not None and rng.random() < REPEATED_SHARE:
            self._sent_count += 1
            return CallerRequest(
                f"{self._name}-{self._sent_count}",
                repeated.kind,
                instance=instance,
                path=repeated.path,
                key=document.KEY,
                body=repeated.body,
                events=repeated.events,
                deadline_s=document.TIMEOUTS_S[repeated.kind],
            )
        kind = rng.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
        self._sent_count += 1
        request_id = f"{self._name}-{self._sent_count}"
        path, key, version = f"/{kind}/{request_id}", document.KEY, 0
        if kind == SAFE and rng.random() < VERSIONED_SHARE:
            version = rng.choice(self._records.versions[-3:]).number
            if rng.random() < 0.5:
                path = document.versioned_path(version) + request_id
            else:
                key = document.versioned_key(version)
        return CallerRequest(
            request_id,
            kind,
            instance=instance,
            path=f"{path}?n={self._sent_count}",
            key=key,
            body=b"" if kind == SAFE else rng.randbytes(rng.randint(1, 3000)),
            events=rng.randint(3, 40) if kind in STREAMING else 0,
            piece_key=f"k-{request_id}" if kind == STAGED else "",
            version=version,
            deadline_s=document.TIMEOUTS_S[kind],
        )

    async def _exchange(
        self, request: CallerRequest, conn: Conn, state: h11.Connection
    ) -> None:
        """Sends a request and reads its answer.

        Raises:
            ConnError: The connection broke.
            h11.RemoteProtocolError: The answer is malformed or truncated.
        """
        await conn.send(self._encode(request, state))
        request.sent_at = self._clock()
        wait_s = request.deadline_s + LATE_WAIT_S
        disconnects = self._rng.random() < DISCONNECT_SHARE
        if disconnects:
            wait_s = self._rng.uniform(0.0, 0.5)
        with (
            anyio.move_on_after(wait_s) as scope,
            anyio.move_on_after(_patience_s(request)) as gap_scope,
        ):
            await self._read_answer(request, conn, state, gap_scope)
        if scope.cancelled_caught:
            request.disconnected = True
            request.failure = DISCONNECTED if disconnects else NO_ANSWER
        elif gap_scope.cancelled_caught:
            request.disconnected = True
            request.failure = NO_EVENT

    def _encode(self, request: CallerRequest, state: h11.Connection) -> bytes:
        method = "GET" if request.kind == SAFE else "POST"
        headers = [
            ("Host", document.HOST),
            ("Request-Id", request.request_id),
            ("Request-Deadline", str(int(request.deadline_s * 1000))),
            ("X-Api-Key", request.key),
        ]
        if self._rng.random() < 0.1:
            headers += FORGED_HEADERS
        if request.kind in STREAMING:
            headers.append(("Token-Count", f"100,{request.events}"))
            headers.append(("Prompt-Prefix", self._make_prompt(request)))
        if request.piece_key:
            counts = ",".join(map(str, document.SEGMENTS))
            headers += [
                ("Segments", counts),
                ("Segment-Key", request.piece_key),
            ]
        chunked = self._rng.random() < 0.3
        if request.body and chunked:
            headers.append(("Transfer-Encoding", "chunked"))
        elif request.body:
            headers.append(("Content-Length", str(len(request.body))))
        data = state.send(
            h11.Request(method=method, target=request.path, headers=headers)
        )
        if request.body:
            data += state.send(h11.Data(data=request.body))
        return data + state.send(h11.EndOfMessage())

    def _make_prompt(self, request: CallerRequest) -> str:
        """Returns a shared part, at times the deadly one, and an own part."""
        if request.path in self._records.deadly_targets:
            # A request that comes again has the same prompt.
            return "1:100,f0:40"
        parts = [f"{self._rng.randint(1, 5)}:100", "f0:40"]
        deadly_share = self._records.deadly_share
        if deadly_share and self._rng.random() < deadly_share:
            parts.insert(1, f"{DEADLY_PART}:60")
        return ",".join(parts)

    async def _read_answer(
        self,
        request: CallerRequest,
        conn: Conn,
        state: h11.Connection,
        gap_scope: anyio.CancelScope,
    ) -> None:
        """Reads the answer to its end into the record of its request.

        Args:
            request: The request.
            conn: Its connection.
            state: Protocol state of the connection.
            gap_scope: Ends the wait for the next event of a stream.
        """
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(await conn.receive())
            elif isinstance(event, h11.Response):
                request.status = event.status_code
                request.answered_at = self._clock()
                request.headers = {
                    name.decode("latin-1").lower(): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                request.answer += bytes(event.data)
                if EVENT_END in event.data:
                    gap_scope.deadline = self._clock() + _patience_s(request)
            elif isinstance(event, h11.EndOfMessage):
                request.complete = True
                return
            else:
                raise ConnError("closed without an answer")


def _patience_s(request: CallerRequest) -> float:
    """Returns how long its caller waits for the next event."""
    if request.kind not in STREAMING:
        return math.inf
    return document.patience_s(request.kind)


async def _wait_open(limit_s: float, conn: Conn, state: h11.Connection) -> bool:
    """Waits on a resting connection; returns whether it is still open."""
    with anyio.move_on_after(limit_s):
        try:
            data = await conn.receive()
        except ConnError:
            return False
        # Bytes that answer no request are taken for the next answer.
        state.receive_data(data)
        return bool(data)
    return True


def _read_keep_alive(headers: Mapping[str, str]) -> float:
    """Returns the limit in the `Keep-Alive` header, inf if it has none."""
    for parameter in headers.get("keep-alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return math.inf
