"""Conversion of upstream entries to messages between instances and back."""

from collections.abc import Iterable

from loguru import logger

from applespring.core.catalog import ListedUpstream, UpstreamState
from applespring.core.cold_upstreams import COLD_MAX_S
from applespring.core.errors import MessageError
from applespring.core.upstream_check import check_upstream
from applespring.peer import message

# Value of `UpstreamEntry.cold_s` if the entry does not say.
NOT_KNOWN = -1.0


def encode_upstream(
    upstream: ListedUpstream, cold_s: float
) -> message.UpstreamEntry:
    """Returns the entry of an upstream that is cold for `cold_s` more."""
    return message.UpstreamEntry(
        name=upstream.name,
        born_ms=upstream.born_ms,
        pool=upstream.pool,
        address=upstream.address,
        failure_domain=upstream.failure_domain,
        slots=upstream.slots,
        state=upstream.state.value,
        revision=upstream.revision,
        cold_s=cold_s,
    )


def decode_upstreams(
    entries: Iterable[message.UpstreamEntry], source: str
) -> Iterable[ListedUpstream]:
    """Yields the upstreams of a peer's entries; a malformed one is logged.

    Args:
        entries: The entries.
        source: Name of the peer.
    """
    for entry in entries:
        try:
            yield _decode_upstream(entry)
        except MessageError as exc:
            logger.bind(
                event="entries_rejected", source=source, upstream=entry.name
            ).error(
                "an upstream entry from instance {} is ignored: {}", source, exc
            )


def _decode_upstream(entry: message.UpstreamEntry) -> ListedUpstream:
    """Returns the upstream of an entry.

    Raises:
        MessageError: A field is out of range.
    """
    try:
        state = UpstreamState(entry.state)
    except ValueError as exc:
        raise MessageError(
            f"upstream {entry.name} has the unknown state {entry.state!r}"
        ) from exc
    upstream = ListedUpstream(
        name=entry.name,
        born_ms=entry.born_ms,
        pool=entry.pool,
        address=entry.address,
        failure_domain=entry.failure_domain,
        slots=entry.slots,
        state=state,
        revision=entry.revision,
        cold_s=entry.cold_s if 0.0 <= entry.cold_s <= COLD_MAX_S else None,
    )
    check_upstream(upstream)
    return upstream
