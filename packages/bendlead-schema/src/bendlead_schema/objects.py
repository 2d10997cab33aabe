"""Typed objects, generated from schemas/objects.json."""

from bendlead_schema._generated.objects import (
    PlannedStop,
    Policy,
    Service,
    ServiceKind,
    Team,
)

__all__ = (
    'PlannedStop',
    'Policy',
    'Service',
    'ServiceKind',
    'Team',
)
