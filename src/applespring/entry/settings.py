"""Settings of an entry instance, validated when the process starts."""

import ipaddress
import re
from collections.abc import Sequence

from applespring.core.errors import SettingsError
from applespring.entry.mesh.peers import PeerInfo

BYTES_PER_MB = 1_000_000
_NAME_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")


class Settings:
    """Validated settings of one entry instance.

    Attributes:
        name: Name of the instance in the platform's instance list.
        failure_domain: Name of its failure domain.
        listen_host: IP address on which callers are served.
        listen_port: TCP port on which callers are served.
        peer_host: IP address for messages from other entry instances.
        peer_port: TCP and UDP port for messages from other entry instances.
        platform: `IP:port` of the platform.
        seeds: Entry instances to contact until the instance list has been read.
        drain_grace_s: Seconds for which a draining instance accepts requests.
        drain_limit_s: Maximum seconds of a drain, its grace period included.
        connections_max: Maximum number of connections to each upstream.
        memory_bytes: Memory of the machine for the process.
        descriptors_max: Maximum number of descriptors of the process.
        log_level: Lowest level of log lines that are written.
        log_json: Whether log lines are JSON.
    """

    __slots__ = (
        "name",
        "failure_domain",
        "listen_host",
        "listen_port",
        "peer_host",
        "peer_port",
        "platform",
        "seeds",
        "drain_grace_s",
        "drain_limit_s",
        "connections_max",
        "memory_bytes",
        "descriptors_max",
        "log_level",
        "log_json",
    )

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        platform: str,
        listen_host: str = "127.0.0.1",
        listen_port: int = 8080,
        peer_host: str = "127.0.0.1",
        peer_port: int = 8081,
        seeds: Sequence[str] = (),
        drain_grace_s: float = 5.0,
        drain_limit_s: float = 60.0,
        connections_max: int = 1000,
        memory_mb: int = 512,
        descriptors_max: int = 4096,
        log_level: str = "INFO",
        log_json: bool = False,
    ) -> None:
        """Validates each setting.

        Raises:
            SettingsError: A setting is malformed, or the grace period is not
                shorter than the drain limit.
        """
        self.name = _check_name("name", name)
        self.failure_domain = _check_name("failure-domain", failure_domain)
        self.listen_host = _check_host("listen-host", listen_host)
        self.listen_port = listen_port
        self.peer_host = _check_host("peer-host", peer_host)
        self.peer_port = peer_port
        self.platform = _check_address("platform", platform)
        self.seeds = tuple(_parse_seed(seed) for seed in seeds)
        self.drain_grace_s = drain_grace_s
        self.drain_limit_s = drain_limit_s
        self.connections_max = connections_max
        self.memory_bytes = memory_mb * BYTES_PER_MB
        self.descriptors_max = descriptors_max
        self.log_level = log_level
        self.log_json = log_json
        if drain_grace_s >= drain_limit_s:
            raise SettingsError(
                f"--drain-grace-s={drain_grace_s} is not allowed; allowed:"
                f" less than --drain-limit-s={drain_limit_s}"
            )


def _check_name(setting: str, text: str) -> str:
    if not _NAME_PATTERN.fullmatch(text):
        raise SettingsError(
            f"--{setting}={text!r} is not allowed; allowed: 1 to 64 letters,"
            " digits, '-' and '_'"
        )
    return text


def _check_host(setting: str, text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError as exc:
        raise SettingsError(
            f"--{setting}={text!r} is not allowed; allowed: an IP address"
        ) from exc
    return text


def _check_address(setting: str, text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise SettingsError(
            f"--{setting}={text!r} is not allowed; allowed: IP:port"
        )
    return text


def _parse_seed(text: str) -> PeerInfo:
    """Parses `name=IP:port@failure_domain`."""
    name, _, location = text.partition("=")
    address, _, failure_domain = location.partition("@")
    _check_name("seeds", name)
    _check_name("seeds", failure_domain)
    return PeerInfo(name, _check_address("seeds", address), failure_domain)
