"""The bounded table of the keys that this incarnation owns."""

import collections
from collections.abc import Iterable
from typing import Any

import orjson
import xxhash

from applespring.core import reason
from applespring.core.errors import RefusalError
from applespring.core.request import Answer
from applespring.core.verdict import Verdict

KEY_MEMORY_S = 600.0
KEYS_MAX = 20_000
ANSWER_BYTES_MAX = 64 * 1024
ANSWERS_BYTES_MAX = 32 * 1024 * 1024

Outcome = Answer | RefusalError


def fingerprint(pipeline: str, account: str, payload: Any) -> bytes:
    """Returns a 16-byte hash that tells different requests of a key apart."""
    body = [pipeline, account, payload]
    return xxhash.xxh3_128_digest(
        orjson.dumps(body, None, orjson.OPT_SORT_KEYS)
    )


class KeyEntry:
    """State of one key.

    Attributes:
        key: Text of the key.
        fingerprint: Identifies the request, see `fingerprint`.
        outcome: Recorded outcome, or None while the request is in flight.
        finished_at: Seconds on the monotonic clock at which the outcome was
            recorded.
        answer_bytes: Bytes of the recorded answer.
        handed_over: Whether a previous owner supplied the entry.
    """

    __slots__ = (
        "key",
        "fingerprint",
        "outcome",
        "finished_at",
        "answer_bytes",
        "handed_over",
    )

    def __init__(self, key: str, fingerprint: bytes) -> None:
        self.key = key
        self.fingerprint = fingerprint
        self.outcome: Outcome | None = None
        self.finished_at = 0.0
        self.answer_bytes = 0
        self.handed_over = False

    @property
    def verdict(self) -> Verdict:
        """Verdict of the outcome, MAY_HAVE_RUN while in flight."""
        if self.outcome is None:
            return Verdict.MAY_HAVE_RUN
        return self.outcome.verdict

    @property
    def repeatable(self) -> bool:
        """Whether the request certainly did not run and may be run again."""
        return self.outcome is not None and self.verdict is Verdict.NOT_RUN


class KeyTable:
    """Keys in flight, and finished keys for `memory_s` after they finished.

    A full table refuses new keys. It evicts no key before `memory_s`, because
    the resubmission of an evicted key would run a second time.

    Attributes:
        memory_s: Seconds for which a finished key is held.
        has_expired_keys: Whether a key that may have run was ever removed at
            the end of `memory_s`.
    """

    def __init__(
        self,
        keys_max: int = KEYS_MAX,
        answer_bytes_max: int = ANSWER_BYTES_MAX,
        answers_bytes_max: int = ANSWERS_BYTES_MAX,
    ) -> None:
        self._keys_max = keys_max
        self._answer_bytes_max = answer_bytes_max
        self._answers_bytes_max = answers_bytes_max
        self._entries: dict[str, KeyEntry] = {}
        self._finished: collections.deque[tuple[float, KeyEntry]] = (
            collections.deque()
        )
        self._answer_bytes = 0
        self.memory_s = KEY_MEMORY_S
        self.has_expired_keys = False

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: str, now: float) -> KeyEntry | None:
        """Returns the unexpired entry of a key, or None."""
        self._expire(now)
        return self._entries.get(key)

    def match(
        self, key: str, fingerprint: bytes, now: float
    ) -> KeyEntry | None:
        """Returns the entry of a key after comparing the fingerprint.

        Raises:
            RefusalError: KEY_MISMATCH, the key names a different request.
        """
        entry = self.find(key, now)
        if entry is not None and entry.fingerprint != fingerprint:
            # A request of this key that has not run may be resubmitted and run
            # at any time, so the key's verdict is at least MAY_HAVE_RUN.
            raise RefusalError(
                reason.KEY_MISMATCH,
                max(entry.verdict, Verdict.MAY_HAVE_RUN),
                submission_verdict=Verdict.NOT_RUN,
            )
        return entry

    def begin(
        self, key: str, fingerprint: bytes, now: float
    ) -> tuple[KeyEntry, bool]:
        """Returns the entry of a key and whether the caller must run it.

        When the second value is False, the entry is in flight (`outcome` is
        None, and the caller waits for it) or finished.

        Raises:
            RefusalError: KEY_MISMATCH, or KEY_TABLE_FULL for a new key.
        """
        entry = self.match(key, fingerprint, now)
        if entry is not None and not entry.repeatable:
            return entry, False
        if entry is None and len(self._entries) >= self._keys_max:
            raise RefusalError(
                reason.KEY_TABLE_FULL, Verdict.NOT_RUN, retry_after_s=1.0
            )
        entry = KeyEntry(key, fingerprint)
        self._entries[key] = entry
        return entry, True

    def finish(self, entry: KeyEntry, outcome: Outcome, now: float) -> None:
        """Records the outcome of a key in flight.

        An answer beyond the byte bounds is replaced by a KEY_ANSWER_DROPPED
        refusal, which states that the request ran.
        """
        entry.finished_at = now
        entry.outcome = self._bound_outcome(entry, outcome)
        self._finished.append((now, entry))

    def export_entries(self, now: float) -> list[KeyEntry]:
        """Returns the entries that the next owner needs.

        Entries that certainly did not run are left out, since they may run
        there.
        """
        self._expire(now)
        return [e for e in self._entries.values() if not e.repeatable]

    def accept_entries(self, entries: Iterable[KeyEntry], now: float) -> bool:
        """Adds entries that a previous owner handed over.

        Entries of requests that ran or may have run in this instance stay.
        Any other entry is replaced by one with a higher verdict, as when a
        later handover has the outcome of a key that an earlier one had in
        flight.

        Returns:
            Whether every entry fits; otherwise none is added, and the previous
            owner's executions count as unrecorded.
        """
        self._expire(now)
        entries = list(entries)
        if len(self._entries) + len(entries) > self._keys_max:
            return False
        for entry in entries:
            existing = self._entries.get(entry.key)
            if (
                existing
                and not existing.repeatable
                and not existing.handed_over
            ):
                continue
            if existing and existing.verdict >= entry.verdict:
                continue
            entry.handed_over = True
            self._entries[entry.key] = entry
            self.finish(entry, entry.outcome or _unknown_outcome(), now)
        return True

    def _bound_outcome(self, entry: KeyEntry, outcome: Outcome) -> Outcome:
        if isinstance(outcome, RefusalError):
            return outcome
        size = len(orjson.dumps(outcome.output))
        fits = self._answer_bytes + size <= self._answers_bytes_max
        if size > self._answer_bytes_max or not fits:
            return RefusalError(
                reason.KEY_ANSWER_DROPPED,
                Verdict.RAN,
                f"The request ran; its answer of {size} bytes was not recorded "
                f"because of the bound of {self._answer_bytes_max} bytes for "
                f"one answer or {self._answers_bytes_max} for all.",
            )
        entry.answer_bytes = size
        self._answer_bytes += size
        return outcome

    def _expire(self, now: float) -> None:
        while self._finished and self._finished[0][0] + self.memory_s < now:
            entry = self._finished.popleft()[1]
            self._answer_bytes -= entry.answer_bytes
            if self._entries.get(entry.key) is entry:
                del self._entries[entry.key]
                self.has_expired_keys |= not entry.repeatable


def _unknown_outcome() -> RefusalError:
    return RefusalError(
        reason.KEY_OWNER_GONE,
        Verdict.MAY_HAVE_RUN,
        "The key was in flight at its previous owner when that handed it over.",
    )
