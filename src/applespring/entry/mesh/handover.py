"""Handover of the key table of an instance that drains."""

from collections.abc import Callable, Iterable, Sequence

import anyio

from applespring.core.errors import MessageError
from applespring.core.key_table import KeyEntry, KeyTable
from applespring.core.owner import Ownership
from applespring.entry.mesh import key_messages
from applespring.entry.mesh.peers import PeerService
from applespring.peer.message import Ack, HandedKey, KeyHandover
from applespring.peer.transport import PeerLostError, PeerUnreachableError

# With the largest recorded answers a part stays below a third of a message.
PART_BYTES_MAX = 512 * 1024
ENTRY_OVERHEAD_BYTES = 512
PART_TIMEOUT_S = 2.0
INCOMPLETE_HANDOVERS_MAX = 8


def split_entries(entries: Iterable[KeyEntry]) -> list[list[HandedKey]]:
    """Returns the entries as message parts of bounded size, at least one."""
    parts: list[list[HandedKey]] = [[]]
    size = 0
    for entry in entries:
        handed = key_messages.to_handed(entry)
        entry_bytes = len(handed.outcome.output) + ENTRY_OVERHEAD_BYTES
        if parts[-1] and size + entry_bytes > PART_BYTES_MAX:
            parts.append([])
            size = 0
        parts[-1].append(handed)
        size += entry_bytes
    return parts


async def send_handover(
    peers: PeerService,
    successors: Sequence[str],
    entries: Iterable[KeyEntry],
    *,
    view_changes: int,
    owned_for_s: float,
) -> bool:
    """Sends the key table of a retired instance to its successors.

    Args:
        peers: The peer service.
        successors: Names of the receivers.
        entries: The entries that a next owner must know.
        view_changes: The sender's count of view changes.
        owned_for_s: What `Ownership.retire` returned.

    Returns:
        Whether every successor accepted the whole table.
    """
    parts = split_entries(entries)
    messages = [
        KeyHandover(
            name=peers.name,
            incarnation=peers.incarnation,
            moves=view_changes,
            owned_for_s=owned_for_s,
            part=index,
            last=index == len(parts) - 1,
            entries=part,
        )
        for index, part in enumerate(parts)
    ]
    accepted: list[str] = []

    async def send_all(successor: str) -> None:
        try:
            for message in messages:
                reply = await peers.request(successor, message, PART_TIMEOUT_S)
                if not isinstance(reply, Ack) or not reply.accepted:
                    return
        except (PeerUnreachableError, PeerLostError, MessageError):
            return
        accepted.append(successor)

    async with anyio.create_task_group() as tasks:
        for successor in successors:
            tasks.start_soon(send_all, successor)
    return len(accepted) == len(successors)


class HandoverReceiver:
    """Collects the parts of handovers and applies each whole one."""

    def __init__(
        self,
        ownership: Ownership,
        table: KeyTable,
        clock: Callable[[], float],
    ) -> None:
        self._ownership = ownership
        self._table = table
        self._clock = clock
        self._received_parts: dict[tuple[str, int], list[list[HandedKey]]] = {}

    async def receive(self, message: KeyHandover) -> Ack:
        """Handles one part; the last one applies the handover."""
        sender = (message.name, message.incarnation)
        parts = self._received_parts.pop(sender, [])
        if message.part == 0:
            parts = []
        if message.part != len(parts):
            return Ack(accepted=False, detail=f"part {len(parts)} is missing")
        parts.append(message.entries)
        if not message.last:
            self._received_parts[sender] = parts
            if len(self._received_parts) > INCOMPLETE_HANDOVERS_MAX:
                del self._received_parts[next(iter(self._received_parts))]
            return Ack()
        return self._apply(message, parts)

    def _apply(self, message: KeyHandover, parts: list[list[HandedKey]]) -> Ack:
        try:
            entries = [
                key_messages.from_handed(e) for part in parts for e in part
            ]
        except MessageError as exc:
            return Ack(accepted=False, detail=str(exc))
        now = self._clock()
        if not self._table.accept_entries(entries, now):
            return Ack(accepted=False, detail="the key table is full")
        self._ownership.accept_handover(
            message.name,
            message.incarnation,
            message.moves,
            max(0.0, message.owned_for_s),
            now,
        )
        return Ack()
