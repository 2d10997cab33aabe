"""Relay clients' job requests to the process that owns the jobs."""

from http import HTTPStatus

import gevent
from bendlead_store import clock
from msgspec.structs import replace

from bendlead_gateway._fleet.claims import Claim
from bendlead_gateway._fleet.peers import PeerTable
from bendlead_gateway._http.client import HttpConnection, Response
from bendlead_gateway._http.idle_connections import IdleConnections
from bendlead_gateway._http.messages import Certainty, Request, Responder
from bendlead_gateway._jobs.shards import shard_of
from bendlead_gateway._jobs.team_header import set_team
from bendlead_gateway._log import Log
from bendlead_gateway._online.relay import end_to_end_headers
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import Team, TeamName

_CONNECT_TIMEOUT_SECONDS = 0.3
#: An owner may delay the response to a read for up to a second.
_RESPONSE_TIMEOUT_SECONDS = 2.5
#: Time that a request waits for its shard to have an owner.
_OWNER_WAIT_SECONDS = 0.3
_RETRY_INTERVAL_SECONDS = 0.05
_MAX_IDLE_CONNECTIONS = 16
#: About the time until a shard whose owner died has a new one.
_RETRY_AFTER = (('Retry-After', '0.8'),)
_RELAYED_HEADERS = frozenset(('content-type', 'retry-after'))
_NOT_OWNED_HEADER = 'x-not-held'


class NotDeliveredError(Exception):
    """The request was not sent to the owner, not even in part."""


class JobRelay:
    """Find the owner of a job's shard and relay the request.

    Where the response is lost, clients may repeat reads and ends; a submitted
    job may or may not have been accepted.
    """

    def __init__(self, peers: PeerTable, dialect: Dialect, log: Log) -> None:
        self._peers = peers
        self._dialect = dialect
        self._log = log
        self._idle_connections: dict[str, IdleConnections] = {}

    def answer(
        self, request: Request, responder: Responder, team: Team | None
    ) -> None:
        """Relay a client's request to the owner, with the name of its team."""
        relayed = replace(
            request,
            headers=set_team(
                self._dialect.without_key(request.headers),
                team.name if team else TeamName(''),
            ),
        )
        self._relay(relayed, responder, forwarded=False)

    def forward(self, request: Request, responder: Responder) -> None:
        """Relay a request of an entry that has no report of the owner.

        It goes to the owner only, never to another entry.
        """
        self._relay(request, responder, forwarded=True)

    def _relay(
        self, request: Request, responder: Responder, *, forwarded: bool
    ) -> None:
        responder.certainty = Certainty.NOT_RUN
        shard = shard_of(request.host)
        deadline = clock.uptime() + _OWNER_WAIT_SECONDS
        reason = ''
        while reason is not None and clock.uptime() < deadline:
            if reason:
                gevent.sleep(_RETRY_INTERVAL_SECONDS)
            reason = self._try_known_owner(shard, request, responder, forwarded)
        if reason is not None:
            self._log.event(
                'job-call-refused', target=request.target, reason=reason
            )
            responder.answer(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER)

    def _try_known_owner(
        self,
        shard: int,
        request: Request,
        responder: Responder,
        forwarded: bool,
    ) -> str | None:
        """Relay to the owner, or else to an entry that knows it.

        Return None once the client has a response, else why there is none yet.
        """
        claim = self._peers.claims.owner(shard)
        if claim is not None:
            return self._try_node(claim, request, responder)
        entry = None if forwarded else self._peers.claims.relay_to_owner(shard)
        if entry is None:
            return 'no owner'
        self._log.event(
            'job-call-forwarded', target=request.target, entry=entry.node
        )
        return self._try_node(entry, request, responder)

    def _try_node(
        self,
        claim: Claim,
        request: Request,
        responder: Responder,
    ) -> str | None:
        """Relay to one node; return why the request must be retried, if so."""
        responder.certainty = Certainty.UNKNOWN
        try:
            response = self._send(claim, request)
        except NotDeliveredError as error:
            responder.certainty = Certainty.NOT_RUN
            return f'{claim.node}: {error}'
        except OSError as error:
            self._log_unclear(request, claim, error)
            _respond_unclear(responder, request)
            return None
        if response.head.find(_NOT_OWNED_HEADER):
            responder.certainty = Certainty.NOT_RUN
            return f'{claim.node} does not own the shard'
        self._respond(response, responder)
        return None

    def _log_unclear(
        self, request: Request, claim: Claim, error: OSError
    ) -> None:
        self._log.event(
            'job-call-unclear',
            target=request.target,
            owner=claim.node,
            reason=error,
        )

    def _respond(self, response: Response, responder: Responder) -> None:
        headers = [
            (name, text)
            for name, text in response.head.headers
            if name.lower() in _RELAYED_HEADERS
        ]
        responder.answer(response.head.status, headers, response.body)

    def _send(self, claim: Claim, request: Request) -> Response:
        idle = self._idle_connections.get(claim.address)
        if idle is None:
            idle = IdleConnections(
                claim.address, _MAX_IDLE_CONNECTIONS, _CONNECT_TIMEOUT_SECONDS
            )
            self._idle_connections[claim.address] = idle
        connection = _connect(idle)
        try:
            return connection.request(
                request.method,
                request.target,
                end_to_end_headers(request.headers),
                request.body,
                _RESPONSE_TIMEOUT_SECONDS,
            )
        except OSError:
            # All connections may have fallen silent with this one.
            idle.close()
            raise
        finally:
            idle.release(connection)


def _connect(idle: IdleConnections) -> HttpConnection:
    try:
        return idle.acquire()
    except OSError as error:
        raise NotDeliveredError(f'cannot connect: {error}') from error


def _respond_unclear(responder: Responder, request: Request) -> None:
    if request.method == 'POST':
        # The job may have been accepted; a 503 would say that it was not.
        responder.answer(HTTPStatus.GATEWAY_TIMEOUT)
    else:
        responder.answer(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER)
