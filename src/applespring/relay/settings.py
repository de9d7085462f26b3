"""Settings of a relay instance."""

from collections.abc import Mapping, Sequence

from applespring.core.queueing.service_order import DEFAULT_ORDER


class RelaySettings:
    """Settings of a relay instance; only `seeds` may change while it runs.

    Attributes:
        name: Name of the instance.
        failure_domain: Failure domain in which it runs.
        caller_address: IP:port on which it serves callers.
        ready_address: IP:port on which it serves its readiness.
        metrics_address: IP:port on which it serves its metrics.
        peer_address: IP:port at which other instances reach it.
        peer_listen: IP:port at which it listens for them; `peer_address` if
            empty.
        seeds: Peer addresses of instances to contact while no other is known.
        registry_address: IP:port of the registry.
        drain_limit_s: Longest time from SIGTERM to the end of the process.
        retry_ratio: Added attempts allowed per request of a pool in a window.
        retry_window_s: Length of the window.
        retry_extra: Added attempts allowed on top of that in a window; all
            instances share them in equal parts.
        link_mbps: Speed of the machine's network link in Mbit/s.
        memory_bytes: Memory of the machine for the process.
        descriptors_max: Most descriptors of the process.
        region: Region of its failure domain, or "" if none is named.
        regions: Region of each failure domain.
        cold_overshoot: Multiple of a pool's cold rate that a cold upstream of
            it may get in a second, or None if no bound is in force.
        cold_slack: Requests a second that it may get on top of that.
        stage_order: Name of the order of service of stage pools, one of
            `core.queueing.service_order.ORDERS`.
        choice: How upstreams of equal standing are chosen: "fixed" by mean
            call times, "learned" by expected cost and remaining work.
    """

    __slots__ = (
        "name",
        "failure_domain",
        "caller_address",
        "ready_address",
        "metrics_address",
        "peer_address",
        "peer_listen",
        "seeds",
        "registry_address",
        "drain_limit_s",
        "retry_ratio",
        "retry_window_s",
        "retry_extra",
        "link_mbps",
        "memory_bytes",
        "descriptors_max",
        "region",
        "regions",
        "cold_overshoot",
        "cold_slack",
        "stage_order",
        "choice",
    )

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        caller_address: str,
        ready_address: str,
        metrics_address: str,
        peer_address: str,
        peer_listen: str = "",
        seeds: Sequence[str],
        registry_address: str,
        drain_limit_s: float = 8.0,
        retry_ratio: float = 0.2,
        retry_window_s: float = 10.0,
        retry_extra: float = 50.0,
        link_mbps: float = 1000.0,
        memory_bytes: int = 300_000_000,
        descriptors_max: int = 4096,
        region: str = "",
        regions: Mapping[str, str] | None = None,
        cold_overshoot: float | None = None,
        cold_slack: float = 0.0,
        stage_order: str = DEFAULT_ORDER,
        choice: str = "fixed",
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.caller_address = caller_address
        self.ready_address = ready_address
        self.metrics_address = metrics_address
        self.peer_address = peer_address
        self.peer_listen = peer_listen or peer_address
        self.seeds = tuple(seeds)
        self.registry_address = registry_address
        self.drain_limit_s = drain_limit_s
        self.retry_ratio = retry_ratio
        self.retry_window_s = retry_window_s
        self.retry_extra = retry_extra
        self.link_mbps = link_mbps
        self.memory_bytes = memory_bytes
        self.descriptors_max = descriptors_max
        self.region = region
        self.regions = dict(regions or {})
        self.cold_overshoot = cold_overshoot
        self.cold_slack = cold_slack
        self.stage_order = stage_order
        self.choice = choice
