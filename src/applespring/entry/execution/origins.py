"""HTTP transport with a separate connection pool for each origin."""

import ssl
from collections import OrderedDict
from collections.abc import Callable

import httpx

# The system is designed for 600 upstreams; with this limit their pools are
# never evicted.
ORIGINS_MAX = 2048


class OriginTransport(httpx.AsyncBaseTransport):
    """Transport with one connection pool per origin (scheme and address).

    A pool of httpcore checks all of its idle connections for every call. A
    single pool for 600 upstreams took 25 ms of CPU time per call. Above
    ORIGINS_MAX pools, the least recently used one is closed.
    """

    def __init__(
        self,
        limits: httpx.Limits,
        tls: ssl.SSLContext,
        make_pool: Callable[..., httpx.AsyncBaseTransport] = (
            httpx.AsyncHTTPTransport
        ),
    ) -> None:
        """Initializes the transport.

        Args:
            limits: Limits of each pool, not of all pools together.
            tls: TLS context that all pools use.
            make_pool: Creates a pool from `verify` and `limits`.
        """
        self._limits = limits
        self._make_pool = make_pool
        self._tls = tls
        self._pools: OrderedDict[str, httpx.AsyncBaseTransport] = OrderedDict()

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends a request through the pool of its origin."""
        url = request.url
        origin = f"{url.scheme}://{url.netloc.decode('ascii')}"
        pool = self._pools.get(origin)
        if pool is None:
            pool = self._make_pool(verify=self._tls, limits=self._limits)
            self._pools[origin] = pool
        self._pools.move_to_end(origin)
        if len(self._pools) > ORIGINS_MAX:
            _, oldest = self._pools.popitem(last=False)
            await oldest.aclose()
        return await pool.handle_async_request(request)

    async def aclose(self) -> None:
        """Closes all pools and their connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        for pool in pools:
            await pool.aclose()
