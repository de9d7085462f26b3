"""The interface to what the platform publishes."""

import abc

from applespring.core.catalog import ListedUpstream
from applespring.core.errors import ApplespringError
from applespring.core.route import RoutingDocument


class HistoryLostError(ApplespringError):
    """Changes were missed; everything has to be read again."""


class EntryChange:
    """An upstream's entry as it is now.

    Attributes:
        name: Name of the upstream.
        upstream: The entry, or None when it was removed.
        revision: Revision of the change.
        unreadable: Whether an entry is there that names no upstream.
    """

    __slots__ = ("name", "upstream", "revision", "unreadable")

    def __init__(
        self,
        name: str,
        upstream: ListedUpstream | None,
        revision: int,
        *,
        unreadable: bool = False,
    ) -> None:
        self.name = name
        self.upstream = upstream
        self.revision = revision
        self.unreadable = unreadable


class RegistryUpdate:
    """What a reading or a watch of the registry found.

    Attributes:
        document: The newest routing document, or None if there is none (in a
            watch: no newer one).
        changes: Entries of upstreams; in a watch, those that changed.
        revision: Revision to go on from.
    """

    __slots__ = ("document", "changes", "revision")

    def __init__(
        self, document: bytes | None, changes: list[EntryChange], revision: int
    ) -> None:
        self.document = document
        self.changes = changes
        self.revision = revision


class Registry(abc.ABC):
    """Reads and watches the routing document and the upstreams' entries.

    Both are read together, since each call is priced.
    """

    @abc.abstractmethod
    async def read(self) -> RegistryUpdate:
        """Returns the document and all entries.

        Raises:
            ApplespringError: The platform did not answer.
        """

    @abc.abstractmethod
    async def wait_for_changes(
        self, after: int, wait_s: float
    ) -> RegistryUpdate:
        """Returns changes after a revision, at the latest after some time.

        Raises:
            HistoryLostError: Changes were missed.
            ApplespringError: The platform did not answer.
        """

    @abc.abstractmethod
    def decode_document(self, data: bytes) -> RoutingDocument:
        """Decodes a document, also one that a peer has passed on.

        Raises:
            MessageError: It is malformed.
        """
