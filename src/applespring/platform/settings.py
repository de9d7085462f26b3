"""Decoding of the platform's settings file into the relay's settings."""

import pathlib
from collections.abc import Mapping

from applespring.core.errors import SettingsError
from applespring.relay.settings import RelaySettings

# Fixed, since the deployment configuration names this port.
METRICS_PORT = 9464
BYTES_PER_MB = 1_000_000
# Settings with this prefix name the region of each failure domain.
ZONE_PREFIX = "zones."


def parse_lines(text: str) -> dict[str, str]:
    """Returns the values of lines `a.b=value` by name.

    Comments, which start with `#`, and lines without `=` are ignored.
    """
    values = {}
    for line in text.splitlines():
        name, found, value = line.partition("=")
        if found and not line.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values


def decode_regions(values: Mapping[str, str]) -> dict[str, str]:
    """Returns the region of each failure domain that the settings name."""
    return {
        name.removeprefix(ZONE_PREFIX): region
        for name, region in values.items()
        if name.startswith(ZONE_PREFIX)
    }


def read_regions(path: pathlib.Path) -> dict[str, str]:
    """Reads the region of each failure domain from a settings file.

    Raises:
        SettingsError: The file cannot be read.
    """
    values = _read_lines(path)
    regions = decode_regions(values)
    if values.get("zone") and values.get("region"):
        regions[values["zone"]] = values["region"]
    return regions


def read_settings(path: pathlib.Path) -> RelaySettings:
    """Reads the settings file.

    Raises:
        SettingsError: The file cannot be read, or a value is missing or
            malformed.
    """
    return decode_settings(_read_lines(path))


def _read_lines(path: pathlib.Path) -> dict[str, str]:
    try:
        return parse_lines(path.read_text())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"settings file {path}: {exc}") from exc


def decode_settings(values: dict[str, str]) -> RelaySettings:
    """Decodes the values of a settings file; unknown names are ignored.

    Raises:
        SettingsError: A value is missing or malformed.
    """

    def text(name: str) -> str:
        value = values.get(name, "")
        if not value:
            raise SettingsError(f"setting {name} is missing")
        return value

    def number(name: str, default: float) -> float:
        value = values.get(name, "")
        if not value:
            return default
        try:
            return float(value)
        except ValueError as exc:
            raise SettingsError(
                f"setting {name}: {value!r} is not a number"
            ) from exc

    ports = text("internalPorts").split(",")
    try:
        peer_port = int(ports[0])
    except ValueError as exc:
        raise SettingsError(
            f"setting internalPorts: {ports[0]!r} is not a port"
        ) from exc
    # `ip` is the address that other instances connect to. All listeners bind to
    # the host of `listen.ready`.
    host = text("listen.ready").rpartition(":")[0]
    seeds = [s for s in values.get("seeds", "").split(",") if s]
    return RelaySettings(
        name=text("node"),
        failure_domain=text("zone"),
        caller_address=text("listen.front"),
        ready_address=text("listen.ready"),
        metrics_address=f"{host}:{METRICS_PORT}",
        peer_address=f"{text('ip')}:{peer_port}",
        peer_listen=f"{host}:{peer_port}",
        # The seeds are given with another port. On the platform all instances
        # have the same internal port.
        seeds=[f"{s.rpartition(':')[0]}:{peer_port}" for s in seeds],
        registry_address=text("platform.address"),
        drain_limit_s=number("bounds.graceS", 8.0),
        retry_ratio=number("bounds.retryBudgetRatio", 0.2),
        retry_window_s=number("bounds.budgetWindowS", 10.0),
        retry_extra=number("bounds.budgetExtraRetries", 50.0),
        link_mbps=number("limits.linkMbps", 1000.0),
        memory_bytes=int(number("limits.memoryMb", 300.0) * BYTES_PER_MB),
        descriptors_max=int(number("limits.maxFds", 4096.0)),
        region=values.get("region", ""),
        regions=decode_regions(values),
        cold_overshoot=number("bounds.coldOvershoot", 0.0)
        if values.get("bounds.coldOvershoot")
        else None,
        cold_slack=number("bounds.coldSlack", 0.0),
    )
