"""What the system needs of an object service."""

from collections.abc import Sequence
from typing import Final, NewType, Protocol

from msgspec import Struct
from result import Result

from bendlead_store._failure import Failure

#: A version is the revision of the whole service at which a value was
#: written, so that no key ever sees the same version twice.
Version = NewType('Version', int)

#: The expected version of a key that must not exist yet.
ABSENT: Final = Version(0)


class Entry(Struct, frozen=True):
    """Hold a value together with the version a conditional update needs."""

    key: str
    version: Version
    body: bytes = b''


class Change(Struct, frozen=True):
    """Tell a watcher that a key was written or deleted at a version."""

    key: str
    version: Version
    deleted: bool
    body: bytes = b''


class VirtualMachine(Struct, frozen=True):
    """Name a VM on the platform's lagging list."""

    address: str
    leaving: bool


class Listing(Struct, frozen=True):
    """Hold everything under a prefix as of one revision of the service."""

    entries: Sequence[Entry]
    as_of: Version


class Following(Struct, frozen=True):
    """Hold the changes since a revision, and where to go on from."""

    changes: Sequence[Change]
    as_of: Version


class ValueStore(Protocol):
    """Read and change single values."""

    def fetch(self, key: str) -> Result[Entry | None, Failure]:
        """Read one value, or nothing where the key is absent."""

    def put(
        self,
        key: str,
        body: bytes,
        expected: Version,
    ) -> Result[Version, Failure]:
        """Write a value if the key is still at the expected version."""

    def delete(self, key: str, expected: Version) -> Result[Version, Failure]:
        """Delete a key if it is still at the expected version."""


class Contact(Struct):
    """Keep when short calls were last answered and last failed (s).

    On the steady clock. Held calls do not count: they may be cut while the
    service is well, and stay open while it is away.
    """

    answered_at: float = 0
    failed_at: float = 0

    @property
    def returned(self) -> bool:
        """Tell whether the service has answered after it had failed."""
        return 0 < self.failed_at < self.answered_at


class FollowedStore(ValueStore, Protocol):
    """Read all values of a prefix, then follow their changes."""

    #: Calls made so far; each may be paid for.
    calls: int
    contact: Contact

    def move(self, address: str) -> None:
        """Call another address from now on."""

    def list_entries(self, prefix: str) -> Result[Listing, Failure]:
        """Read every entry under a prefix, with bodies."""

    def put_status(self, key: str, body: bytes) -> Result[Version, Failure]:
        """Replace the status of an object that others specify."""

    def follow(
        self,
        prefix: str,
        after: Version,
        timeout: float,
    ) -> Result[Following, Failure]:
        """Wait up to timeout seconds for changes after a revision.

        Fails with HISTORY_GONE where the changes are no longer known.
        """


class ObjectStore(ValueStore, Protocol):
    """Stand between the system and whichever object service is used."""

    def list_keys(
        self,
        prefix: str,
        after: str,
        limit: int,
    ) -> Result[Sequence[Entry], Failure]:
        """List a page of keys, without bodies, after the given key."""

    def watch(
        self,
        prefix: str,
        after: Version,
        timeout: float,
    ) -> Result[Sequence[Change], Failure]:
        """Wait up to timeout seconds for changes after a revision."""

    def machines(self) -> Result[Sequence[VirtualMachine], Failure]:
        """Read the platform's lagging list of live and leaving VMs."""
