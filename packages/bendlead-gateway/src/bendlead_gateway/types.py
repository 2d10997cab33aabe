"""Data types for routes, engines, requests, jobs and teams."""

from bendlead_gateway._types.engines import (
    Engine,
    EngineAnswer,
    EngineState,
)
from bendlead_gateway._types.ids import (
    DataHall,
    EngineId,
    EngineVersion,
    ItemId,
    JobId,
    NodeName,
    PromptPart,
    RequestId,
    ServiceName,
)
from bendlead_gateway._types.jobs import (
    EndJob,
    ItemOutcome,
    ItemResult,
    JobCall,
    JobItem,
    ReadBody,
    ReadResults,
    Submission,
)
from bendlead_gateway._types.nodes import (
    NodeRole,
    NodeSettings,
    PeerRecord,
    StopOrder,
)
from bendlead_gateway._types.requests import (
    Headers,
    RequestFacts,
)
from bendlead_gateway._types.routes import (
    ClientLimits,
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from bendlead_gateway._types.teams import (
    KeyDigest,
    LimitWindow,
    Team,
    TeamName,
    digest_key,
)

__all__ = (
    'ClientLimits',
    'Configuration',
    'DataHall',
    'EndJob',
    'Engine',
    'EngineAnswer',
    'EngineId',
    'EngineState',
    'EngineVersion',
    'Headers',
    'ItemId',
    'ItemOutcome',
    'ItemResult',
    'JobCall',
    'JobId',
    'JobItem',
    'KeyDigest',
    'LimitWindow',
    'NodeName',
    'NodeRole',
    'NodeSettings',
    'PeerRecord',
    'PromptPart',
    'ReadBody',
    'ReadResults',
    'RequestFacts',
    'RequestId',
    'Route',
    'RouteKind',
    'Service',
    'ServiceName',
    'ServiceShare',
    'StopOrder',
    'Submission',
    'Team',
    'TeamName',
    'digest_key',
)
