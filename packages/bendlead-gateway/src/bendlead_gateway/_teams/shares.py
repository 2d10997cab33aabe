"""What each team had lately over all entries, and whose turn it is by that."""

import math
from collections.abc import Callable, Iterable, Mapping
from statistics import fmean

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._scheduling.team_shares import (
    UNCONTESTED,
    ShareUse,
    TeamUsage,
    shares_by_priority,
)
from bendlead_gateway.types import Team, TeamName

#: What a team had counts less by a factor of e after each of these (s): whoever
#: had too little gets its share back within about that time.
LATELY_SECONDS = 1.0
#: So many requests count to nobody's share. They come at random, and a team
#: that sends one a second would be over its share half of the time.
_NOT_COUNTED = 2.0
#: Shares are found anew this often (s), where somebody asks for them.
_LOOK_SECONDS = 0.1
#: Sums are scaled down once their scale has grown by this; teams that had next
#: to nothing since then are dropped.
_MOST_SCALE = 1e6
_NOTHING = 1e-3


class _Found(Struct, frozen=True):
    """Keep the shares by priority that held at some moment."""

    made: float = -math.inf
    by_priority: dict[int, float] = {}  # noqa: RUF012
    usual_weight: float = 1
    #: What each busy team had then.
    had: dict[TeamName, float] = {}  # noqa: RUF012


class TeamShares:
    """Add up what teams had, with less weight the longer ago it was.

    All sums shrink alike, so instead of each of them the scale of what is added
    changes: a look at ten thousand teams is a pass over plain numbers.
    """

    def __init__(
        self,
        team_named: Callable[[TeamName], Team | None],
        now: Callable[[], float] = clock.uptime,
    ) -> None:
        self._team_named = team_named
        self._now = now
        self._since = now()
        self._sums: dict[TeamName, float] = {}
        self._found = _Found()

    def add(self, team: TeamName, requests: float) -> None:
        """Count requests of a team, or take back those that did not run."""
        added = requests * self._scale()
        self._sums[team] = max(0, self._sums.get(team, 0.0) + added)

    def hear(self, came: Mapping[TeamName, int], pause: float) -> None:
        """Count what another entry let through in a pause (s)."""
        # Of what came in a long pause the last part counts.
        part = LATELY_SECONDS / max(pause, LATELY_SECONDS)
        for name, requests in came.items():
            if requests:
                self.add(name, requests * part)

    def turn(self, team: Team | None) -> ShareUse:
        """Tell how a team stands to its share now."""
        if team is None:
            return UNCONTESTED
        return self._turn(team, self._scale(), self._current())

    def summary(self) -> dict[TeamName, dict[str, float]]:
        """Show what teams had and their shares, a second, for the dump."""
        scale = self._scale()
        found = self._current()
        shown: dict[TeamName, dict[str, float]] = {}
        for name, added in self._sums.items():
            team = self._team_named(name)
            if team is None or added < _NOTHING * scale:
                continue
            turn = self._turn(team, scale, found)
            shown[name] = {'had': round(added / scale / LATELY_SECONDS, 2)}
            if turn.share < math.inf:
                shown[name]['share'] = round(turn.share / LATELY_SECONDS, 2)
        return shown

    def _turn(self, team: Team, scale: float, found: _Found) -> ShareUse:
        share = found.by_priority.get(team.priority)
        if share is None:
            return ShareUse(self._sums.get(team.name, 0.0) / scale)
        # Of the same moment as the share: in a burst that rises, a lone team
        # would be over what it had a moment ago.
        had = found.had.get(team.name, 0.0)
        weight = team.rate or found.usual_weight
        return ShareUse(had, share * weight + _NOT_COUNTED)

    def _scale(self) -> float:
        """Give what a request counts that comes now."""
        scale = math.exp((self._now() - self._since) / LATELY_SECONDS)
        if scale < _MOST_SCALE:
            return scale
        self._since = self._now()
        self._sums = {
            name: added / scale
            for name, added in self._sums.items()
            if added > _NOTHING * scale
        }
        return 1

    def _current(self) -> _Found:
        now = self._now()
        if now - self._found.made >= _LOOK_SECONDS:
            self._found = self._find(now)
        return self._found

    def _find(self, now: float) -> _Found:
        known = self._beyond(_NOT_COUNTED)
        usual = _usual_weight(team for team, _had in known)
        found = shares_by_priority(
            [
                TeamUsage(had, team.rate or usual, team.priority)
                for team, had in known
            ]
        )
        had = {team.name: had + _NOT_COUNTED for team, had in known}
        return _Found(now, dict(found), usual, had)

    def _beyond(self, least: float) -> list[tuple[Team, float]]:
        """List what teams had beyond some requests.

        A team that was removed has no share any more.
        """
        scale = self._scale()
        scaled = least * scale
        busy = [
            (self._team_named(name), (added - scaled) / scale)
            for name, added in self._sums.items()
            if added > scaled
        ]
        return [(team, had) for team, had in busy if team is not None]


def _usual_weight(teams: Iterable[Team]) -> float:
    """Give the weight of a team without a limit among those with one."""
    limits = [team.rate for team in teams if team.limited]
    return fmean(limits) if limits else 1
