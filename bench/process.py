"""Runs a stand-in in its own process, apart from the measuring one."""

import contextlib
import signal
import subprocess
import sys
from collections.abc import Iterator

STOP_TIMEOUT_S = 10.0


@contextlib.contextmanager
def start_service(*flags: str) -> Iterator[str]:
    """Runs a service stand-in; yields its address as `IP:port`."""
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.service", *flags],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        _, port = process.stdout.readline().split()
        yield f"127.0.0.1:{port}"
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(STOP_TIMEOUT_S)
