"""Entry point of applespring-entry, the entry instance."""

import os
import random
import signal
import socket
import sys
import time
from collections.abc import Sequence
from typing import Annotated, Literal

import anyio
from hypercorn.config import Config
from loguru import logger

from applespring.cli import Range, run_program
from applespring.clock import read_clock
from applespring.core.errors import SettingsError
from applespring.entry.compose import ExternalConnections, Instance
from applespring.entry.http_clients import open_clients
from applespring.entry.logs import set_up_logs
from applespring.entry.settings import Settings
from applespring.peer.link import SocketTransport
from applespring.quarantine.port_check import refuses_connections
from applespring.serving.limits import ConnectionLimits
from applespring.serving.listener import open_listener
from applespring.serving.server import Server

Port = Annotated[int, Range(0, 65535)]

RNG_SEED_BYTES = 16
BACKLOG = 1024
KEEP_ALIVE_S = 75.0
REQUESTS_PER_CONNECTION_MAX = 1_000_000_000
HEADERS_BYTES_MAX = 32 * 1024
HEAD_TIMEOUT_S = 10.0
SERVER_CLOSE_TIMEOUT_S = 2.0


def serve(
    *,
    name: str,
    failure_domain: str,
    platform: str,
    listen_host: str = "127.0.0.1",
    listen_port: Port = 8080,
    peer_host: str = "127.0.0.1",
    peer_port: Port = 8081,
    seeds: Sequence[str] = (),
    drain_grace_s: Annotated[float, Range(0, 600)] = 5.0,
    drain_limit_s: Annotated[float, Range(1, 3600)] = 60.0,
    connections_max: Annotated[int, Range(1, 100000)] = 1000,
    memory_mb: Annotated[int, Range(128, 1000000)] = 512,
    descriptors_max: Annotated[int, Range(256, 10000000)] = 4096,
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO",
    log_json: bool = False,
) -> int:
    """Serves callers until SIGTERM or SIGINT, then drains.

    Args:
        name: Name of this instance in the platform's list.
        failure_domain: Name of the failure domain it stands in.
        platform: IP:port of the platform.
        listen_host: IP address on which callers are served.
        listen_port: TCP port on which callers are served.
        peer_host: IP address of the link to other entry instances.
        peer_port: TCP and UDP port of that link.
        seeds: Entry instances to ask before the first instance list, each
            as name=IP:port@failure_domain.
        drain_grace_s: Seconds for which a draining instance still serves, so
            that the load balancer can notice.
        drain_limit_s: Most seconds of a whole drain.
        connections_max: Most connections to each upstream.
        memory_mb: Memory of the machine for the process, in MB. It bounds
            what is held for callers.
        descriptors_max: Most descriptors of the process. They bound the
            connections of callers and of other entry instances.
        log_level: Lowest level of log lines.
        log_json: Write log lines as JSON.

    Returns:
        0 after a drain that answered everything, 1 otherwise.
    """
    settings = Settings(
        name=name,
        failure_domain=failure_domain,
        platform=platform,
        listen_host=listen_host,
        listen_port=listen_port,
        peer_host=peer_host,
        peer_port=peer_port,
        seeds=seeds,
        drain_grace_s=drain_grace_s,
        drain_limit_s=drain_limit_s,
        connections_max=connections_max,
        memory_mb=memory_mb,
        descriptors_max=descriptors_max,
        log_level=log_level,
        log_json=log_json,
    )
    set_up_logs(log_level, as_json=log_json)
    return anyio.run(_run, settings)


async def _run(settings: Settings) -> int:
    """Runs the instance; returns its exit code."""
    sock = _bind(settings)
    limits = ConnectionLimits(settings.descriptors_max, settings.memory_bytes)
    async with open_clients(
        settings.connections_max, settings.platform
    ) as clients:
        external = ExternalConnections(
            pooled=clients.pooled,
            single=clients.single,
            control=clients.control,
            platform=clients.platform,
            transport=SocketTransport(
                settings.peer_host,
                settings.peer_port,
                accepted_max=limits.peers,
            ),
            refuses_connections=refuses_connections,
            clock=read_clock,
            wall_clock=time.time,
            rng=random.Random(os.urandom(RNG_SEED_BYTES)),
        )
        instance = Instance(settings, external)
        await _serve(instance, sock, limits)
    return 0 if instance.drain.abandoned == 0 else 1


def _bind(settings: Settings) -> socket.socket:
    """Returns the socket on which callers are served.

    Raises:
        SettingsError: The address cannot be bound.
    """
    host, port = settings.listen_host, settings.listen_port
    try:
        return open_listener(host, port, BACKLOG)
    except OSError as exc:
        raise SettingsError(
            "--listen-host and --listen-port: cannot bind "
            f"{(host, port)}: {exc}"
        ) from exc


async def _serve(
    instance: Instance, sock: socket.socket, limits: ConnectionLimits
) -> None:
    """Serves callers until a drain has ended."""
    port = sock.getsockname()[1]
    server = Server(
        instance.app,
        _make_server_config(instance.settings),
        lambda: HEAD_TIMEOUT_S,
        limits.callers,
        allows_http2=True,
    )
    instance.caller_figures.server = server
    drained = anyio.Event()
    async with anyio.create_task_group() as tasks:
        server_ended = anyio.Event()

        async def serve_callers() -> None:
            await server.run(sock, drained.wait)
            server_ended.set()

        def log_started() -> None:
            logger.info(
                "instance {} serves callers on port {}",
                instance.settings.name,
                port,
            )

        tasks.start_soon(instance.run, log_started)
        tasks.start_soon(serve_callers)
        tasks.start_soon(_watch_signals, instance)
        await instance.drain.run()
        # The server stops only now: a server that shuts down no longer listens
        # and resets new HTTP/2 streams without an answer. During the drain,
        # callers get a refusal with its reason and verdict instead.
        drained.set()
        with anyio.move_on_after(SERVER_CLOSE_TIMEOUT_S):
            await server_ended.wait()
        tasks.cancel_scope.cancel()


async def _watch_signals(instance: Instance) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            instance.drain.start()


def _make_server_config(settings: Settings) -> Config:
    cfg = Config()
    cfg.backlog = BACKLOG
    cfg.loglevel = "WARNING"
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    # At this number of requests the server closes an HTTP/2 connection with all
    # its streams, answered or not, so the limit must not be reached.
    cfg.keep_alive_max_requests = REQUESTS_PER_CONNECTION_MAX
    cfg.h11_max_incomplete_size = HEADERS_BYTES_MAX
    cfg.h2_max_header_list_size = HEADERS_BYTES_MAX
    cfg.graceful_timeout = settings.drain_limit_s
    return cfg


def main() -> int:
    """Runs `serve` with flags and environment; returns the exit code."""
    return run_program(
        "applespring-entry",
        serve,
        fault_meaning="requests were left unanswered",
    )


if __name__ == "__main__":
    sys.exit(main())
