"""Batch jobs, requests about them and their results."""

import enum
from collections.abc import Mapping, Sequence

from msgspec import Struct

from bendlead_gateway._types.ids import ItemId, JobId
from bendlead_gateway._types.teams import TeamName


class JobItem(Struct, frozen=True):
    """One request of a batch job."""

    item: ItemId
    path: str
    headers: Mapping[str, str]
    body: bytes
    tokens: int


class Submission(Struct, frozen=True):
    """A batch job as submitted by a client."""

    job: JobId
    host: str
    path: str
    items: Sequence[JobItem]
    #: The submitting team; empty if clients need no key.
    team: TeamName = TeamName('')

    @property
    def tokens(self) -> int:
        """Total number of tokens of all items."""
        return sum(item.tokens for item in self.items)


class ReadResults(Struct, frozen=True):
    """Request for the results of a job after a position.

    ``wait`` is how long to wait for new results, in seconds.
    """

    job: JobId
    after: int
    wait: float


class ReadBody(Struct, frozen=True):
    """Request for the body of one item."""

    job: JobId
    item: ItemId


class EndJob(Struct, frozen=True):
    """Request to end a job."""

    job: JobId


JobCall = ReadResults | ReadBody | EndJob


class ItemOutcome(enum.Enum):
    """Final outcome of an item."""

    COMPLETED = 'completed'
    GIVEN_UP = 'given_up'


class ItemResult(Struct, frozen=True):
    """Final result of one item."""

    item: ItemId
    outcome: ItemOutcome
    text: str
