"""State of one client request while it is served."""

from bendlead_store import clock
from msgspec import Struct, field

from bendlead_gateway._http.framing import Framing
from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._scheduling.team_shares import UNCONTESTED, ShareUse
from bendlead_gateway._suspects.digest import RequestDigest, digest_request
from bendlead_gateway._suspects.suspected_parts import find_suspected_parts
from bendlead_gateway.types import (
    EngineId,
    EngineVersion,
    PromptPart,
    RequestFacts,
    Route,
    RouteKind,
    TeamName,
)

#: Reads time out this long after the deadline, which thus fires first.
_READ_MARGIN_SECONDS = 0.5


class Choice(Struct):
    """Chosen engine and the load that was assumed for it, as logged."""

    engine: str = '-'
    online: int = 0
    batch: int = 0
    version: EngineVersion = EngineVersion('')


class Exchange(Struct):
    """Client request with its response and the outcome of its attempts."""

    request: Request
    responder: Responder
    facts: RequestFacts
    route: Route
    deadline: float
    #: Empty where callers need no key.
    team: TeamName = TeamName('')
    #: Engines that failed, refused the request or fell silent.
    tried: set[EngineId] = field(default_factory=set)
    #: Those of them that may run it again, and from when on, in seconds of
    #: uptime.
    may_resume_at: dict[EngineId, float] = field(default_factory=dict)
    #: The only engine that may continue the stream, if any.
    bound_to: EngineId | None = None
    #: Last event before the latest reconnect, 0 before the first event.
    reconnected_after: int | None = None
    choice: Choice = field(default_factory=Choice)
    runs: int = 0
    #: Whether the latest engine may have received the request.
    maybe_delivered: bool = False
    sends: int = 0
    #: Start of the latest send, in seconds of uptime.
    sent_at: float = 0
    #: When the head of the latest response arrived, 0 before it.
    head_at: float = 0
    last_event: int | None = None
    first_event: float = 0
    #: Version of the engine that sent the first event, ``None`` before it.
    stream_version: EngineVersion | None = None
    status: int = 0
    #: Framing of the latest response of an engine, ``None`` before it.
    framing: Framing | None = None
    failure: str = '-'
    quarantined: bool = False
    #: Whether it is quarantined and sent as a trial.
    in_trial: bool = False
    #: Whether another one was tried meanwhile, or no claim can be stored.
    claim_refused: bool = False
    #: Time spent waiting while others tried its suspected parts.
    held_seconds: float = 0
    #: The team's use of its share at the latest admission check.
    share_use: ShareUse = UNCONTESTED
    #: Time spent in the request queue.
    queued_seconds: float = 0
    #: Whether it was queued and then admitted.
    dequeued: bool = False
    _digest: RequestDigest | None = None

    @property
    def digest(self) -> RequestDigest:
        """Return the digest, which is the same when the client retries."""
        if self._digest is None:
            request = self.request
            self._digest = digest_request(
                self.team,
                request.method,
                self.facts.host,
                request.target,
                request.body,
            )
        return self._digest

    @property
    def suspected_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that may be the cause if the engine crashes now."""
        return find_suspected_parts(self.facts.shared_parts, self.head_at)

    @property
    def seconds_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - clock.uptime()

    @property
    def read_timeout(self) -> float:
        """Return the read timeout (s), which is later than the deadline."""
        return max(self.seconds_left, 0) + _READ_MARGIN_SECONDS

    @property
    def elapsed(self) -> float:
        """Return the seconds since the request was received."""
        return clock.uptime() - self.request.received_at

    @property
    def resumed_by_client(self) -> bool:
        """Return whether the client resumes a stream of an earlier request."""
        stream = self.route.kind is RouteKind.STREAM
        return stream and self.facts.resume_after is not None

    @property
    def may_have_run(self) -> bool:
        """Return whether any engine may have run the request."""
        return self.maybe_delivered or self.runs > 0

    @property
    def may_run_again(self) -> bool:
        """Return whether the route and what was sent allow one more run."""
        if self.responder.started and not self.route.resumable:
            return False
        return self.route.repeatable and self.runs < self.route.max_attempts

    @property
    def has_run_left(self) -> bool:
        """Return whether the route allows a run after the current one."""
        return self.route.repeatable and self.runs + 1 < self.route.max_attempts

    @property
    def may_fail_over(self) -> bool:
        """Return whether to retry on another engine if this one fails."""
        return (
            self.has_run_left
            and not self.responder.started
            and self.seconds_left > self.route.target
        )

    @property
    def can_be_retried(self) -> bool:
        """Return whether a failure of the first engine can be retried."""
        return self.may_fail_over and not self.runs

    def excluded(self, now: float) -> set[EngineId]:
        """Return the engines that must not run the request again yet."""
        return self.tried - {
            engine for engine, at in self.may_resume_at.items() if at <= now
        }

    def pause_engine(self, engine: EngineId, seconds: float) -> None:
        """Allow an engine to run the request again after a pause."""
        self.may_resume_at[engine] = clock.uptime() + seconds

    def answer(
        self, status: int, headers: list[tuple[str, str]] | None = None
    ) -> None:
        """Send the client a response without a body, made by this process."""
        self.status = status
        self.responder.answer(status, headers or ())
