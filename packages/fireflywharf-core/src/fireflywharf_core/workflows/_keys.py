"""Keys with which callers prove their team."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping


def digest_key(key: str) -> bytes:
    """Return the SHA-256 digest of a key."""
    return hashlib.sha256(key.encode(errors="surrogatepass")).digest()


class TeamKeys:
    """Looks up the team of a key; holds only the digests of the keys.

    A lookup by digest takes the same time whatever prefix of a key is right.

    Args:
        keys_by_team: keys of each team. A key of two teams belongs to neither.

    Example:
        >>> TeamKeys({"austral": ["k1", "k2"]}).find_team("k2")
        'austral'
    """

    __slots__ = ("_team_by_digest",)

    def __init__(self, keys_by_team: Mapping[str, Iterable[str]] | None = None) -> None:
        self._team_by_digest: dict[bytes, str] = {}
        ambiguous = set()
        for team, keys in (keys_by_team or {}).items():
            for digest in map(digest_key, keys):
                if self._team_by_digest.setdefault(digest, team) != team:
                    ambiguous.add(digest)
        for digest in ambiguous:
            del self._team_by_digest[digest]

    def find_team(self, key: str) -> str | None:
        """Return the name of the team that the key belongs to, or None."""
        return self._team_by_digest.get(digest_key(key))

    def __repr__(self) -> str:
        return f"TeamKeys(keys_count={len(self._team_by_digest)})"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, TeamKeys) and self._team_by_digest == other._team_by_digest

    __hash__ = None
