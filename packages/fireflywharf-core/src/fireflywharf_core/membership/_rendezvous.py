"""Assignment of resources to members by rendezvous hashing."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache


@lru_cache(maxsize=65_536)
def _score(resource: str, member: str) -> int:
    digest = hashlib.blake2b(f"{resource}\x00{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_members(resource: str, members: Iterable[str]) -> list[str]:
    """Return the members in the order of preference to own `resource`."""
    return sorted(members, key=lambda member: (_score(resource, member), member), reverse=True)


def assign_owner(resource: str, members: Iterable[str]) -> str | None:
    """Return the member that should own `resource`, or None without members.

    When a member leaves, only its resources move. When one joins, only resources that it should own
    move.

    Example:
        >>> assign_owner("target-1", ["a"])
        'a'
    """
    return max(members, key=lambda member: (_score(resource, member), member), default=None)
