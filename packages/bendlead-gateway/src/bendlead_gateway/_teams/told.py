"""What other entries told of the requests that they let through."""

from collections.abc import Mapping

from msgspec import Struct, field

from bendlead_gateway.types import TeamName

#: Weight of the newest rate, which holds over some tenths of a second.
_NEWEST = 0.5
#: An entry that was not heard for longer than this (s) is none of the group,
#: and its part is left out elsewhere.
_LONGEST_UNSEEN = 1.5
#: Two counts that are closer than this (s) tell no rate.
_SHORTEST_PAUSE = 0.02


class TeamCounts(Struct, frozen=True):
    """Tell the requests of each team let through in one life of an entry.

    ``life`` is the Unix millisecond of its start. Teams that had none lately
    are left out.
    """

    life: int = 0
    counts: Mapping[TeamName, int] = field(default_factory=dict)


class _Known(Struct):
    """Keep the count of one team at one entry."""

    count: int
    heard: float
    rate: float = 0

    def take(self, count: int, heard: float) -> int:
        """Take a later count; give how many came since the one before."""
        added = count - self.count
        pause = heard - self.heard
        if pause >= _SHORTEST_PAUSE:
            self.rate += (max(0, added) / pause - self.rate) * _NEWEST
            self.heard = heard
        self.count = count
        return added


class ToldByEntry(Struct):
    """Keep what one entry told last, on the steady clock (s)."""

    life: int = 0
    version: int = -1
    heard: float = 0
    _teams: dict[TeamName, _Known] = field(default_factory=dict)

    def take(
        self, told: TeamCounts, version: int, heard: float, *, new: bool
    ) -> dict[TeamName, int]:
        """Take its counts and give what was added.

        What it had let through before it was first heard counts where the
        entry is ``new``; else that is known from others, or long past.
        """
        older = told.life < self.life or version < self.version
        if older and heard - self.heard < _LONGEST_UNSEEN:
            # It came by a longer way than what is known. Later on it is a new
            # life of a machine whose clock was set back.
            return {}
        if told.life != self.life:
            new = new or self.life > 0
            self.life = told.life
            self._teams.clear()
        self.heard = max(self.heard, heard)
        if version == self.version:
            return {}
        self.version = version
        added: dict[TeamName, int] = {}
        for team, count in told.counts.items():
            known = self._teams.get(team)
            if known is None:
                self._teams[team] = _Known(count, heard)
                added[team] = count if new else 0
            else:
                added[team] = known.take(count, heard)
        for team, idle in self._teams.items():
            if team not in told.counts:
                idle.rate = 0
        return added

    def unseen(self, team: TeamName, now: float) -> float:
        """Estimate the requests of a team that it let through since then."""
        known = self._teams.get(team)
        if known is None:
            return 0
        age = max(0, now - self.heard)
        return known.rate * age if age < _LONGEST_UNSEEN else 0
