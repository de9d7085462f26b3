"""Choice among upstreams of equal or nearly equal cost.

All instances hear the same news of an upstream at about the same time. If each
chose the least cost of all, they would all choose the same upstream until the
next news. So an instance compares only a few upstreams, other ones for each
request: two choices are enough to keep the longest queue short (Mitzenmacher,
"The power of two choices in randomized load balancing", 2001). An instance that
sends a large part of the load itself knows more of it, and compares more.
"""

import hashlib
from collections.abc import Callable, Sequence

from applespring.core.catalog import ListedUpstream

CHOICES_MIN = 2
# More choices hardly shorten the queues, and each takes processor time.
CHOICES_MAX = 4


def choice_count(upstreams: int, instances: int) -> int:
    """Returns how many upstreams an instance compares for a request.

    Its part of them, at least `CHOICES_MIN` and at most `CHOICES_MAX`.

    Args:
        upstreams: Number of upstreams.
        instances: Number of instances that use them, this one included.
    """
    part = -(-upstreams // max(1, instances))
    return min(upstreams, CHOICES_MAX, max(CHOICES_MIN, part))


def request_seed(instance: str, request: str) -> int:
    """Returns a number that differs by instance and request."""
    data = f"{instance}\0{request}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def draw(
    upstreams: Sequence[ListedUpstream], count: int, seed: int
) -> list[ListedUpstream]:
    """Returns different upstreams, in an order that the seed decides.

    Every upstream is equally likely to be at each place.

    Args:
        upstreams: The upstreams.
        count: How many are drawn; all if there are not that many.
        seed: Result of `request_seed`.
    """
    rest = list(upstreams)
    drawn = []
    for _ in range(min(count, len(rest))):
        # Draws without replacement by Fisher and Yates. A step of a linear
        # congruential generator (Knuth, MMIX) gives the next number.
        seed = (seed * 6364136223846793005 + 1442695040888963407) % 2**64
        index = (seed >> 33) % len(rest)
        rest[index], rest[-1] = rest[-1], rest[index]
        drawn.append(rest.pop())
    return drawn


def choose(
    upstreams: Sequence[ListedUpstream],
    cost: Callable[[ListedUpstream], float],
    *,
    failure_domain: str,
    instances: int,
    seed: int,
) -> ListedUpstream | None:
    """Returns an upstream of low cost, or None without any.

    The comparison includes upstreams of this instance's failure domain and of
    others, so that it is never limited to calls across domains.

    Args:
        upstreams: Upstreams that may get the request.
        cost: Returns the cost of the request at an upstream.
        failure_domain: Failure domain of this instance.
        instances: Number of instances that use them, this one included.
        seed: Result of `request_seed`.
    """
    local = [u for u in upstreams if u.failure_domain == failure_domain]
    others = [u for u in upstreams if u.failure_domain != failure_domain]
    drawn = [
        upstream
        for group in (local, others)
        for upstream in draw(group, choice_count(len(group), instances), seed)
    ]
    # The first of equal ones, in the order that was drawn.
    return min(drawn, key=cost, default=None)
