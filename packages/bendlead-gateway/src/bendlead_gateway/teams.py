"""Rate limits of teams over all entries, shared with other packages."""

from bendlead_gateway._teams.limits import TeamLimits
from bendlead_gateway._teams.quota import EntryGroup
from bendlead_gateway._teams.reported_counts import TeamCounts
from bendlead_gateway.types import LimitWindow, NodeName, Team, TeamName

__all__ = (
    'EntryGroup',
    'LimitWindow',
    'NodeName',
    'Team',
    'TeamCounts',
    'TeamLimits',
    'TeamName',
)
