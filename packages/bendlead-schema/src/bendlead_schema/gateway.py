"""Typed gateway, generated from schemas/gateway.json."""

from bendlead_schema._generated.gateway import (
    EngineEvidence,
    HeldShard,
    NodeReport,
    ReportChange,
    StoreAnswer,
    StoreCall,
    StoreOperation,
    SuspectRecord,
    ToldLoad,
    ToldPace,
)

__all__ = (
    'EngineEvidence',
    'HeldShard',
    'NodeReport',
    'ReportChange',
    'StoreAnswer',
    'StoreCall',
    'StoreOperation',
    'SuspectRecord',
    'ToldLoad',
    'ToldPace',
)
