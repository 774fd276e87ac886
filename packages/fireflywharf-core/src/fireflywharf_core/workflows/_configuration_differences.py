"""Differences between two versions of the operators' configuration."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from ._configuration_check import Path, describe_value, list_rows

_MISSING = "missing"
_LISTS = ("queues", "services", "teams")


@attrs.frozen(slots=True)
class Difference:
    """One value that differs between two versions.

    Args:
        path: names of fields that lead to the value; entries of lists are given by name.
        current: value in force.
        new: value in the new version.
    """

    path: Path
    current: str
    new: str


def _index_rows(raw: dict, section: str) -> dict[str | int, dict]:
    """Return the entries of a list by name; by index if the name is missing or not the first."""
    rows: dict[str | int, dict] = {}
    for index, row in list_rows(raw, section):
        name = row.get("name")
        rows[name if isinstance(name, str) and name not in rows else index] = row
    return rows


def _list_digests(value: object) -> set[bytes]:
    rows = value if isinstance(value, list) else ()
    return {digest for digest in rows if isinstance(digest, bytes)}


def _compare_keys(path: Path, current: object, new: object) -> Iterator[Difference]:
    old_keys, new_keys = _list_digests(current), _list_digests(new)
    if old_keys != new_keys:
        added, removed = len(new_keys - old_keys), len(old_keys - new_keys)
        counts = f"keys: {len(new_keys)}, added: {added}, removed: {removed}"
        yield Difference(path, f"keys: {len(old_keys)}", counts)


def _compare_objects(path: Path, current: dict, new: dict) -> Iterator[Difference]:
    for name in sorted(current.keys() | new.keys()):
        inner = (*path, name)
        old_value, new_value = current.get(name), new.get(name)
        if path[:1] == ("teams",) and name == "keys":
            yield from _compare_keys(inner, old_value, new_value)
        elif isinstance(old_value, dict) and isinstance(new_value, dict):
            yield from _compare_objects(inner, old_value, new_value)
        elif old_value != new_value or (name in current) != (name in new):
            yield Difference(
                inner,
                describe_value(inner, old_value) if name in current else _MISSING,
                describe_value(inner, new_value) if name in new else _MISSING,
            )


def find_differences(current: object, new: object) -> list[Difference]:
    """Return what differs between two versions; a change of the order of entries is none.

    Args:
        current: configuration in force, see `check_configuration`.
        new: new configuration.

    Returns:
        The differences; an entry that only one version has is one difference.

    Example:
        >>> find_differences({"version": 1}, {"version": 2})
        [Difference(path=('version',), current='1', new='2')]
    """
    if not isinstance(current, dict) or not isinstance(new, dict):
        return []
    plain = [
        {name: value for name, value in raw.items() if name not in _LISTS} for raw in (current, new)
    ]
    differences = list(_compare_objects((), *plain))
    for section in _LISTS:
        old_rows, new_rows = _index_rows(current, section), _index_rows(new, section)
        for label in sorted(old_rows.keys() | new_rows.keys(), key=str):
            path = (section, label)
            if label not in old_rows:
                differences.append(Difference(path, _MISSING, "added"))
            elif label not in new_rows:
                differences.append(Difference(path, "present", "removed"))
            else:
                differences += _compare_objects(path, old_rows[label], new_rows[label])
    return differences
