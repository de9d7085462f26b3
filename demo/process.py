"""Child processes, ended by their ids, and the choice of free ports."""

import contextlib
import fcntl
import os
import pathlib
import random
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from typing import IO

HOST = "127.0.0.1"
# Below the range from which the kernel assigns ports to outgoing connections,
# so that no connection takes a port between its choice and its use.
PORTS = range(12_000, 30_000)
PORT_TRIES = 1000
LOCK_DIRECTORY = (
    pathlib.Path(tempfile.gettempdir()) / f"applespring-ports-{os.getuid()}"
)
VARIABLE_PREFIX = "APPLESPRING_"


class StartError(Exception):
    """A process ended early or did not start in time, or no port is free."""


class Child:
    """A child process in a process group of its own.

    Ctrl-C in a terminal thus reaches only the parent, which ends its children.

    Attributes:
        name: Name for messages.
        popen: The process.
    """

    __slots__ = ("name", "popen")

    def __init__(
        self,
        name: str,
        argv: Sequence[str],
        log: pathlib.Path,
        *,
        output: pathlib.Path | None = None,
    ) -> None:
        """Starts the process.

        Args:
            name: Name for messages.
            argv: Module and arguments.
            log: File to which its standard error is appended.
            output: File to which its standard output is appended; without
                one, it goes to a pipe.
        """
        self.name = name
        env = {
            variable: value
            for variable, value in os.environ.items()
            if not variable.startswith(VARIABLE_PREFIX)
        }
        with contextlib.ExitStack() as files:
            errors = files.enter_context(log.open("ab"))
            stdout = subprocess.PIPE
            if output is not None:
                stdout = files.enter_context(output.open("ab"))
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *argv],
                stdin=subprocess.DEVNULL,
                stdout=stdout,
                stderr=errors,
                env=env,
                process_group=0,
            )

    @property
    def running(self) -> bool:
        """Whether the process is still running."""
        return self.popen.poll() is None

    def read_line(self, limit_s: float) -> str:
        """Returns the first line of its standard output.

        Raises:
            StartError: It ended or wrote nothing within the limit.
        """
        assert self.popen.stdout is not None
        with selectors.DefaultSelector() as selector:
            selector.register(self.popen.stdout, selectors.EVENT_READ)
            if not selector.select(limit_s):
                raise StartError(f"{self.name}: no output within {limit_s:g} s")
        line = self.popen.stdout.readline().decode()
        if not line:
            raise StartError(
                f"{self.name}: ended with code {self.popen.wait()}"
            )
        return line

    def send(self, signum: signal.Signals) -> None:
        """Sends a signal if the process has not ended."""
        self.popen.send_signal(signum)

    def kill(self) -> None:
        """Sends SIGKILL and waits for the end of the process."""
        self.popen.kill()
        self.popen.wait()
        self.close()

    def wait(self, limit_s: float) -> int:
        """Returns the exit code.

        Raises:
            subprocess.TimeoutExpired: It has not ended within the limit.
        """
        code = self.popen.wait(limit_s)
        self.close()
        return code

    def close(self) -> None:
        """Closes the pipe of the standard output, if there is one."""
        if self.popen.stdout is not None:
            self.popen.stdout.close()


def stop_children(children: Sequence[Child], limit_s: float) -> list[str]:
    """Ends processes with SIGTERM, after the limit with SIGKILL.

    SIGCONT is sent first, since a paused process does not handle SIGTERM.

    Returns:
        Names of the processes that had to be killed.
    """
    for child in children:
        child.send(signal.SIGCONT)
        child.send(signal.SIGTERM)
    deadline = time.monotonic() + limit_s
    killed = []
    for child in children:
        try:
            child.wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            child.kill()
            killed.append(child.name)
    return killed


class PortChooser:
    """Chooses ports that are free for TCP and UDP on the loopback address.

    A process binds its port some time after the choice. A file lock, held until
    the chooser is closed, keeps other programs of this user from choosing the
    same port.
    """

    __slots__ = ("_rng", "_locks")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._locks: dict[int, IO[bytes]] = {}

    def choose(self) -> int:
        """Returns a free port that no other chooser of this user has locked.

        Raises:
            StartError: None was found in `PORT_TRIES` tries.
        """
        for _ in range(PORT_TRIES):
            port = self._rng.choice(PORTS)
            if port not in self._locks and self._lock(port):
                return port
        raise StartError(
            f"no free port in {PORTS.start} to {PORTS.stop - 1}"
            f" after {PORT_TRIES} tries"
        )

    def close(self) -> None:
        """Releases the locks of all chosen ports."""
        for lock in self._locks.values():
            lock.close()
        self._locks.clear()

    def _lock(self, port: int) -> bool:
        """Locks a port; returns whether it is free and was not locked."""
        LOCK_DIRECTORY.mkdir(parents=True, exist_ok=True)
        lock = (LOCK_DIRECTORY / str(port)).open("wb")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            return False
        if not _is_free(port):
            lock.close()
            return False
        self._locks[port] = lock
        return True


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True
