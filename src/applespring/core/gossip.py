"""Which peers receive which message.

The number of receivers is bounded by the group size and `FANOUT`, whatever the
number of instances.
"""

import random
from collections.abc import Hashable, Mapping, Sequence

FANOUT = 3
UPDATES_MAX = 1024


def choose_announce_peers(
    name: str, failure_domain: str, peers: Mapping[str, str], rng: random.Random
) -> list[str]:
    """Returns at most `FANOUT` random peers.

    One is in the own failure domain when there is one, so that news reaches a
    domain that is cut off; the others are anywhere.

    Args:
        name: Name of this instance.
        failure_domain: Its failure domain.
        peers: Name of every listed entry instance to its failure domain.
        rng: Source of randomness.
    """
    names = sorted(n for n in peers if n != name)
    local = [n for n in names if peers[n] == failure_domain]
    chosen = [rng.choice(local)] if local else []
    rest = [n for n in names if n not in chosen]
    chosen += rng.sample(rest, min(FANOUT - len(chosen), len(rest)))
    return chosen


def choose_heartbeat_peers(
    name: str,
    failure_domain: str,
    peers: Mapping[str, str],
    group: Sequence[str],
    rng: random.Random,
) -> list[str]:
    """Returns the receivers of one heartbeat.

    These are the peers of `choose_announce_peers` and, for a member of the own
    key group, the other members, because the lease needs their echoes. Nobody
    echoes an instance outside the group; in a failure domain of 29 instances
    the heartbeats of all of them were most of what a member received.
    """
    chosen = [n for n in group if n != name and n in peers]
    if name not in group:
        chosen = []
    for peer in choose_announce_peers(name, failure_domain, peers, rng):
        if peer not in chosen:
            chosen.append(peer)
    return chosen


class DuplicateFilter:
    """Recognizes the first receipt of a piece of news."""

    def __init__(self) -> None:
        self._seen: dict[Hashable, None] = {}

    def is_first(self, update: Hashable) -> bool:
        """Returns True once for a update while it is remembered."""
        if update in self._seen:
            return False
        self._seen[update] = None
        if len(self._seen) > UPDATES_MAX:
            del self._seen[next(iter(self._seen))]
        return True
