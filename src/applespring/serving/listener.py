"""Listening sockets of servers."""

import socket

# What the kernel may hold that arrived on a connection and was not read.
RECEIVE_BUFFER_BYTES = 64 * 1024


def open_listener(host: str, port: int, backlog: int) -> socket.socket:
    """Returns a listening socket, whose options accepted ones inherit.

    Args:
        host: IP address.
        port: TCP port, 0 for any.
        backlog: Connections that may wait to be accepted.

    Raises:
        OSError: The address is in use or not a local one.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.create_server((host, port), family=family, backlog=backlog)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sock
