"""Composition root of a relay instance, from its start to its shutdown."""

import os
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable

import anyio
import httpx
from hypercorn.config import Config
from loguru import logger

from applespring.clock import read_clock
from applespring.core.errors import SettingsError
from applespring.core.route import CallerLimits
from applespring.peer.link import SocketTransport, split_address
from applespring.quarantine.port_check import refuses_connections
from applespring.relay.application import make_text_app
from applespring.relay.client import (
    TCP_USER_TIMEOUT_MS,
    make_transport_factory,
)
from applespring.relay.components import RelayComponents
from applespring.relay.drain import RelayDrain
from applespring.relay.http_transport import HttpTransport
from applespring.relay.log import LogWriter
from applespring.relay.loop_monitor import LoopMonitor
from applespring.relay.protocol import Protocol
from applespring.relay.registry import Registry
from applespring.relay.settings import RelaySettings
from applespring.relay.state import RelayState
from applespring.serving.figures import CallerFigures
from applespring.serving.limits import ConnectionLimits
from applespring.serving.listener import open_listener
from applespring.serving.server import Server

BACKLOG = 512
REQUESTS_PER_CONNECTION_MAX = 1_000_000_000
# Upper bound; the application checks the limit of the document.
HEAD_BYTES_MAX = 64 * 1024
SETTINGS_RELOAD_INTERVAL_S = 1.0
# Added to the document's limit for a head, which counts from when it was sent.
HEAD_MARGIN_S = 2.0


class RelayInstance:
    """One relay instance: its components, servers and signal handling."""

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
        self._limits = ConnectionLimits(
            settings.descriptors_max, settings.memory_bytes
        )
        self._reload_settings = reload_settings
        registry_transport = HttpTransport(
            verify=tls,
            # A connection that rested may be dead, which only a time-out shows.
            limits=httpx.Limits(max_keepalive_connections=0),
            socket_options=[
                (
                    socket.IPPROTO_TCP,
                    socket.TCP_USER_TIMEOUT,
                    TCP_USER_TIMEOUT_MS,
                )
            ],
        )
        self._components = RelayComponents(
            settings,
            protocol,
            make_registry(registry_transport, settings.registry_address),
            SocketTransport(
                host,
                port,
                close_unresponsive=True,
                accepted_max=self._limits.peers,
            ),
            read_clock,
            time.time_ns() // 1_000_000,
            make_transport_factory(tls),
            refuses_connections,
        )
        self._caller_figures = CallerFigures(self._components.state.memory)
        self._loop_monitor = LoopMonitor(read_clock)
        self.state = self._components.state
        self.peers = self._components.peers
        self.scheduler = self._components.scheduler

    async def run(self) -> None:
        """Serves until SIGTERM, then drains."""
        settings = self.state.settings
        logger.bind(
            event="start",
            instance=settings.name,
            failure_domain=settings.failure_domain,
            incarnation=self.peers.incarnation,
        ).info(
            "instance {} starts in failure domain {}",
            settings.name,
            settings.failure_domain,
        )
        stop_serving = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._log.run)
            tasks.start_soon(self._loop_monitor.run)
            await tasks.start(self._components.run)
            tasks.start_soon(self._watch_settings)
            server_stopped = anyio.Event()
            sock = open_socket(settings.caller_address)
            server = Server(
                self._components.application,
                complete_server_config(CallerServerConfig(self.state)),
                self._head_limit_s,
                self._limits.callers,
            )

            self._caller_figures.server = server

            async def serve_callers() -> None:
                await server.run(sock, stop_serving.wait)
                server_stopped.set()

            tasks.start_soon(serve_callers)
            tasks.start_soon(
                self._serve_text, settings.ready_address, self._ready
            )
            tasks.start_soon(
                self._serve_text, settings.metrics_address, self._metrics_text
            )
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGHUP
            ) as signals:
                await _wait_for_end(signals)
                # The receiver stays open until the process ends. Without one, a
                # further signal would end the process at once.
                drain = RelayDrain(
                    self.state,
                    self.peers,
                    self.scheduler,
                    self._components.application,
                )
                await drain.run(stop_serving.set, server_stopped)
            logger.bind(event="stop", instance=settings.name).info(
                "instance {} stops", settings.name
            )
            self._log.flush()
            # The server would wait for connections that callers keep open. They
            # carry no requests that were read, so the process ends without it.
            os._exit(0)

    async def _serve_text(
        self, address: str, read: Callable[[], tuple[int, str]]
    ) -> None:
        server = Server(
            make_text_app(read),
            complete_server_config(Config()),
            self._head_limit_s,
            self._limits.operators,
        )
        await server.run(open_socket(address), anyio.sleep_forever)

    def _head_limit_s(self) -> float:
        doc = self.state.document
        limits = doc.limits if doc is not None else CallerLimits()
        return limits.header_s + HEAD_MARGIN_S

    def _ready(self) -> tuple[int, str]:
        return (200, "ready\n") if self.state.ready else (503, "not ready\n")

    def _metrics_text(self) -> tuple[int, str]:
        now = self.state.clock()
        gauges = {
            ("document_version",): float(self.state.document_version),
            ("registry_age_s",): now - self.state.registry_read_at,
            ("requests",): float(self.state.requests),
            ("evacuated_domains",): float(len(self.state.evacuations.domains)),
            ("cold_upstreams",): float(
                self.state.notices.limits.cold.count(now)
            ),
            ("peers_reachable",): float(len(self.peers.table.reachable(now))),
            ("log_lines_dropped",): float(self._log.dropped_total),
            ("loop_delay_mean_s",): self._loop_monitor.mean_delay_s,
            ("loop_delay_max_s",): self._loop_monitor.max_delay_s,
        }
        for name, value in self._caller_figures.read().items():
            gauges[(f"caller_{name}",)] = value
        for pool, length in self.scheduler.queue_lengths().items():
            gauges[(f"queue_{pool}",)] = float(length)
        learned = self.state.engines.learned
        if learned is not None:
            (
                gauges[("engine_slowness_least",)],
                gauges[("engine_slowness_most",)],
            ) = learned.slowness_range(now)
        for pool, peak in self._components.plain_choice.peaks(now).items():
            gauges[(f"peak_share_{pool}",)] = peak
        self._components.metrics.gauges.replace(gauges)
        return 200, self._components.metrics.render()

    async def _watch_settings(self) -> None:
        """Reloads the settings; of them, changed seeds are applied."""
        previous = None
        while True:
            try:
                settings = self._reload_settings()
                current = [
                    getattr(settings, name) for name in RelaySettings.__slots__
                ]
                if previous is not None and current != previous:
                    logger.bind(event="reload").info(
                        "settings have changed; seeds are now {}",
                        settings.seeds,
                    )
                previous = current
                self.peers.seeds = settings.seeds
            except SettingsError as exc:
                logger.bind(event="settings_rejected").error(
                    "changed settings rejected: {}", exc
                )
            await anyio.sleep(SETTINGS_RELOAD_INTERVAL_S)


async def _wait_for_end(signals: AsyncIterator[signal.Signals]) -> None:
    """Waits for SIGTERM or SIGINT.

    SIGHUP needs no action, since settings are reloaded periodically.
    """
    async for signum in signals:
        logger.bind(event="signal", signal=int(signum)).info(
            "received signal {}", int(signum)
        )
        if signum != signal.SIGHUP:
            return


class CallerServerConfig(Config):
    """Configuration of the server of callers.

    The server reads the idle timeout when a connection begins to rest.
    """

    def __init__(self, state: RelayState) -> None:
        super().__init__()
        self._state = state

    @property
    def h11_max_incomplete_size(self) -> int:
        """Most bytes of a head that has not ended."""
        doc = self._state.document
        limits = doc.limits if doc is not None else CallerLimits()
        # The document does not count the request line.
        return min(HEAD_BYTES_MAX, 2 * limits.header_bytes)

    @property
    def keep_alive_timeout(self) -> float:
        """Time after which a resting connection is closed, in seconds."""
        return self._state.idle_limit.held_s(self._state.clock())


def open_socket(address: str) -> socket.socket:
    """Returns the listening socket of a server.

    Args:
        address: IP:port.

    Raises:
        OSError: The address is in use or not a local one.
    """
    sock = open_listener(*split_address(address), BACKLOG)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    return sock


def complete_server_config(cfg: Config) -> Config:
    """Returns the configuration with what all servers share."""
    cfg.backlog = BACKLOG
    cfg.loglevel = "CRITICAL"
    cfg.errorlog = None
    cfg.include_server_header = False
    cfg.include_date_header = False
    cfg.keep_alive_max_requests = REQUESTS_PER_CONNECTION_MAX
    # Never reached: after a drain the server is told to stop, and the process
    # exits within `drain.CONNECTION_CLOSE_S` of that.
    cfg.graceful_timeout = 10.0
    return cfg


def run_instance(
    settings: RelaySettings,
    protocol: Protocol,
    make_registry: Callable[[httpx.AsyncBaseTransport, str], Registry],
    reload_settings: Callable[[], RelaySettings],
    log_level: str,
) -> int:
    """Runs an instance until it has drained after a signal; returns 0."""
    log = LogWriter()
    log.install(log_level)
    instance = RelayInstance(
        settings, protocol, make_registry, reload_settings, log
    )
    anyio.run(instance.run, backend_options={"use_uvloop": True})
    return 0
