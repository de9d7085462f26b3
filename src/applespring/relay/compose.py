"""Composition root of a relay instance, and its life from start to end."""

import os
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable

import anyio
import httpx
import hypercorn.asyncio
from hypercorn.config import Config
from loguru import logger

from applespring.clock import read_clock
from applespring.core.errors import SettingsError
from applespring.peer.link import SocketTransport, split_address
from applespring.relay.client import (
    USER_TIMEOUT_MS,
    HttpTransport,
    make_http_pool,
)
from applespring.relay.front import make_text_app
from applespring.relay.log import LogWriter
from applespring.relay.parts import RelayParts
from applespring.relay.protocol import Protocol
from applespring.relay.registry import Registry
from applespring.relay.settings import RelaySettings

BACKLOG = 512
REQUESTS_PER_CONNECTION_MAX = 1_000_000_000
# The document's limit on heads is checked by the application.
HEAD_BYTES_MAX = 64 * 1024
# After SIGTERM new callers come until the balancer has asked twice.
BALANCER_LAG_S = 2.5
# The process ends this long before it would be killed.
END_MARGIN_S = 0.7
# Time for connections to close after the last request.
CLOSE_S = 0.3
POLL_S = 0.05
SETTINGS_S = 1.0
# Idle connections to the registry are kept this long.
STORE_IDLE_S = 5.0


class RelayInstance:
    """The parts of one instance, wired."""

    def __init__(
        self,
        settings: RelaySettings,
        protocol: Protocol,
        make_registry: Callable[[httpx.AsyncBaseTransport, str], Registry],
        reload_settings: Callable[[], RelaySettings],
        log: LogWriter,
    ) -> None:
        tls = httpx.create_ssl_context(trust_env=False)
        host, port = split_address(settings.peer_listen)
        self._log = log
        self._reload = reload_settings
        store = HttpTransport(
            verify=tls,
            limits=httpx.Limits(keepalive_expiry=STORE_IDLE_S),
            socket_options=[
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            ],
        )
        self._parts = RelayParts(
            settings,
            protocol,
            make_registry(store, settings.registry_address),
            SocketTransport(host, port, close_unresponsive=True),
            read_clock,
            time.time_ns() // 1_000_000,
            make_http_pool(tls),
        )
        self.state = self._parts.state
        self.peers = self._parts.peers
        self.keeper = self._parts.keeper

    async def run(self) -> None:
        """Serves until SIGTERM, then drains."""
        cfg = self.state.settings
        logger.bind(
            event="start",
            instance=cfg.name,
            failure_domain=cfg.failure_domain,
            incarnation=self.peers.incarnation,
        ).info("instance starts")
        stop_serving = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._log.run)
            await tasks.start(self._parts.run)
            tasks.start_soon(self._watch_settings)
            ended = anyio.Event()
            server = make_server_config(cfg.caller_address)

            async def serve_callers() -> None:
                await hypercorn.asyncio.serve(
                    self._parts.front,
                    server,
                    shutdown_trigger=stop_serving.wait,
                )
                ended.set()

            tasks.start_soon(serve_callers)
            tasks.start_soon(self._serve_text, cfg.ready_address, self._ready)
            tasks.start_soon(
                self._serve_text, cfg.metrics_address, self._metrics_text
            )
            tasks.start_soon(self._follow_limits, server)
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGHUP
            ) as signals:
                await _wait_for_end(signals)
                # Open until the process ends: without a receiver a further
                # signal would end it at once.
                await self._drain(stop_serving, ended)
            logger.bind(event="stop", instance=cfg.name).info("instance stops")
            self._log.flush()
            # The server waits for connections that callers keep open; no
            # request is left on them.
            os._exit(0)

    async def _serve_text(
        self, address: str, read: Callable[[], tuple[int, str]]
    ) -> None:
        await hypercorn.asyncio.serve(
            make_text_app(read),
            make_server_config(address),
            shutdown_trigger=anyio.sleep_forever,
        )

    def _ready(self) -> tuple[int, str]:
        return (200, "ready\n") if self.state.ready else (503, "not ready\n")

    def _metrics_text(self) -> tuple[int, str]:
        now = self.state.clock()
        gauges = {
            ("document_version",): float(self.state.document_version),
            ("registry_age_s",): now - self.state.registry_read_at,
            ("requests",): float(self.state.requests),
            ("peers_reachable",): float(len(self.peers.table.reachable(now))),
            ("log_lines_dropped",): float(self._log.dropped_total),
        }
        for pool, length in self.keeper.queue_lengths().items():
            gauges[(f"queue_{pool}",)] = float(length)
        self._parts.metrics.gauges.replace(gauges)
        return 200, self._parts.metrics.render()

    async def _follow_limits(self, server: Config) -> None:
        """Applies the document's idle limit to connections of callers."""
        while True:
            doc = self.state.document
            if doc is not None:
                server.keep_alive_timeout = doc.limits.idle_s
            await anyio.sleep(POLL_S * 4)

    async def _watch_settings(self) -> None:
        """Takes over settings that may change while the instance runs."""
        known = None
        while True:
            try:
                cfg = self._reload()
                seen = [getattr(cfg, name) for name in RelaySettings.__slots__]
                if known is not None and seen != known:
                    logger.bind(event="reload").info("settings have changed")
                known = seen
                self.peers.seeds = cfg.seeds
            except SettingsError as exc:
                logger.bind(event="settings_rejected").error("{}", exc)
            await anyio.sleep(SETTINGS_S)

    async def _drain(
        self, stop_serving: anyio.Event, ended: anyio.Event
    ) -> None:
        """Ends every request, then the servers, within the limit."""
        began = self.state.clock()
        self.state.leaving = True
        self.peers.leaving = True
        await self.peers.announce()
        await self.keeper.hand_back()
        limit_s = self.state.settings.drain_limit_s - END_MARGIN_S
        while True:
            took = self.state.clock() - began
            self.state.closed = took >= BALANCER_LAG_S
            idle = not self.state.requests and not self.keeper.busy
            if took >= limit_s or (took >= BALANCER_LAG_S and idle):
                break
            await anyio.sleep(POLL_S)
        logger.bind(
            event="drained",
            took_s=round(self.state.clock() - began, 3),
            left=self.state.requests,
        ).info("requests have ended")
        stop_serving.set()
        with anyio.move_on_after(CLOSE_S):
            await ended.wait()


async def _wait_for_end(signals: AsyncIterator[signal.Signals]) -> None:
    """Waits until the instance is asked to end.

    SIGHUP needs no action, since settings are read anew all the time.
    """
    async for signum in signals:
        logger.bind(event="signal", signal=int(signum)).info("signal")
        if signum != signal.SIGHUP:
            return


def make_server_config(address: str) -> Config:
    """Returns the configuration of a server at an address."""
    host, port = split_address(address)
    sock = socket.create_server((host, port), backlog=BACKLOG)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    cfg = Config()
    cfg.bind = [f"fd://{sock.detach()}"]
    cfg.backlog = BACKLOG
    cfg.loglevel = "CRITICAL"
    cfg.errorlog = None
    cfg.include_server_header = False
    cfg.include_date_header = False
    cfg.keep_alive_max_requests = REQUESTS_PER_CONNECTION_MAX
    cfg.h11_max_incomplete_size = HEAD_BYTES_MAX
    # Longer than the process lives on: it ends by itself when it is idle.
    cfg.graceful_timeout = 10.0
    return cfg


def run_instance(
    settings: RelaySettings,
    protocol: Protocol,
    make_registry: Callable[[httpx.AsyncBaseTransport, str], Registry],
    reload_settings: Callable[[], RelaySettings],
    log_level: str,
) -> int:
    """Runs an instance to its end; returns its exit code."""
    log = LogWriter()
    log.install(log_level)
    instance = RelayInstance(
        settings, protocol, make_registry, reload_settings, log
    )
    anyio.run(instance.run, backend_options={"use_uvloop": True})
    return 0
