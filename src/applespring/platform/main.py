"""Entry point of applespring-relay for the users' platform."""

import pathlib
import sys
from typing import Literal

from applespring.cli import run_program
from applespring.platform.registry import PlatformRegistry
from applespring.platform.settings import read_settings
from applespring.platform.store import Store
from applespring.platform.wire import PlatformProtocol
from applespring.relay.compose import run_instance
from applespring.relay.settings import RelaySettings


def serve(
    *,
    config: pathlib.Path,
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO",
    stage_order: Literal["priority", "deadline"] = "priority",
    upstream_choice: Literal["fixed", "learned"] = "fixed",
) -> int:
    """Serves callers until SIGTERM, then drains.

    Args:
        config: The platform's settings file.
        log_level: Lowest level of log lines.
        stage_order: Order in which pieces of stages are called: by priority, or
            by deadline as long as all can be on time.
        upstream_choice: How an upstream is chosen among those that may get a
            request: by their mean call times ("fixed"), or by what the request
            is likely to cost and what each still has to do ("learned").

    Returns:
        0 after a drain.

    Raises:
        SettingsError: The settings file is missing or malformed.
    """

    def read() -> RelaySettings:
        settings = read_settings(config)
        settings.stage_order = stage_order
        settings.choice = upstream_choice
        return settings

    return run_instance(
        read(),
        PlatformProtocol(),
        lambda transport, address: PlatformRegistry(Store(transport, address)),
        read,
        log_level,
    )


def main() -> int:
    """Runs the program and returns its exit code."""
    return run_program("applespring-relay", serve)


if __name__ == "__main__":
    sys.exit(main())
