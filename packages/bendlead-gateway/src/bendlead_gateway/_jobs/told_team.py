"""Tell an owner whose call an entry passes on; keys stay at the entry."""

from bendlead_gateway.types import Headers, TeamName

_HEADER = 'X-Bendlead-Team'


def tell_team(headers: Headers, team: TeamName) -> list[tuple[str, str]]:
    """Name the team of a call, whatever its client wrote there."""
    told = [
        (name, text)
        for name, text in headers
        if name.lower() != _HEADER.lower()
    ]
    told.append((_HEADER, team))
    return told


def told_team(headers: Headers) -> TeamName:
    """Read the team that an entry told; nobody where it told none."""
    for name, text in headers:
        if name.lower() == _HEADER.lower():
            return TeamName(text)
    return TeamName('')
