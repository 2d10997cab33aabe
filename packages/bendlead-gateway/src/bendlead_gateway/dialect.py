"""Interface between the gateway and the platform's message formats."""

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
    PromptPart,
    RequestFacts,
    StopOrder,
    Submission,
    TeamName,
)


class Dialect(Protocol):
    """Converts between messages of the platform and types of the gateway."""

    #: Keys and key prefixes of the objects in the platform's object service.
    config_key: str
    engines_prefix: str
    peers_prefix: str
    stops_prefix: str
    suspects_prefix: str
    #: Path of the readiness checks of the platform.
    ready_path: str

    def configuration(self, entry: Entry) -> Result[Configuration, Failure]:
        """Decode the configuration set by operators."""

    def engine(self, entry: Entry) -> Result[Engine, Failure]:
        """Decode the registration of an engine."""

    def peer(self, entry: Entry) -> Result[PeerRecord, Failure]:
        """Decode the registration of a gateway process."""

    def encode_peer(self, record: PeerRecord) -> bytes:
        """Encode the registration of a gateway process."""

    def stop_order(self, entry: Entry) -> Result[StopOrder, Failure]:
        """Decode an order to drain a node."""

    def stop_status(self, finished: bool) -> bytes:
        """Encode whether the draining of a node is finished."""

    def request_facts(self, headers: Headers) -> RequestFacts | None:
        """Decode a client's headers; None if the request id is missing."""

    def shared_parts(self, headers: Headers) -> tuple[PromptPart, ...]:
        """Return the parts of a prompt that other requests may share."""

    def caller_key(self, headers: Headers) -> KeyDigest | None:
        """Return the digest of a client's key; None if no key was sent."""

    def without_key(self, headers: Headers) -> list[tuple[str, str]]:
        """Return the headers without the key and the name of the team."""

    def engine_headers(
        self,
        headers: Headers,
        engine: EngineId,
        seconds_left: float,
        resume_after: int | None,
        team: TeamName,
    ) -> list[tuple[str, str]]:
        """Return the headers of an online request to an engine.

        ``seconds_left`` is the time until the deadline.
        """

    def item_headers(
        self,
        item: ItemId,
        host: str,
        headers: Headers,
        engine: EngineId,
        resume_after: int | None,
        team: TeamName,
    ) -> list[tuple[str, str]]:
        """Return the headers of a batch item's request to an engine."""

    def health_headers(self, engine: Engine) -> list[tuple[str, str]]:
        """Return the headers of a health check that is for one engine."""

    def engine_answer(self, status: int, headers: Headers) -> EngineAnswer:
        """Decode the status and headers of an engine's response."""

    def job_call(
        self, method: str, target: str, headers: Headers
    ) -> JobCall | None:
        """Decode a job call; None if the request is not one."""

    def submission(
        self, target: str, headers: Headers, body: bytes
    ) -> Submission | None:
        """Decode a submitted job; None if the body is invalid."""

    def encode_results(
        self, total: int, position: int, results: Sequence[ItemResult]
    ) -> bytes:
        """Encode the results of a job from a position on."""
