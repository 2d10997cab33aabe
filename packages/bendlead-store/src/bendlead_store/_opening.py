"""Choice of the object store by the settings."""

from bendlead_schema.settings import StoreKind, StoreSettings

from bendlead_store._embedded import EmbeddedStore
from bendlead_store._http import HttpStore
from bendlead_store._protocol import ObjectStore


def open_store(settings: StoreSettings) -> ObjectStore:
    """Return the embedded store or a client of the object service."""
    if settings.kind is StoreKind.embedded:
        return EmbeddedStore(settings.path)
    return HttpStore(settings.address, settings.timeout)
