"""Choice of the peers that receive a heartbeat or an announcement.

The number of receivers is bounded by the size of the key group and `FANOUT`,
regardless of the number of instances.
"""

import random
from collections.abc import Hashable, Mapping, Sequence

FANOUT = 3
UPDATES_MAX = 1024


def choose_announce_peers(
    name: str, failure_domain: str, peers: Mapping[str, str], rng: random.Random
) -> list[str]:
    """Returns at most `FANOUT` random peers.

    One is in the local failure domain if it has another instance, so that
    updates spread within a domain that is cut off; the others are anywhere.

    Args:
        name: Name of this instance.
        failure_domain: Its failure domain.
        peers: Name of every listed entry instance to its failure domain.
        rng: Generator for the random choice.
    """
    names = sorted(n for n in peers if n != name)
    local = [n for n in names if peers[n] == failure_domain]
    chosen = [rng.choice(local)] if local else []
    remaining = [n for n in names if n not in chosen]
    chosen += rng.sample(remaining, min(FANOUT - len(chosen), len(remaining)))
    return chosen


def choose_heartbeat_peers(
    name: str,
    failure_domain: str,
    peers: Mapping[str, str],
    group: Sequence[str],
    rng: random.Random,
) -> list[str]:
    """Returns the receivers of one heartbeat.

    These are the peers of `choose_announce_peers` and, if this instance is a
    member of its key group, the other members, because its lease depends on
    their echoes. An instance outside the group does not send to all members:
    nobody echoes it, and in a failure domain of 29 instances the heartbeats of
    all of them made up most of what a member received.
    """
    chosen = [n for n in group if n != name and n in peers]
    if name not in group:
        chosen = []
    for peer in choose_announce_peers(name, failure_domain, peers, rng):
        if peer not in chosen:
            chosen.append(peer)
    return chosen


class DuplicateFilter:
    """Recognizes updates that were received before.

    The last `UPDATES_MAX` are recorded; an older one counts as new again.
    """

    def __init__(self) -> None:
        self._seen: dict[Hashable, None] = {}

    def is_first(self, update: Hashable) -> bool:
        """Whether the update is not recorded yet; records it."""
        if update in self._seen:
            return False
        self._seen[update] = None
        if len(self._seen) > UPDATES_MAX:
            del self._seen[next(iter(self._seen))]
        return True
