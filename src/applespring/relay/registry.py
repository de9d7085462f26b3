"""Interface to the registry of the routing document and the upstreams."""

import abc
from collections.abc import Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.errors import ApplespringError
from applespring.core.route import RoutingDocument


class HistoryLostError(ApplespringError):
    """Changes were missed, so everything has to be read again."""


class EntryChange:
    """Current entry of an upstream, or its removal.

    Attributes:
        name: Name of the upstream.
        upstream: The entry, or None if it was removed or is malformed.
        revision: Revision of the change.
        fault: Why the entry names no upstream, with the value met and its
            bound; empty if it is sound or was removed.
    """

    __slots__ = ("name", "upstream", "revision", "fault")

    def __init__(
        self,
        name: str,
        upstream: ListedUpstream | None,
        revision: int,
        *,
        fault: str = "",
    ) -> None:
        self.name = name
        self.upstream = upstream
        self.revision = revision
        self.fault = fault


class EvacuationChange:
    """An operator's order to evacuate a failure domain, or its end.

    Attributes:
        failure_domain: The domain.
        in_force: Whether the order holds.
        revision: Revision of the change.
    """

    __slots__ = ("failure_domain", "in_force", "revision")

    def __init__(
        self, failure_domain: str, in_force: bool, revision: int
    ) -> None:
        self.failure_domain = failure_domain
        self.in_force = in_force
        self.revision = revision


class RegistryUpdate:
    """Result of a read or a watch of the registry.

    Attributes:
        document: The newest routing document in encoded form, or None if there
            is none; in a watch, None if it did not change.
        changes: Entries of upstreams; in a watch, those that changed.
        revision: Revision after which the next watch starts.
        evacuations: Orders to evacuate failure domains; in a watch, those that
            changed.
    """

    __slots__ = ("document", "changes", "revision", "evacuations")

    def __init__(
        self,
        document: bytes | None,
        changes: list[EntryChange],
        revision: int,
        evacuations: Sequence[EvacuationChange] = (),
    ) -> None:
        self.document = document
        self.changes = changes
        self.revision = revision
        self.evacuations = tuple(evacuations)


class Registry(abc.ABC):
    """Reads and watches the routing document and the upstreams' entries.

    One call returns both, since the platform charges for every call.
    """

    @abc.abstractmethod
    async def read(self) -> RegistryUpdate:
        """Returns the document and all entries.

        Raises:
            HistoryLostError: The registry began another era meanwhile.
            ApplespringError: The registry did not answer.
        """

    @abc.abstractmethod
    async def wait_for_changes(
        self, after: int, wait_s: float
    ) -> RegistryUpdate:
        """Waits for changes after a revision and returns them.

        Args:
            after: The revision.
            wait_s: Time after which an update without changes is returned.

        Raises:
            HistoryLostError: Changes after the revision are not available.
            ApplespringError: The registry did not answer.
        """

    @abc.abstractmethod
    def decode_document(self, data: bytes) -> RoutingDocument:
        """Decodes a document of the registry or of a peer.

        Raises:
            MessageError: It is malformed.
        """
