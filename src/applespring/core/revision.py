"""Acceptance of configuration revisions.

A tracker moves to higher revisions only, so a platform or a peer that serves an
old document cannot take the fleet back.
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
    """What became of an offered document."""

    ACCEPTED = "accepted"
    OLDER = "older"
    SAME = "same"
    INVALID = "invalid"
    CONFLICT = "conflict"


class RevisionTracker:
    """Keeps the configuration in force and decides on offered ones.

    Attributes:
        fleet: The configuration in force, or None before the first one.
        text: Text of the document in force, for peers that fetch it.
        source: Where the document in force came from.
        accepted_at: Seconds on the clock of the offers, or None.
        errors: Errors of the last document that failed validation.
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
        """Revision in force, 0 before the first one."""
        return self.fleet.revision if self.fleet else 0

    @property
    def highest_invalid(self) -> int:
        """Highest remembered revision that failed validation, or 0."""
        return max((revision for revision, _ in self._invalid), default=0)

    def offer(
        self, revision: int, text: str, source: str, now: float
    ) -> Acceptance:
        """Decides on a document and puts it in force if it is accepted.

        Args:
            revision: Revision under which the platform published it.
            text: Text of the document.
            source: Where it came from, for the operator.
            now: Seconds on the monotonic clock.

        Returns:
            The outcome, which is also counted.
        """
        outcome = self._decide(revision, text, source, now)
        self.counts[outcome] += 1
        return outcome

    def _decide(
        self, revision: int, text: str, source: str, now: float
    ) -> Acceptance:
        if not 0 < revision <= REVISION_MAX:
            self.errors = (f"revision {revision} is out of range",)
            return Acceptance.INVALID
        if revision < self.revision:
            return Acceptance.OLDER
        data = text.encode("utf-8", "surrogatepass")
        digest = xxhash.xxh3_128_digest(data)
        if revision == self.revision:
            same = digest == self._digest
            return Acceptance.SAME if same else Acceptance.CONFLICT
        # The digest is part of the key: a copy damaged on the way must not
        # bar the intact document of the same revision.
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
                f"document has {size} bytes, limit {DOCUMENT_MAX_BYTES}",
            )
            return None
        fleet, errors = self._validate(text, revision)
        if fleet is None or errors:
            self.errors = tuple(errors)
            return None
        if fleet.revision != revision:
            self.errors = (f"revision {fleet.revision} in place of {revision}",)
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
    """Decides when a starting instance may call itself ready.

    A starting instance waits for the platform and for the peers that it asked,
    because either may hold a newer document than the other.

    Attributes:
        deadline_at: Time at which sources that stay silent are given up.
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
        """Adds a source whose answer or timeout is awaited."""
        self._pending.add(source)

    def settle(self, source: str) -> None:
        """Notes that a source answered, failed or timed out."""
        self._pending.discard(source)

    def is_ready(self, now: float) -> bool:
        """Whether the instance may be ready; stays true once it was."""
        if not self._is_ready and self._tracker.fleet is not None:
            self._is_ready = not self._pending or now >= self.deadline_at
        return self._is_ready
