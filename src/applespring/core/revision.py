"""Acceptance of configuration revisions.

A tracker accepts higher revisions only, so a platform or a peer that serves an
old document cannot revert the fleet to it.
"""

import enum
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import xxhash

from applespring.core.fleet import Fleet

DOCUMENT_MAX_BYTES = 1_000_000
REVISION_MAX = 2**63 - 1
INVALID_DOCUMENTS_MAX = 64

Validate = Callable[[str, int], tuple[Fleet | None, Sequence[Any]]]


class Acceptance(enum.Enum):
    """Result of offering a document.

    ACCEPTED: put in force.
    OLDER: its revision is below the one in force.
    SAME: it is the document in force.
    INVALID: out of range, too large or rejected by the validation.
    CONFLICT: its text differs from the one in force under the same revision.
    """

    ACCEPTED = "accepted"
    OLDER = "older"
    SAME = "same"
    INVALID = "invalid"
    CONFLICT = "conflict"


class RevisionTracker:
    """Holds the configuration in force and decides on offered documents.

    Attributes:
        fleet: The configuration in force, or None before the first one.
        text: Text of the document in force, for peers that fetch it.
        source: Where the document in force came from.
        accepted_at: When the document in force was offered, in seconds on the
            monotonic clock, or None.
        errors: Errors of the last document that was newly found invalid.
        counts: Number of offers by outcome.
    """

    __slots__ = (
        "fleet",
        "text",
        "source",
        "accepted_at",
        "errors",
        "counts",
        "_validate",
        "_digest",
        "_invalid",
    )

    def __init__(self, validate: Validate) -> None:
        self.fleet: Fleet | None = None
        self.text = ""
        self.source = ""
        self.accepted_at: float | None = None
        self.errors: tuple[Any, ...] = ()
        self.counts: Counter[Acceptance] = Counter()
        self._validate = validate
        self._digest = b""
        self._invalid: dict[tuple[int, bytes], None] = {}

    @property
    def revision(self) -> int:
        """Revision of the configuration in force, 0 before the first one."""
        return self.fleet.revision if self.fleet else 0

    @property
    def highest_invalid(self) -> int:
        """Highest revision recorded as invalid above the one in force, or 0."""
        return max((revision for revision, _ in self._invalid), default=0)

    def offer(
        self, revision: int, text: str, source: str, now: float
    ) -> Acceptance:
        """Decides on a document and puts it in force if it is accepted.

        Args:
            revision: Revision under which the platform published it.
            text: Text of the document.
            source: Where it came from; recorded for the operator.
            now: Seconds on the monotonic clock.

        Returns:
            The outcome, which is also added to `counts`.
        """
        outcome = self._decide(revision, text, source, now)
        self.counts[outcome] += 1
        return outcome

    def _decide(
        self, revision: int, text: str, source: str, now: float
    ) -> Acceptance:
        if not 0 < revision <= REVISION_MAX:
            self.errors = (
                f"revision {revision} is out of range: must be from 1 to"
                f" {REVISION_MAX}",
            )
            return Acceptance.INVALID
        if revision < self.revision:
            return Acceptance.OLDER
        data = text.encode("utf-8", "surrogatepass")
        digest = xxhash.xxh3_128_digest(data)
        if revision == self.revision:
            same = digest == self._digest
            return Acceptance.SAME if same else Acceptance.CONFLICT
        # The digest is part of the key: a copy damaged in transit must not
        # exclude the intact document of the same revision.
        if (revision, digest) in self._invalid:
            return Acceptance.INVALID
        fleet = self._check(revision, text, len(data))
        if fleet is None:
            self._record_invalid(revision, digest)
            return Acceptance.INVALID
        self.fleet = fleet
        self.text = text
        self.source = source
        self.accepted_at = now
        self._digest = digest
        self._discard_invalid_up_to(revision)
        return Acceptance.ACCEPTED

    def _check(self, revision: int, text: str, size: int) -> Fleet | None:
        if size > DOCUMENT_MAX_BYTES:
            self.errors = (
                f"document of revision {revision} has {size} bytes, limit"
                f" {DOCUMENT_MAX_BYTES}",
            )
            return None
        fleet, errors = self._validate(text, revision)
        if fleet is None or errors:
            self.errors = tuple(errors)
            return None
        if fleet.revision != revision:
            self.errors = (
                f"document states revision {fleet.revision}, but was published"
                f" as revision {revision}",
            )
            return None
        return fleet

    def _record_invalid(self, revision: int, digest: bytes) -> None:
        self._invalid[(revision, digest)] = None
        if len(self._invalid) > INVALID_DOCUMENTS_MAX:
            # The lowest revision is the least likely to be offered again.
            del self._invalid[min(self._invalid)]

    def _discard_invalid_up_to(self, revision: int) -> None:
        for key in [key for key in self._invalid if key[0] <= revision]:
            del self._invalid[key]


class StartupReadiness:
    """Decides when a starting instance may report itself ready.

    A starting instance waits for the platform and for the peers that it asked,
    because either may have a newer document than the other.

    Attributes:
        deadline_at: When it stops waiting for sources that have not answered.
    """

    __slots__ = ("deadline_at", "_tracker", "_pending", "_is_ready")

    def __init__(
        self,
        tracker: RevisionTracker,
        sources: Iterable[str],
        deadline_at: float,
    ) -> None:
        self.deadline_at = deadline_at
        self._tracker = tracker
        self._pending = set(sources)
        self._is_ready = False

    def expect(self, source: str) -> None:
        """Adds a source to wait for."""
        self._pending.add(source)

    def settle(self, source: str) -> None:
        """Ends the wait for a source that answered, failed or timed out."""
        self._pending.discard(source)

    def is_ready(self, now: float) -> bool:
        """Whether the instance may report itself ready.

        It needs a configuration, and stays ready from then on.
        """
        if not self._is_ready and self._tracker.fleet is not None:
            self._is_ready = not self._pending or now >= self.deadline_at
        return self._is_ready
