"""Pass clients' calls about jobs on to the process that holds them."""

import time

import gevent

from bendlead_gateway._fleet.peers import Claim, PeerTable
from bendlead_gateway._http.client import HttpConnection, Response
from bendlead_gateway._http.server import Request, Responder
from bendlead_gateway._jobs.shards import shard_of
from bendlead_gateway._log import Log
from bendlead_gateway.types import Route

_CONNECT_SECONDS = 0.3
#: An owner holds a read for up to a second.
_READ_SECONDS = 2.5
#: How long (s) a call waits for a shard to find an owner.
_OWNER_SECONDS = 0.3
_RETRY_SECONDS = 0.05
_KEPT = 16
#: A shard whose owner died has a new one after about this long (s).
_RETRY_AFTER = (('Retry-After', '0.8'),)
_PASSED_ANSWER = frozenset(('content-type', 'retry-after'))
_NOT_HELD = 'x-not-held'


class JobRelay:
    """Find the owner of a job's shard and relay the call."""

    def __init__(self, peers: PeerTable, log: Log) -> None:
        self._peers = peers
        self._log = log
        self._kept: dict[str, list[HttpConnection]] = {}

    def read(self, request: Request, responder: Responder) -> None:
        """Relay a read or an end; both may be repeated."""
        self._relay(request, responder, _READ_SECONDS, repeatable=True)

    def submit(
        self, request: Request, responder: Responder, route: Route
    ) -> None:
        """Relay a job; a lost answer promises nothing."""
        self._relay(request, responder, _READ_SECONDS, repeatable=False)

    def _relay(
        self,
        request: Request,
        responder: Responder,
        timeout: float,
        *,
        repeatable: bool,
    ) -> None:
        host = _host(request)
        until = time.monotonic() + _OWNER_SECONDS
        reason = 'no owner'
        while True:
            claim = self._peers.holder(shard_of(host))
            if claim is not None:
                try:
                    answered = self._ask(claim, request, timeout)
                except ConnectionError as error:
                    answered = None
                    reason = f'{claim.node}: {error}'
                except OSError as error:
                    self._unclear(request, responder, claim, error, repeatable)
                    return
                if answered and not answered.head.find(_NOT_HELD):
                    self._pass_on(answered, responder)
                    return
            if time.monotonic() > until:
                break
            gevent.sleep(_RETRY_SECONDS)
        self._log.event(
            'job-call-refused', target=request.target, reason=reason
        )
        responder.answer(503, _RETRY_AFTER)

    def _unclear(
        self,
        request: Request,
        responder: Responder,
        claim: Claim,
        error: OSError,
        repeatable: bool,
    ) -> None:
        self._log.event(
            'job-call-unclear',
            target=request.target,
            owner=claim.node,
            reason=error,
        )
        if repeatable:
            responder.answer(503, _RETRY_AFTER)
        else:
            # The job may have been accepted: no promise that it does not run.
            responder.answer(504)

    def _pass_on(self, answered: Response, responder: Responder) -> None:
        headers = [
            (name, text)
            for name, text in answered.head.headers
            if name.lower() in _PASSED_ANSWER
        ]
        responder.answer(answered.head.status, headers, answered.body)

    def _ask(
        self, claim: Claim, request: Request, timeout: float
    ) -> Response:
        """Ask the owner; ConnectionError means that it was not asked."""
        connection = self._connection(claim.address)
        whole = False
        try:
            response = connection.request(
                request.method,
                request.target,
                _passed(request),
                request.body,
                timeout,
            )
            whole = True
        except ConnectionError as error:
            raise OSError(str(error)) from error
        finally:
            if not whole:
                connection.close()
        kept = self._kept.setdefault(claim.address, [])
        if connection.reusable and len(kept) < _KEPT:
            kept.append(connection)
        else:
            connection.close()
        return response

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
            raise ConnectionError(f'connect: {error}') from error


def _host(request: Request) -> str:
    for name, text in request.headers:
        if name.lower() == 'host':
            return text
    return ''


def _passed(request: Request) -> list[tuple[str, str]]:
    return [
        (name, text)
        for name, text in request.headers
        if name.lower()
        not in {'connection', 'content-length', 'transfer-encoding'}
    ]
