"""Conversion of upstream entries to messages between instances and back."""

from collections.abc import Iterable

from applespring.core.catalog import ListedUpstream, UpstreamState
from applespring.core.cold_upstreams import COLD_MAX_S
from applespring.core.errors import MessageError
from applespring.core.upstream_check import check_upstream
from applespring.peer import message
from applespring.relay.registry import EntryChange

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
    entries: Iterable[message.UpstreamEntry],
) -> tuple[list[ListedUpstream], list[EntryChange]]:
    """Returns the upstreams of a peer's entries, and the malformed entries."""
    upstreams: list[ListedUpstream] = []
    rejected: list[EntryChange] = []
    for entry in entries:
        try:
            upstreams.append(_decode_upstream(entry))
        except MessageError as exc:
            rejected.append(
                EntryChange(entry.name, None, entry.revision, fault=str(exc))
            )
    return upstreams, rejected


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
