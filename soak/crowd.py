"""Clients that keep to no limit, and never complete a request."""

import random
from collections.abc import Awaitable, Callable

import anyio

from soak import document
from soak.net import Address, Conn, ConnError, connect

Act = Callable[[Conn], Awaitable[None]]
ACTS: list[Act] = []
CONNECT_LIMIT_S = 2.0
CLIENTS_RANGE = (20, 250)
PART = bytes(65536)
# Above the limit of a body in the soak's configurations.
BODY_BYTES = 2_000_000


def act(func: Act) -> Act:
    """Registers what a client sends before it waits."""
    ACTS.append(func)
    return func


def _make_head(framing: str, path: str = "/safe/crowd") -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {document.HOST}",
        f"X-Api-Key: {document.KEY}",
        "Request-Id: crowd",
        framing,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def _send_chunks(conn: Conn, size: int) -> None:
    for _ in range(0, size, len(PART)):
        await conn.send(b"%x\r\n%b\r\n" % (len(PART), PART))


@act
async def stop_short(conn: Conn) -> None:
    """Sends a body within the limit but for its last bytes."""
    await conn.send(_make_head("Content-Length: 990000"))
    for _ in range(15):
        await conn.send(PART)


@act
async def send_too_much(conn: Conn) -> None:
    """Sends more than the limit in chunks."""
    await conn.send(_make_head("Transfer-Encoding: chunked"))
    await _send_chunks(conn, BODY_BYTES)


@act
async def send_tiny_chunks(conn: Conn) -> None:
    """Sends chunks of two bytes, and no last one."""
    await conn.send(_make_head("Transfer-Encoding: chunked"))
    await conn.send(b"2\r\nab\r\n" * 20_000)


@act
async def send_on_after_refusal(conn: Conn) -> None:
    """Goes on with a body on a route that does not exist."""
    await conn.send(_make_head("Transfer-Encoding: chunked", "/nowhere/"))
    await _send_chunks(conn, BODY_BYTES)


@act
async def stop_within_head(conn: Conn) -> None:
    """Sends no more than the begin of a head."""
    await conn.send(_make_head("Content-Length: 0")[:-2])


@act
async def stay_silent(conn: Conn) -> None:
    """Sends nothing."""
    del conn


async def run_crowd(
    address: Address, rng: random.Random, length_s: float
) -> None:
    """Lets clients do the same thing at one instance, and leave later."""
    count, send = rng.randint(*CLIENTS_RANGE), rng.choice(ACTS)

    async def run_client() -> None:
        try:
            conn = await connect(address, CONNECT_LIMIT_S)
        except ConnError:
            # The process is being restarted, or its connections are in use.
            return
        try:
            await send(conn)
            await anyio.sleep_forever()
        except ConnError:
            # The instance has closed the connection.
            return
        finally:
            if rng.random() < 0.5:
                conn.reset()
            else:
                conn.close()

    with anyio.move_on_after(length_s):
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(run_client)
