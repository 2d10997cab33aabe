"""Protocols and types of an object store."""

from collections.abc import Sequence
from typing import Final, NewType, Protocol

from msgspec import Struct
from result import Result

from bendlead_store._failure import Failure

#: Revision of the whole store at which a value was written; a key never has
#: the same version twice.
Version = NewType('Version', int)

#: Expected version of a key that must not exist yet.
ABSENT: Final = Version(0)


class Entry(Struct, frozen=True):
    """Value of a key with the version that conditional updates expect."""

    key: str
    version: Version
    body: bytes = b''


class Change(Struct, frozen=True):
    """Write or deletion of a key at a version."""

    key: str
    version: Version
    deleted: bool
    body: bytes = b''


class VirtualMachine(Struct, frozen=True):
    """VM on the platform's list, which may be out of date."""

    address: str
    leaving: bool


class Listing(Struct, frozen=True):
    """All entries under a prefix at one revision of the store."""

    entries: Sequence[Entry]
    as_of: Version


class ChangeBatch(Struct, frozen=True):
    """Changes since a revision, and the revision to continue from."""

    changes: Sequence[Change]
    as_of: Version


class ValueStore(Protocol):
    """Store of single values with conditional updates."""

    def fetch(self, key: str) -> Result[Entry | None, Failure]:
        """Return the entry of a key, or None if it does not exist."""

    def put(
        self,
        key: str,
        body: bytes,
        expected: Version,
    ) -> Result[Version, Failure]:
        """Write a value if the key is still at the expected version."""

    def delete(self, key: str, expected: Version) -> Result[Version, Failure]:
        """Delete a key if it is still at the expected version."""


class Connectivity(Struct):
    """Times of the last successful and the last failed call.

    In seconds of ``clock.uptime``. Watches are left out: they may be closed
    while the service works, and stay open while it is down.
    """

    answered_at: float = 0
    failed_at: float = 0

    @property
    def has_recovered(self) -> bool:
        """Whether a call has succeeded since the last failed one."""
        return 0 < self.failed_at < self.answered_at


class FollowedStore(ValueStore, Protocol):
    """Store that lists all values of a prefix and follows their changes."""

    #: Number of calls made, as calls may be billed.
    calls: int
    connectivity: Connectivity

    def use_address(self, address: str) -> None:
        """Send further calls to another address."""

    def list_entries(self, prefix: str) -> Result[Listing, Failure]:
        """Return all entries under a prefix, with bodies."""

    def put_status(self, key: str, body: bytes) -> Result[Version, Failure]:
        """Replace the status of an object whose specification others own."""

    def follow(
        self,
        prefix: str,
        after: Version,
        timeout: float,
    ) -> Result[ChangeBatch, Failure]:
        """Wait up to ``timeout`` seconds for changes after a revision.

        Fails with HISTORY_GONE if the store no longer has these changes.
        """


class ObjectStore(ValueStore, Protocol):
    """Object store with paged listing, watches and the list of VMs."""

    def list_keys(
        self,
        prefix: str,
        after: str,
        limit: int,
    ) -> Result[Sequence[Entry], Failure]:
        """Return up to ``limit`` entries after a key, without bodies."""

    def watch(
        self,
        prefix: str,
        after: Version,
        timeout: float,
    ) -> Result[Sequence[Change], Failure]:
        """Wait up to ``timeout`` seconds for changes after a revision."""

    def machines(self) -> Result[Sequence[VirtualMachine], Failure]:
        """Return the platform's list of VMs, which may be out of date."""
