"""Latest quotas of all teams that a VM has seen, for schedulers that begin later."""

from __future__ import annotations

from collections.abc import Iterable

from ..contracts import TeamQuota
from ._events import TeamsChanged

_REMOVED_TEAMS_MAX = 1000
"""Maximum number of removed teams that are remembered; the earliest removed ones are dropped."""


class TeamHistory:
    """Remembers the last quota of teams that the configuration does not list any more.

    The last cap of a removed team stays in force for its jobs, also under a scheduler that begins
    after the removal.
    """

    def __init__(self) -> None:
        self._present: TeamsChanged | None = None
        self._removed: dict[str, TeamQuota] = {}

    def observe(self, teams: Iterable[TeamQuota]) -> TeamsChanged:
        """Record a version of the teams and return the event for the active scheduler."""
        earlier = () if self._present is None else self._present.teams
        self._present = TeamsChanged(tuple(teams))
        self._removed |= {team.team: team for team in earlier}
        for team in self._present.teams:
            self._removed.pop(team.team, None)
        while len(self._removed) > _REMOVED_TEAMS_MAX:
            del self._removed[next(iter(self._removed))]
        return self._present

    def list_events(self) -> list[TeamsChanged]:
        """Return the events for a new scheduler; none before the first version."""
        if self._present is None:
            return []
        everything = TeamsChanged((*self._removed.values(), *self._present.teams))
        return [everything, self._present]
