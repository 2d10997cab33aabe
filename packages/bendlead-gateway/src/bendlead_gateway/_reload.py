"""Reload of the settings file while the process runs."""

from typing import Protocol

from bendlead_store import FollowedStore
from msgspec.structs import fields
from result import Err, Result

from bendlead_gateway._log import Log
from bendlead_gateway.types import NodeSettings

#: Settings that take effect at the next start only: addresses and identity.
_RESTART_REQUIRED = frozenset(
    (
        'node',
        'role',
        'hall',
        'address',
        'internal_port',
        'clients_address',
        'ready_address',
        'descriptors',
    ),
)


class SettingsSource(Protocol):
    """Source of settings, such as a file, that detects changes."""

    def changed(self) -> Result[NodeSettings | None, str]:
        """Return changed settings, None if unchanged, or the read error."""


class Reloader:
    """Applies changed settings to the running process and logs the outcome."""

    def __init__(
        self, source: SettingsSource, store: FollowedStore, log: Log
    ) -> None:
        self._source = source
        self._store = store
        self._log = log

    def reload(
        self, settings: NodeSettings, *, requested: bool
    ) -> NodeSettings:
        """Return the settings in force from now on.

        Durations and the address of the object service apply at once, the
        other settings at the next start. An unchanged file is logged only if
        the reload was requested by a signal.
        """
        source_settings = self._source.changed()
        if isinstance(source_settings, Err):
            self._log.event('reload-failed', reason=source_settings.err_value)
            return settings
        latest = source_settings.ok_value
        if latest is None:
            if requested:
                self._log.event('reload', changed='nothing')
            return settings
        changed = _changed_fields(settings, latest)
        if 'store_address' in changed:
            self._store.use_address(latest.store_address)
        self._log.event(
            'reload',
            changed=','.join(changed) or 'nothing',
            at_next_start=','.join(_RESTART_REQUIRED.intersection(changed))
            or 'nothing',
        )
        return latest


def _changed_fields(previous: NodeSettings, latest: NodeSettings) -> list[str]:
    return [
        field.name
        for field in fields(NodeSettings)
        if getattr(previous, field.name) != getattr(latest, field.name)
    ]
