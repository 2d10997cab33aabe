"""Configuration held by a process; the version of a key only rises."""

from collections.abc import Iterable, Mapping

import msgspec
import xxhash
from bendlead_schema.gateway import SuspectRecord
from bendlead_schema.messages import VersionedKey
from bendlead_schema.objects import PlannedStop, Policy, Service, Team

CONFIG_PREFIX = 'config/'
_KINDS: Mapping[str, type[msgspec.Struct]] = {
    'service': Service,
    'team': Team,
    'policy': Policy,
    'stop': PlannedStop,
    'suspect': SuspectRecord,
}


class ConfigTable:
    """Merge changes from the store and from peers in any order."""

    def __init__(self) -> None:
        self._keys: dict[str, VersionedKey] = {}
        self._by_kind: dict[str, dict[str, msgspec.Struct]] = {
            kind: {} for kind in _KINDS
        }
        self._revision = 0
        self._digest = 0

    @property
    def revision(self) -> int:
        """Tell the highest version held."""
        return self._revision

    @property
    def digest(self) -> str:
        """Sum up all keys and versions held, whatever their order."""
        return f'{self._digest:016x}'

    @property
    def versions(self) -> dict[str, int]:
        """Tell the version of each key held."""
        return {key: held.version for key, held in self._keys.items()}

    def merge(self, changes: Iterable[VersionedKey]) -> list[VersionedKey]:
        """Take the changes above what is held; list them."""
        return [change for change in changes if self._take(change)]

    def above(self, versions: Mapping[str, int]) -> list[VersionedKey]:
        """List what is held at a version above the given ones."""
        return [
            held
            for key, held in self._keys.items()
            if held.version > versions.get(key, 0)
        ]

    def services(self) -> dict[str, Service]:
        """List the services in force."""
        return self._by_kind['service']  # type: ignore[return-value]

    def teams(self) -> dict[str, Team]:
        """List the teams in force."""
        return self._by_kind['team']  # type: ignore[return-value]

    def policies(self) -> dict[str, Policy]:
        """List the policies in force."""
        return self._by_kind['policy']  # type: ignore[return-value]

    def stops(self) -> dict[str, PlannedStop]:
        """List the planned stops in force."""
        return self._by_kind['stop']  # type: ignore[return-value]

    def suspects(self) -> dict[str, SuspectRecord]:
        """List the requests under which engines ended."""
        return self._by_kind['suspect']  # type: ignore[return-value]

    def _take(self, change: VersionedKey) -> bool:
        held = self._keys.get(change.key)
        if held and held.version >= change.version:
            return False
        if held:
            self._digest ^= _hash(held)
        self._digest ^= _hash(change)
        self._keys[change.key] = change
        self._revision = max(self._revision, change.version)
        self._put_in_force(change)
        return True

    def _put_in_force(self, change: VersionedKey) -> None:
        _prefix, kind, name = change.key.split('/', 2)
        if kind not in _KINDS:
            return
        if change.deleted:
            self._by_kind[kind].pop(name, None)
        else:
            self._by_kind[kind][name] = parse_object(kind, change.body)


def parse_object(kind: str, body: str | bytes) -> msgspec.Struct:
    """Read a configuration object of a kind."""
    return msgspec.json.decode(body, type=_KINDS[kind])


def kinds() -> list[str]:
    """List the kinds of configuration objects."""
    return sorted(_KINDS)


def config_key(kind: str, name: str) -> str:
    """Name the key of a configuration object."""
    return f'{CONFIG_PREFIX}{kind}/{name}'


def _hash(change: VersionedKey) -> int:
    return xxhash.xxh3_64_intdigest(f'{change.key}@{change.version}'.encode())
