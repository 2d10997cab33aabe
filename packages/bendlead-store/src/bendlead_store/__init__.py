"""Clients of the platform's object service behind common protocols."""

from typing import TYPE_CHECKING, Any

from bendlead_store._failure import Failure, FailureKind
from bendlead_store._protocol import (
    ABSENT,
    Change,
    ChangeBatch,
    Connectivity,
    Entry,
    FollowedStore,
    Listing,
    ObjectStore,
    ValueStore,
    Version,
    VirtualMachine,
)

if TYPE_CHECKING:
    from bendlead_store._embedded import EmbeddedStore
    from bendlead_store._http import HttpStore
    from bendlead_store._opening import open_store

__all__ = (
    'ABSENT',
    'Change',
    'ChangeBatch',
    'Connectivity',
    'EmbeddedStore',
    'Entry',
    'Failure',
    'FailureKind',
    'FollowedStore',
    'HttpStore',
    'Listing',
    'ObjectStore',
    'ValueStore',
    'Version',
    'VirtualMachine',
    'open_store',
)

_IMPLEMENTATIONS = {
    'EmbeddedStore': 'bendlead_store._embedded',
    'HttpStore': 'bendlead_store._http',
    'open_store': 'bendlead_store._opening',
}


def __getattr__(name: str) -> Any:
    """Import an implementation on first use to save memory."""
    module = _IMPLEMENTATIONS.get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    from importlib import import_module  # noqa: PLC0415

    return getattr(import_module(module), name)
