"""The HTTP clients of an instance."""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx

from applespring.entry.answer_match import MatchingTransport
from applespring.entry.execution.origins import OriginTransport

# Longer than the interval at which each instance polls an upstream in a large
# fleet (30 s), since a new connection costs more than the load report read over
# it.
CONTROL_KEEP_ALIVE_S = 60.0
PREFIX_BYTES = 8


class HttpClients:
    """HTTP clients, which share one TLS context.

    Attributes:
        pooled: Keeps connections to upstreams open.
        single: Opens a new connection for each call.
        control: Keeps connections for control calls to upstreams open.
        platform: Has the platform as its base URL.
    """

    __slots__ = ("pooled", "single", "control", "platform")

    def __init__(
        self,
        *,
        pooled: httpx.AsyncClient,
        single: httpx.AsyncClient,
        control: httpx.AsyncClient,
        platform: httpx.AsyncClient,
    ) -> None:
        self.pooled = pooled
        self.single = single
        self.control = control
        self.platform = platform


@asynccontextmanager
async def open_clients(
    connections_max: int, platform_address: str
) -> AsyncIterator[HttpClients]:
    """Opens the clients, and closes their connections at the end.

    Args:
        connections_max: Most connections of each client to an upstream.
        platform_address: IP:port of the platform.
    """
    # Loading the trusted certificates takes tenths of a second, so the clients
    # share one context. Proxies named by the environment are not used:
    # addresses come from the settings and the configuration document alone.
    tls = httpx.create_ssl_context(trust_env=False)
    options = {"timeout": None, "trust_env": False}

    def make_client(
        transport: httpx.AsyncBaseTransport, base_url: str = ""
    ) -> httpx.AsyncClient:
        # Each client has its own connections, and so its own prefix.
        transport = MatchingTransport(transport, os.urandom(PREFIX_BYTES).hex())
        return httpx.AsyncClient(
            transport=transport, base_url=base_url, **options
        )

    pooled_limits = httpx.Limits(
        max_connections=connections_max,
        max_keepalive_connections=connections_max,
    )
    control_limits = httpx.Limits(
        max_connections=connections_max,
        max_keepalive_connections=connections_max,
        keepalive_expiry=CONTROL_KEEP_ALIVE_S,
    )
    single_limits = httpx.Limits(
        max_connections=connections_max, max_keepalive_connections=0
    )
    async with (
        make_client(OriginTransport(pooled_limits, tls)) as pooled,
        httpx.AsyncClient(
            limits=single_limits, verify=tls, **options
        ) as single,
        make_client(OriginTransport(control_limits, tls)) as control,
        make_client(
            httpx.AsyncHTTPTransport(verify=tls), f"http://{platform_address}"
        ) as platform,
    ):
        yield HttpClients(
            pooled=pooled, single=single, control=control, platform=platform
        )
