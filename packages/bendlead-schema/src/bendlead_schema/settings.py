"""Typed settings, generated from schemas/settings.json."""

from bendlead_schema._generated.settings import (
    EngineKind,
    EngineSettings,
    LedgerSettings,
    LimitSettings,
    NodeSettings,
    Profile,
    Role,
    StoreKind,
    StoreSettings,
)

__all__ = (
    'EngineKind',
    'EngineSettings',
    'LedgerSettings',
    'LimitSettings',
    'NodeSettings',
    'Profile',
    'Role',
    'StoreKind',
    'StoreSettings',
)
