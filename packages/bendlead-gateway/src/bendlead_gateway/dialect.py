"""What the gateway needs of whoever knows the platform's words."""

from collections.abc import Sequence
from typing import Protocol

from bendlead_store import Entry, Failure
from result import Result

from bendlead_gateway.types import (
    Configuration,
    Engine,
    EngineAnswer,
    EngineId,
    Headers,
    ItemId,
    ItemResult,
    JobCall,
    KeyDigest,
    PeerRecord,
    RequestFacts,
    StopOrder,
    Submission,
    TeamName,
)


class Dialect(Protocol):
    """Translate between the platform's messages and the gateway's types."""

    #: Prefixes of the keys under which the platform keeps its objects.
    config_key: str
    engines_prefix: str
    peers_prefix: str
    stops_prefix: str
    suspects_prefix: str
    #: The path at which the platform asks whether a node takes clients.
    ready_path: str

    def configuration(self, entry: Entry) -> Result[Configuration, Failure]:
        """Decode the configuration an operator wrote."""

    def engine(self, entry: Entry) -> Result[Engine, Failure]:
        """Decode one engine of service discovery."""

    def peer(self, entry: Entry) -> Result[PeerRecord, Failure]:
        """Decode one process of ours."""

    def encode_peer(self, record: PeerRecord) -> bytes:
        """Encode one process of ours."""

    def stop_order(self, entry: Entry) -> Result[StopOrder, Failure]:
        """Decode an order to empty a node."""

    def stop_status(self, finished: bool) -> bytes:
        """Encode how far the emptying of a node is."""

    def request_facts(self, headers: Headers) -> RequestFacts | None:
        """Read a client's headers, or nothing where no id came."""

    def caller_key(self, headers: Headers) -> KeyDigest | None:
        """Give the digest of a client's key, or nothing where none came."""

    def without_key(self, headers: Headers) -> list[tuple[str, str]]:
        """Leave out what tells or names the team of a client."""

    def engine_headers(
        self,
        headers: Headers,
        engine: EngineId,
        left: float,
        resume_after: int | None,
        team: TeamName,
    ) -> list[tuple[str, str]]:
        """Make the headers that go to an engine with a client's request."""

    def item_headers(
        self,
        item: ItemId,
        host: str,
        headers: Headers,
        engine: EngineId,
        resume_after: int | None,
        team: TeamName,
    ) -> list[tuple[str, str]]:
        """Make the headers that go to an engine with an item of a job."""

    def engine_answer(self, status: int, headers: Headers) -> EngineAnswer:
        """Read the head of an engine's answer."""

    def job_call(
        self, method: str, target: str, headers: Headers
    ) -> JobCall | None:
        """Tell which call about a job this is, if it is one."""

    def submission(
        self, target: str, headers: Headers, body: bytes
    ) -> Submission | None:
        """Decode a job, or nothing where the body is no job."""

    def encode_results(
        self, total: int, position: int, results: Sequence[ItemResult]
    ) -> bytes:
        """Encode the results at a position and those that follow."""
