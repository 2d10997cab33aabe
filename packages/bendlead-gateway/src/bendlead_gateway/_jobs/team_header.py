"""The header with which an entry names a relayed request's team.

Entries do not relay the keys themselves.
"""

from bendlead_gateway.types import Headers, TeamName

_HEADER = 'X-Bendlead-Team'


def set_team(headers: Headers, team: TeamName) -> list[tuple[str, str]]:
    """Return headers that name the team, replacing any that a client sent."""
    relayed = [
        (name, text)
        for name, text in headers
        if name.lower() != _HEADER.lower()
    ]
    relayed.append((_HEADER, team))
    return relayed


def read_team(headers: Headers) -> TeamName:
    """Return the team that the entry named, an empty name if none."""
    for name, text in headers:
        if name.lower() == _HEADER.lower():
            return TeamName(text)
    return TeamName('')
