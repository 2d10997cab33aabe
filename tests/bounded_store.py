"""Object store in memory that enforces the size limit of values."""

import base64

from bendlead_store import ABSENT, Entry, Failure, FailureKind, Version
from result import Err, Ok

_MAX_VALUE_BYTES = 1_048_576


class BoundedStore:
    """Store in memory that refuses values which are too large."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._revision = 0
        self.calls = []

    @property
    def keys(self):
        """Keys that exist."""
        return set(self._entries)

    def calls_of(self, operation):
        """Return the keys of all calls of one operation."""
        return [key for name, key in self.calls if name == operation]

    def fetch(self, key):
        self.calls.append(('fetch', key))
        return Ok(self._entries.get(key))

    def put(self, key, body, expected):
        self.calls.append(('put', key))
        if len(base64.b64encode(body)) > _MAX_VALUE_BYTES:
            return Err(Failure(FailureKind.REFUSED, 'put', key, 'too large'))
        current = self._entries.get(key)
        if (current.version if current else ABSENT) != expected:
            return Err(Failure(FailureKind.CONFLICT, 'put', key))
        self._revision += 1
        version = Version(self._revision)
        self._entries[key] = Entry(key, version, body)
        return Ok(version)

    def delete(self, key, _expected):
        self.calls.append(('delete', key))
        self._entries.pop(key, None)
        return Ok(Version(0))
