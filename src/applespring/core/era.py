"""Order of a registry's revisions across its eras.

A registry that comes back from a copy gives out revisions again that it has
given out before, and begins another era. A number with the era above the
revision orders both, and is the revision itself in era 0.
"""

# Revisions below 2^48 leave 15 bits for the era in a signed 64-bit number.
_REVISION_BITS = 48
REVISION_MAX = (1 << _REVISION_BITS) - 1
ERA_MAX = (1 << 15) - 1


def join_era(era: int, revision: int) -> int:
    """Returns the number that orders a revision of an era.

    Raises:
        ValueError: One of them is out of range.
    """
    if not 0 <= era <= ERA_MAX:
        raise ValueError(f"era {era} is not within 0 and {ERA_MAX}")
    if not 0 <= revision <= REVISION_MAX:
        raise ValueError(
            f"revision {revision} is not within 0 and {REVISION_MAX}"
        )
    return era << _REVISION_BITS | revision


def era_of(joined: int) -> int:
    """Returns the era of a number that `join_era` made."""
    return joined >> _REVISION_BITS


def revision_of(joined: int) -> int:
    """Returns the revision of a number that `join_era` made."""
    return joined & REVISION_MAX
