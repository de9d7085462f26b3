"""Rendezvous hashing, and the assignment of caller-chosen keys by it.

Keys are assigned to failure domains and instances. The hashed strings decide on
owners, so instances with different versions of them would disagree.
"""

from collections.abc import Iterable, Mapping, Sequence

import xxhash

GROUP_MAX = 5
# Instances whose link is below this fraction of the fastest one are ranked last
# as schedulers.
SCHEDULER_LINK_SHARE = 0.5


def _weight(subject: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\x1f{member}".encode())


def rank(subject: str, members: Iterable[str]) -> list[str]:
    """Returns the members in the order of rendezvous hashing.

    Every instance gets the same order for a subject, whatever the order of the
    members; a member that is added or removed does not reorder the others.
    """
    return sorted(set(members), key=lambda m: (-_weight(subject, m), m))


def split_point(request: str) -> float:
    """Returns the point of a request in 0 up to but not including 1.

    It decides between the pools of a route, so it is the same in every
    instance, unlike `hash`.
    """
    return (_weight("split", request) >> 11) / (1 << 53)


def rank_schedulers(pool: str, links: Mapping[str, float]) -> list[str]:
    """Returns the instances that may schedule a pool, best first.

    Every instance computes the same order from the same candidates. Those with
    a slow link come last, since every request of the pool sends messages to the
    scheduler.

    Args:
        pool: Name of the pool.
        links: Link speed of each candidate.
    """
    min_link = SCHEDULER_LINK_SHARE * max(links.values(), default=0.0)
    ranked = rank(f"queue\x1f{pool}", links)
    return sorted(ranked, key=lambda name: links[name] < min_link)


def choose_domain(key: str, failure_domains: Sequence[str], home: str) -> str:
    """Returns the failure domain that owns a key.

    Depends on the configured failure domains, never on the instance list, which
    may be shorter during a partition. `home` wins if it is not empty. Returns
    "" if no failure domain is configured.
    """
    if home:
        return home
    ranked = rank(f"domain\x1f{key}", failure_domains)
    return ranked[0] if ranked else ""


def choose_group(failure_domain: str, names: Iterable[str]) -> tuple[str, ...]:
    """Returns the sorted names of the key group of a failure domain.

    It has at most `GROUP_MAX` of the names given.
    """
    ranked = rank(f"group\x1f{failure_domain}", names)
    return tuple(sorted(ranked[:GROUP_MAX]))


def choose_owner(key: str, group: Sequence[str]) -> str:
    """Returns the member that owns a key, or "" in an empty group."""
    ranked = rank(f"key\x1f{key}", group)
    return ranked[0] if ranked else ""


def view_digest(failure_domain: str, group: Sequence[str]) -> int:
    """Returns a 64-bit digest of a group; never 0, which stands for no view."""
    text = "\x1f".join((failure_domain, *group))
    return xxhash.xxh3_64_intdigest(text.encode()) or 1
