"""Handover of the key table of a draining instance to its successors."""

from collections.abc import Callable, Iterable, Sequence

import anyio

from applespring.core.errors import MessageError
from applespring.core.key_table import KeyEntry, KeyTable
from applespring.core.owner import Ownership
from applespring.entry.mesh import key_messages
from applespring.entry.mesh.peers import PeerService
from applespring.peer.message import Ack, HandedKey, KeyHandover
from applespring.peer.transport import PeerLostError, PeerUnreachableError

# Keeps a part below a third of the largest message, even with answers of the
# largest size that a key table records.
PART_BYTES_MAX = 512 * 1024
# Allowance for all fields of an entry except its answer.
ENTRY_OVERHEAD_BYTES = 512
PART_TIMEOUT_S = 2.0
INCOMPLETE_HANDOVERS_MAX = 8


def split_entries(entries: Iterable[KeyEntry]) -> list[list[HandedKey]]:
    """Splits entries into parts of at most `PART_BYTES_MAX`.

    There is at least one part: an empty table is handed over as an empty part.
    """
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
    """Sends the key table of a retired instance to all successors at once.

    Args:
        peers: The peer service.
        successors: Names of the receiving instances.
        entries: The entries that the next owner needs.
        view_changes: Number of view changes that the sender has counted.
        owned_for_s: Seconds for which the table has recorded every execution
            of its keys, as returned by `Ownership.retire`.

    Returns:
        Whether every successor accepted the complete table.
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
    accepted_by: list[str] = []

    async def send_all(successor: str) -> None:
        try:
            for message in messages:
                reply = await peers.request(successor, message, PART_TIMEOUT_S)
                if not isinstance(reply, Ack) or not reply.accepted:
                    return
        except (PeerUnreachableError, PeerLostError, MessageError):
            return
        accepted_by.append(successor)

    async with anyio.create_task_group() as tasks:
        for successor in successors:
            tasks.start_soon(send_all, successor)
    return len(accepted_by) == len(successors)


class HandoverReceiver:
    """Collects the parts of handovers and applies those that are complete."""

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
        """Accepts parts in their order; the last one applies the handover.

        Part 0 discards earlier parts of the same sender. At most
        `INCOMPLETE_HANDOVERS_MAX` incomplete handovers are kept; beyond that
        the one that received a part least recently is discarded.
        """
        sender = (message.name, message.incarnation)
        parts = self._received_parts.pop(sender, [])
        if message.part == 0:
            parts = []
        if message.part != len(parts):
            return Ack(
                accepted=False,
                detail=f"got part {message.part}; part {len(parts)} is missing",
            )
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
            return Ack(
                accepted=False,
                detail=f"the key table is full; {len(entries)} entries refused",
            )
        self._ownership.accept_handover(
            message.name,
            message.incarnation,
            message.moves,
            max(0.0, message.owned_for_s),
            now,
        )
        return Ack()
