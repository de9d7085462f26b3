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


class Registry(abc.ABC):
    """Reads and watches the routing document and the upstreams' entries.

    Every method raises `ApplespringError` when the platform does not answer.
    """

    @abc.abstractmethod
    async def read_document(self) -> tuple[bytes | None, int]:
        """Returns the document, if any, and the revision to go on from."""

    @abc.abstractmethod
    async def wait_document(self, after: int) -> tuple[bytes | None, int]:
        """Returns a newer document, if any, and the revision to go on from."""

    @abc.abstractmethod
    async def read_entries(self) -> tuple[list[EntryChange], int]:
        """Returns all entries and the revision to watch from."""

    @abc.abstractmethod
    async def wait_entries(self, after: int) -> tuple[list[EntryChange], int]:
        """Returns changes after a revision, and the revision to go on from."""

    @abc.abstractmethod
    def decode_document(self, data: bytes) -> RoutingDocument:
        """Decodes a document, also one that a peer has passed on.

        Raises:
            MessageError: It is malformed.
        """
