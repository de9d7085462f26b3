"""Serves a stand-in with hypercorn on the loopback interface."""

import asyncio
import contextlib
import signal
import socket
import struct
from collections.abc import Callable
from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config

from applespring import cli
from standins.faults import AbortConnection
from standins.web import App

HOST = "127.0.0.1"
BACKLOG = 1024
SHUTDOWN_GRACE_S = 3.0


def run_program(name: str, serve: Callable[..., None]) -> int:
    """Runs the program of a stand-in and returns its exit code.

    Its parameters are set by flags only, not by environment variables.
    """
    return cli.run_program(
        name, serve, variables=False, fault_meaning="the stand-in failed"
    )


def run(app: App, port: int) -> None:
    """Serves until SIGTERM or SIGINT.

    Args:
        app: The application.
        port: TCP port; 0 selects a free one. `ready PORT` is printed once the
            socket listens.
    """
    anyio.run(_serve, app, port)


async def _serve(app: App, port: int) -> None:
    sock = socket.create_server((HOST, port), backlog=BACKLOG)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def start_shutdown() -> None:
        app.shutdown()
        stop.set()
        loop.call_later(SHUTDOWN_GRACE_S, app.cancel_requests)

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, start_shutdown)
    print(f"ready {sock.getsockname()[1]}", flush=True)
    await hypercorn.asyncio.serve(
        _ConnectionResetter(app), _make_config(sock), shutdown_trigger=stop.wait
    )


def _make_config(sock: socket.socket) -> hypercorn.config.Config:
    cfg = hypercorn.config.Config()
    cfg.bind = [f"fd://{sock.detach()}"]
    cfg.backlog = BACKLOG
    cfg.loglevel = "WARNING"
    # Longer than the grace period after which the application cancels its
    # requests: hypercorn logs a traceback for each connection that it cancels.
    cfg.graceful_timeout = SHUTDOWN_GRACE_S + 2
    # Callers reuse pooled connections. Closing an idle connection could race
    # with the next request on it.
    cfg.keep_alive_timeout = 600.0
    cfg.keep_alive_max_requests = 1_000_000_000
    return cfg


class _ConnectionResetter:
    """Resets the TCP connection when the application asks to abort it."""

    def __init__(self, app: App) -> None:
        self._app = app

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        try:
            await self._app(scope, receive, send)
        except AbortConnection:
            _reset_connection(send)


def _reset_connection(send: Any) -> None:
    # ASGI has no message for a reset, and hypercorn answers 500 when an
    # application returns without a response. So this reaches for internals of
    # hypercorn 0.18: `send` is a method of a stream, whose own `send` belongs
    # to a protocol, and that one's to the TCP server that has the transport.
    server = send.__self__.send.__self__.send.__self__
    sock = server.writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    server.writer.transport.abort()
