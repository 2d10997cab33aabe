"""Take up what the settings file says anew while the process runs."""

from typing import Protocol

from bendlead_store import FollowedStore
from msgspec.structs import fields
from result import Err, Result

from bendlead_gateway._log import Log
from bendlead_gateway.types import NodeSettings

#: What is fixed for the life of a process: it listens there, and peers know it.
_FIXED = frozenset(
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
    """Tell of new settings."""

    def changed(self) -> Result[NodeSettings | None, str]:
        """Give new settings, nothing, or why they can't be read."""


class Reloader:
    """Compare new settings with those in force, and say what became of them."""

    def __init__(
        self, source: SettingsSource, store: FollowedStore, log: Log
    ) -> None:
        self._source = source
        self._store = store
        self._log = log

    def reload(self, settings: NodeSettings, *, asked: bool) -> NodeSettings:
        """Give the settings in force from now on.

        Times hold at once, a new address of the object service too; the rest
        waits for the next start. Nothing is logged of a look without news that
        nobody asked for.
        """
        found = self._source.changed()
        if isinstance(found, Err):
            self._log.event('reload-failed', reason=found.err_value)
            return settings
        fresh = found.ok_value
        if fresh is None:
            if asked:
                self._log.event('reload', changed='nothing')
            return settings
        changed = _changed(settings, fresh)
        if 'store_address' in changed:
            self._store.move(fresh.store_address)
        self._log.event(
            'reload',
            changed=','.join(changed) or 'nothing',
            at_next_start=','.join(_FIXED.intersection(changed)) or 'nothing',
        )
        return fresh


def _changed(before: NodeSettings, after: NodeSettings) -> list[str]:
    return [
        one.name
        for one in fields(NodeSettings)
        if getattr(before, one.name) != getattr(after, one.name)
    ]
