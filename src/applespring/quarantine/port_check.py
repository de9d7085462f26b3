"""Whether a process listens at an address."""

import anyio

from applespring.peer.link import split_address

# A connection is set up in about a millisecond, while a machine without power
# never answers.
CONNECT_TIMEOUT_S = 0.4


async def refuses_connections(address: str) -> bool:
    """Returns whether no process listens at an address (IP:port).

    False as well if no answer arrives, since the path may be cut.
    """
    host, port = split_address(address)
    try:
        with anyio.move_on_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
            await stream.aclose()
    except OSError as exc:
        return is_refused(exc)
    return False


def is_refused(exc: BaseException | None) -> bool:
    """Returns whether an error was caused by a refused connection."""
    if isinstance(exc, BaseExceptionGroup):
        return all(is_refused(inner) for inner in exc.exceptions)
    if exc is None or isinstance(exc, ConnectionRefusedError):
        return exc is not None
    # httpcore wraps errors without naming a cause.
    return is_refused(exc.__cause__ or exc.__context__)
