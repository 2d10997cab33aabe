"""Object store in a SQLite file, for a single machine."""

import sqlite3
from collections.abc import Sequence

import gevent
from result import Err, Ok, Result

from bendlead_store import clock
from bendlead_store._failure import Failure, FailureKind
from bendlead_store._protocol import (
    ABSENT,
    Change,
    Entry,
    Version,
    VirtualMachine,
)

_POLL_INTERVAL_SECONDS = 0.05
_MAX_CHANGES = 1000
_SCHEMA = """
create table if not exists objects(
  key text primary key, version integer, deleted integer, body blob
) without rowid;
create index if not exists by_version on objects(version);
"""


class EmbeddedStore:
    """Durable store that several processes of one machine can share."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._database = sqlite3.connect(
            path,
            isolation_level=None,
            timeout=10,
            check_same_thread=False,
        )
        self._database.execute('pragma journal_mode=wal')
        # FULL: an acknowledged write survives the loss of the machine.
        self._database.execute('pragma synchronous=full')
        self._database.executescript(_SCHEMA)

    def fetch(self, key: str) -> Result[Entry | None, Failure]:
        """Return the entry of a key, or None if it does not exist."""
        row = self._database.execute(
            'select version, body from objects where key=? and deleted=0',
            (key,),
        ).fetchone()
        if row is None:
            return Ok(None)
        return Ok(Entry(key, Version(row[0]), row[1]))

    def put(
        self,
        key: str,
        body: bytes,
        expected: Version,
    ) -> Result[Version, Failure]:
        """Write a value if the key is still at the expected version."""
        return self._write(key, body, expected, deleted=False)

    def delete(self, key: str, expected: Version) -> Result[Version, Failure]:
        """Delete a key if it is still at the expected version."""
        return self._write(key, b'', expected, deleted=True)

    def list_keys(
        self,
        prefix: str,
        after: str,
        limit: int,
    ) -> Result[Sequence[Entry], Failure]:
        """Return up to ``limit`` entries after a key, without bodies."""
        rows = self._database.execute(
            'select key, version from objects where deleted=0'
            ' and key>? and substr(key, 1, ?)=? order by key limit ?',
            (max(after, prefix[:-1]), len(prefix), prefix, limit),
        ).fetchall()
        return Ok([Entry(key, Version(version)) for key, version in rows])

    def watch(
        self,
        prefix: str,
        after: Version,
        timeout: float,
    ) -> Result[Sequence[Change], Failure]:
        """Wait up to ``timeout`` seconds for changes after a revision."""
        deadline = clock.uptime() + timeout
        changes = self._changes(prefix, after)
        while not changes and clock.uptime() < deadline:
            gevent.sleep(_POLL_INTERVAL_SECONDS)
            changes = self._changes(prefix, after)
        return Ok(changes)

    def machines(self) -> Result[Sequence[VirtualMachine], Failure]:
        """Return no VMs, as there is no platform."""
        return Ok([])

    def _changes(self, prefix: str, after: Version) -> list[Change]:
        rows = self._database.execute(
            'select key, version, deleted, body from objects'
            ' where version>? and substr(key, 1, ?)=?'
            ' order by version limit ?',
            (after, len(prefix), prefix, _MAX_CHANGES),
        ).fetchall()
        return [
            Change(key, Version(version), bool(deleted), body)
            for key, version, deleted, body in rows
        ]

    def _write(
        self,
        key: str,
        body: bytes,
        expected: Version,
        *,
        deleted: bool,
    ) -> Result[Version, Failure]:
        try:
            return self._write_locked(key, body, expected, deleted=deleted)
        except sqlite3.OperationalError as error:
            detail = str(error)
            return Err(
                Failure(FailureKind.NOT_DONE, 'write', self._path, detail),
            )

    def _write_locked(
        self,
        key: str,
        body: bytes,
        expected: Version,
        *,
        deleted: bool,
    ) -> Result[Version, Failure]:
        # Between begin and commit no call may switch to another task.
        with self._database:
            self._database.execute('begin immediate')
            current = self._version(key)
            if current != expected:
                detail = f'{key} is at {current}, not at {expected}'
                return Err(
                    Failure(FailureKind.CONFLICT, 'write', self._path, detail),
                )
            version = self._next_version()
            self._database.execute(
                'insert or replace into objects values(?, ?, ?, ?)',
                (key, version, int(deleted), body),
            )
        return Ok(version)

    def _version(self, key: str) -> Version:
        row = self._database.execute(
            'select version from objects where key=? and deleted=0',
            (key,),
        ).fetchone()
        return Version(row[0]) if row else ABSENT

    def _next_version(self) -> Version:
        row = self._database.execute(
            'select coalesce(max(version), 0) + 1 from objects',
        ).fetchone()
        return Version(row[0])
