"""Batch jobs, calls about them, and their results."""

import enum
from collections.abc import Mapping, Sequence

from msgspec import Struct

from bendlead_gateway._types.ids import ItemId, JobId
from bendlead_gateway._types.teams import TeamName


class JobItem(Struct, frozen=True):
    """Hold one request of a batch job."""

    item: ItemId
    path: str
    headers: Mapping[str, str]
    body: bytes
    tokens: int


class Submission(Struct, frozen=True):
    """Hold a batch job as a client hands it in."""

    job: JobId
    host: str
    path: str
    items: Sequence[JobItem]
    #: Who handed it in; nobody where callers need no key.
    team: TeamName = TeamName('')

    @property
    def tokens(self) -> int:
        """Count the tokens of all items."""
        return sum(one.tokens for one in self.items)


class ReadResults(Struct, frozen=True):
    """Ask for the results of a job from a position on; wait in seconds."""

    job: JobId
    after: int
    wait: float


class ReadBody(Struct, frozen=True):
    """Ask for the body of one item."""

    job: JobId
    item: ItemId


class EndJob(Struct, frozen=True):
    """Ask for the end of a job."""

    job: JobId


JobCall = ReadResults | ReadBody | EndJob


class ItemOutcome(enum.Enum):
    """Say how an item ended."""

    COMPLETED = 'completed'
    GIVEN_UP = 'given_up'


class ItemResult(Struct, frozen=True):
    """Hold the final result of one item."""

    item: ItemId
    outcome: ItemOutcome
    text: str
