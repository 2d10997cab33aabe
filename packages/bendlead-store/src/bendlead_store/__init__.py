"""The platform's object service behind one protocol."""

from bendlead_store._embedded import EmbeddedStore
from bendlead_store._failure import Failure, FailureKind
from bendlead_store._http import HttpStore
from bendlead_store._opening import open_store
from bendlead_store._protocol import (
    ABSENT,
    Change,
    Entry,
    ObjectStore,
    Version,
    VirtualMachine,
)

__all__ = (
    'ABSENT',
    'Change',
    'EmbeddedStore',
    'Entry',
    'Failure',
    'FailureKind',
    'HttpStore',
    'ObjectStore',
    'Version',
    'VirtualMachine',
    'open_store',
)
