"""Typed gateway, generated from schemas/gateway.json."""

from bendlead_schema._generated.gateway import (
    EngineEvidence,
    HeldShard,
    NodeReport,
    OriginQuery,
    ReportChange,
    StoreAnswer,
    StoreCall,
    StoreOperation,
    StreamOrigin,
    StreamOrigins,
    SuspectRecord,
    ToldLoad,
    ToldPace,
)

__all__ = (
    'EngineEvidence',
    'HeldShard',
    'NodeReport',
    'OriginQuery',
    'ReportChange',
    'StoreAnswer',
    'StoreCall',
    'StoreOperation',
    'StreamOrigin',
    'StreamOrigins',
    'SuspectRecord',
    'ToldLoad',
    'ToldPace',
)
