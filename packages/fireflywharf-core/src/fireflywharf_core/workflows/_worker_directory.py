"""Selection of the directory entries that name workers."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import attrs

from ._specs import WorkerInfo


class WorkerDirectory:
    """Selects the entries whose service is known; other writers may add entries of their own.

    A service is known once a configuration or an accepted job has named it, and remains so: the
    runs on its workers must be renewed, stopped and reported also after it was dropped. An entry
    that precedes its service in the configuration counts as soon as the service is known.

    An entry that is unreadable or has an unknown service names no worker to use, but says nothing
    about the worker whose id it has. That worker keeps its earlier entry, without new runs, until
    the id is removed or has an entry of its own again.

    Example:
        >>> directory = WorkerDirectory()
        >>> directory.observe_services(["batch"])
        >>> directory.select({})
        {}
    """

    def __init__(self) -> None:
        self._services: set[str] = set()
        self._selected: dict[str, WorkerInfo] = {}
        self._unknown: dict[str, str] = {}

    def observe_services(self, services: Iterable[str]) -> None:
        """Add services that a configuration or an accepted job names."""
        self._services.update(services)

    def select(
        self, entries: Mapping[str, WorkerInfo], unreadable_ids: Collection[str] = ()
    ) -> Mapping[str, WorkerInfo]:
        """Return the workers by id.

        Args:
            entries: all readable entries by id.
            unreadable_ids: ids whose latest entry is unreadable.
        """
        selected = {i: info for i, info in entries.items() if info.service in self._services}
        for worker_id in {*entries, *unreadable_ids} - selected.keys():
            earlier = self._selected.get(worker_id)
            if earlier is not None:
                selected[worker_id] = attrs.evolve(earlier, suspended=True)
        self._selected = selected
        return selected

    def pop_unknown(self, entries: Mapping[str, WorkerInfo]) -> dict[str, str]:
        """Return the unknown services by id of the entry that were not returned before."""
        unknown = {
            worker_id: info.service
            for worker_id, info in entries.items()
            if info.service not in self._services
        }
        added = {i: name for i, name in unknown.items() if self._unknown.get(i) != name}
        self._unknown = unknown
        return added
