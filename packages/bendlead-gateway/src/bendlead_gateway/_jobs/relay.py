"""Pass clients' calls about jobs on to the process that holds them."""

from http import HTTPStatus

import gevent
from bendlead_store import clock
from msgspec.structs import replace

from bendlead_gateway._fleet.claims import Claim
from bendlead_gateway._fleet.peers import PeerTable
from bendlead_gateway._http.client import HttpConnection, Response
from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._jobs.shards import shard_of
from bendlead_gateway._jobs.told_team import tell_team
from bendlead_gateway._log import Log
from bendlead_gateway._online.relay import end_to_end_headers
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import Team, TeamName

_CONNECT_SECONDS = 0.3
#: An owner holds a read for up to a second.
_ANSWER_SECONDS = 2.5
#: How long (s) a call waits for a shard to find an owner.
_OWNER_SECONDS = 0.3
_RETRY_SECONDS = 0.05
_KEPT = 16
#: A shard whose owner died has a new one after about this long (s).
_RETRY_AFTER = (('Retry-After', '0.8'),)
_PASSED_ANSWER = frozenset(('content-type', 'retry-after'))
_NOT_HELD = 'x-not-held'


class NotAskedError(Exception):
    """The owner got no byte of the call."""


class JobRelay:
    """Find the owner of a job's shard and relay the call.

    Reads and ends may be repeated; of a job a lost answer promises nothing.
    """

    def __init__(self, peers: PeerTable, dialect: Dialect, log: Log) -> None:
        self._peers = peers
        self._dialect = dialect
        self._log = log
        self._kept: dict[str, list[HttpConnection]] = {}

    def answer(
        self, request: Request, responder: Responder, team: Team | None
    ) -> None:
        """Have the holder of a job's shard answer a call of a team."""
        told = replace(
            request,
            headers=tell_team(
                self._dialect.without_key(request.headers),
                team.name if team else TeamName(''),
            ),
        )
        self._answer(told, responder, forwarded=False)

    def forward(self, request: Request, responder: Responder) -> None:
        """Answer an entry that does not hear the holder of a shard.

        The call goes to the holder or nowhere.
        """
        self._answer(request, responder, forwarded=True)

    def _answer(
        self, request: Request, responder: Responder, *, forwarded: bool
    ) -> None:
        shard = shard_of(request.host)
        until = clock.uptime() + _OWNER_SECONDS
        reason = ''
        while reason is not None and clock.uptime() < until:
            if reason:
                gevent.sleep(_RETRY_SECONDS)
            reason = self._try_once(shard, request, responder, forwarded)
        if reason is not None:
            self._log.event(
                'job-call-refused', target=request.target, reason=reason
            )
            responder.answer(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER)

    def _try_once(
        self,
        shard: int,
        request: Request,
        responder: Responder,
        forwarded: bool,
    ) -> str | None:
        """Ask whoever can be asked, or tell why nobody has been."""
        claim = self._peers.claims.holder(shard)
        if claim is not None:
            return self._try(claim, request, responder)
        way = None if forwarded else self._peers.claims.way_to(shard)
        if way is None:
            return 'no owner'
        self._log.event(
            'job-call-forwarded', target=request.target, entry=way.node
        )
        return self._try(way, request, responder)

    def _try(
        self,
        claim: Claim,
        request: Request,
        responder: Responder,
    ) -> str | None:
        """Have one owner answer, or tell why it has not been asked."""
        try:
            answered = self._ask(claim, request)
        except NotAskedError as error:
            return f'{claim.node}: {error}'
        except OSError as error:
            self._log_unclear(request, claim, error)
            _answer_unclear(responder, request)
            return None
        if answered.head.find(_NOT_HELD):
            return f'{claim.node} does not hold the shard'
        self._pass_on(answered, responder)
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

    def _pass_on(self, answered: Response, responder: Responder) -> None:
        headers = [
            (name, text)
            for name, text in answered.head.headers
            if name.lower() in _PASSED_ANSWER
        ]
        responder.answer(answered.head.status, headers, answered.body)

    def _ask(self, claim: Claim, request: Request) -> Response:
        connection = self._connection(claim.address)
        try:
            return connection.request(
                request.method,
                request.target,
                end_to_end_headers(request.headers),
                request.body,
                _ANSWER_SECONDS,
            )
        finally:
            self._keep(claim.address, connection)

    def _keep(self, address: str, connection: HttpConnection) -> None:
        kept = self._kept.setdefault(address, [])
        if connection.reusable and len(kept) < _KEPT:
            kept.append(connection)
        else:
            connection.close()

    def _connection(self, address: str) -> HttpConnection:
        kept = self._kept.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.quiet:
                return connection
            connection.close()
        try:
            return HttpConnection(address, _CONNECT_SECONDS)
        except OSError as error:
            raise NotAskedError(f'connect: {error}') from error


def _answer_unclear(responder: Responder, request: Request) -> None:
    if request.method == 'POST':
        # The job may have been accepted: no promise that it does not run.
        responder.answer(HTTPStatus.GATEWAY_TIMEOUT)
    else:
        responder.answer(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER)
