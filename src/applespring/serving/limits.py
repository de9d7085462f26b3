"""How the descriptors and the memory of a machine bound what callers use."""

# Share of the memory for what is held for callers. A program at rest takes
# 60 MB, and the smallest machine has 160 MB.
CALLER_MEMORY_SHARE = 0.4
# Descriptors that are reserved for files (the platform's deployment page).
FILE_DESCRIPTORS = 200
# Shares of the others. A request needs a connection to an upstream beside that
# of its caller, so that the same share as for callers is left for them.
CALLERS_SHARE = 0.4
PEERS_SHARE = 0.2
# Connections for readiness, and for metrics.
OPERATORS_MAX = 16
# Share of the memory for connections without a request, and what one takes.
MEMORY_SHARE = 0.1
CONNECTION_BYTES = 16 * 1024
# Whatever the settings say, this many connections are accepted.
CONNECTIONS_MIN = 16


class ConnectionLimits:
    """Most connections that the process accepts.

    Attributes:
        callers: From callers.
        peers: From other instances.
        operators: To each of the ports for readiness and metrics.
    """

    __slots__ = ("callers", "peers", "operators")

    def __init__(self, descriptors_max: int, memory_bytes: int) -> None:
        """Divides descriptors and memory.

        Args:
            descriptors_max: Most descriptors of the process.
            memory_bytes: Memory of the machine for the process.
        """
        sockets = descriptors_max - FILE_DESCRIPTORS
        in_memory = MEMORY_SHARE * memory_bytes / CONNECTION_BYTES
        self.callers = max(
            CONNECTIONS_MIN, int(min(CALLERS_SHARE * sockets, in_memory))
        )
        self.peers = max(CONNECTIONS_MIN, int(PEERS_SHARE * sockets))
        self.operators = OPERATORS_MAX
