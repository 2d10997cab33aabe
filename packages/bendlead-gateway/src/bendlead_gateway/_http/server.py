"""HTTP server that handles the requests of a connection one at a time."""

import contextlib
import errno
import socket as stdlib_socket
from collections.abc import Callable
from http import HTTPStatus
from operator import attrgetter

import gevent
from bendlead_store.tasks import keep_running
from gevent import socket

from bendlead_gateway._http.body_budget import BodyBudget
from bendlead_gateway._http.connection_end import ConnectionEnd, EndReason
from bendlead_gateway._http.full_window import FullWindow
from bendlead_gateway._http.handling import run_handler
from bendlead_gateway._http.messages import (
    Handler,
    Request,
    Responder,
    ServerShutdownError,
)
from bendlead_gateway._http.parsing import (
    InvalidRequestError,
    RequestParser,
)
from bendlead_gateway._http.server_events import ServerEvents
from bendlead_gateway._http.sockets import listen, receive, set_tcp_options
from bendlead_gateway.types import ClientLimits

_READ_BYTES = 65_536
#: The connection is closed if the client reads nothing for this long.
_WRITE_TIMEOUT_SECONDS = 5
#: A socket timeout of 0 would make the socket non-blocking.
_MIN_TIMEOUT_SECONDS = 0.001
#: Pause after a failed accept, for example without free descriptors.
_ACCEPT_RETRY_SECONDS = 0.05
_RETRY_AFTER = (('Retry-After', '0.2'),)


class _Connection:
    """One client connection."""

    def __init__(
        self,
        sock: socket.socket,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        now: Callable[[], float],
        body_budget: BodyBudget,
        events: ServerEvents,
    ) -> None:
        self._sock = sock
        self._window = FullWindow(sock, _WRITE_TIMEOUT_SECONDS, self._note_end)
        self._handler = handler
        self._limits = limits
        self._now = now
        self._body_budget = body_budget
        self._events = events
        self._buffered_bytes = 0
        self._handled_body_bytes = 0
        self._parser = RequestParser(limits, now)
        self._task: gevent.Greenlet | None = None
        self._responder: Responder | None = None
        self._closing = False
        #: Why what follows the running request is not parsed, if it is not.
        self._unreadable = ''
        self._end: ConnectionEnd | None = None
        self._request_count = 0
        #: Time at which the connection became idle.
        self.idle_since = now()

    @property
    def busy(self) -> bool:
        """Whether a request is being received or handled."""
        return bool(
            self._task
            or self._parser.complete_requests
            or self._parser.started_at
        )

    def run(self) -> None:
        """Read requests until the connection ends."""
        try:
            set_tcp_options(self._sock)
            self._read_all()
        except OSError as error:
            # The client has disconnected, so no response can be sent.
            self._closing = True
            self._note_end(EndReason.CLIENT_CLOSED, str(error))
        finally:
            self._release()

    def close_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if not self.busy:
            self._closing = True
            self._sock.close()

    def close_after_response(self) -> None:
        """Close after the current response, unless it has started."""
        if self._responder is not None and not self._responder.started:
            self._responder.close_after()

    def abort_request(self) -> None:
        """Abort the current request; respond if no response has started."""
        # A task that is killed before it starts could not respond.
        if self._task is not None and self._responder is not None:
            self._task.kill(ServerShutdownError, block=False)

    def _note_end(self, reason: EndReason, detail: str = '') -> None:
        """Keep the first cause of the end; the others follow from it."""
        if self._end is None:
            self._end = ConnectionEnd(reason, detail)

    def _release(self) -> None:
        self._note_end(EndReason.CONNECTION_ERROR)
        if self._task is not None:
            self._task.kill(block=False)
        self._body_budget.used_bytes -= self._buffered_bytes
        self._buffered_bytes = 0
        self._sock.close()
        waiting = self._parser.complete_requests
        while waiting:
            self._events.report_unanswered(waiting.popleft(), self._end)

    def _read_all(self) -> None:
        while not self._closing:
            self._sock.settimeout(self._read_timeout())
            try:
                received = receive(self._sock, _READ_BYTES)
            except TimeoutError:
                if self._keeps_waiting():
                    continue
                return
            if not received:
                self._note_end(EndReason.CLIENT_CLOSED)
                return
            if not self._feed(received):
                return
            self._start_next()

    def _feed(self, received: bytes) -> bool:
        """Parse received bytes; return False if they were rejected."""
        if self._unreadable:
            # They are read all the same, to notice that the client leaves.
            return True
        try:
            self._parser.feed(received)
        except InvalidRequestError as error:
            return self._reject_invalid(error.status)
        self._update_buffered_bytes()
        # A request that is being handled may have run, so it is not aborted.
        if self._body_budget.exceeded and self._task is None:
            # The request was not started, so the client may retry it.
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)
            self._note_end(EndReason.EARLIER_RESPONSE)
            return False
        return True

    def _reject_invalid(self, status: int) -> bool:
        """Reject unreadable bytes; return True if a request is running.

        Its response comes first, and then the connection is closed.
        """
        detail = f'status {status}'
        if self._task is None:
            self._reject(status)
            self._note_end(EndReason.INVALID_BYTES, detail)
            return False
        self._unreadable = detail
        if self._responder is not None:
            self._responder.close_after()
        return True

    def _update_buffered_bytes(self) -> None:
        buffered = self._parser.body_bytes + self._handled_body_bytes
        self._body_budget.used_bytes += buffered - self._buffered_bytes
        self._buffered_bytes = buffered

    def _keeps_waiting(self) -> bool:
        """Return whether to go on reading after a read timeout."""
        if self._task is not None:
            return True
        if self._parser.started_at:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
            return False
        # The read may have started before the latest response ended.
        return self._idle_seconds_left() > 0

    def _read_timeout(self) -> float:
        if self._task is not None:
            return self._limits().idle_seconds
        if self._parser.started_at:
            return self._limits().header_seconds
        return max(self._idle_seconds_left(), _MIN_TIMEOUT_SECONDS)

    def _idle_seconds_left(self) -> float:
        return self.idle_since + self._limits().idle_seconds - self._now()

    def _reject(self, status: int) -> None:
        if self._task is None:
            responder = Responder(
                self._sock, _WRITE_TIMEOUT_SECONDS, keep_alive=False
            )
            retryable = status == HTTPStatus.SERVICE_UNAVAILABLE
            responder.answer(status, _RETRY_AFTER if retryable else ())
            if self._parser.complete_requests:
                # The response is the one to this request.
                self._parser.complete_requests.popleft()

    def _start_next(self) -> None:
        waiting = self._parser.complete_requests
        if self._task is None and waiting and not self._closing:
            self._task = gevent.spawn(self._handle_next)

    def _handle_next(self) -> None:
        # A task that is killed before it starts leaves its request here.
        request = self._parser.complete_requests.popleft()
        self._handled_body_bytes = len(request.body)
        responder = Responder(
            self._sock,
            _WRITE_TIMEOUT_SECONDS,
            keep_alive=request.keep_alive and not self._unreadable,
            earlier_requests=self._request_count,
            window=self._window,
        )
        self._request_count += 1
        self._responder = responder
        try:
            run_handler(self._handler, request, responder, self._events)
        finally:
            # Also if the task is killed, so that the client does not hang.
            self._finish_request(request, responder)
        self._start_next()

    def _finish_request(self, request: Request, responder: Responder) -> None:
        end = self._end
        self._task = None
        self._responder = None
        self._handled_body_bytes = 0
        if self._buffered_bytes:
            self._update_buffered_bytes()
        self.idle_since = self._now()
        if not responder.keep_alive:
            self._closing = True
            if self._unreadable:
                self._note_end(EndReason.INVALID_BYTES, self._unreadable)
            self._note_end(EndReason.EARLIER_RESPONSE)
            # The client may have closed the connection already.
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
        if not responder.finished:
            self._events.report_unanswered(request, end, responder)


class HttpServer:
    """HTTP server on one address, with a greenlet per connection."""

    def __init__(
        self,
        address: str | stdlib_socket.socket,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        now: Callable[[], float],
        max_connections: int = 1_000_000,
    ) -> None:
        self._sock = listen(address)
        self._handler = handler
        self._limits = limits
        self._now = now
        self._max_connections = max_connections
        self._connections: set[_Connection] = set()
        #: Bodies buffered by all connections.
        self.body_budget = BodyBudget()
        self.events = ServerEvents()

    @property
    def busy(self) -> int:
        """Number of connections with a request in progress."""
        return sum(1 for connection in self._connections if connection.busy)

    @property
    def utilization(self) -> float:
        """Busy connections as a share of the connection limit."""
        return self.busy / self._max_connections

    def start(self) -> None:
        """Start to accept connections."""
        keep_running('accept', self.events.task_failed, self._accept)

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones stay open."""
        self._sock.close()

    def close_idle(self) -> None:
        """Close all connections without a request in progress."""
        for connection in list(self._connections):
            connection.close_idle()

    def close_after_responses(self) -> None:
        """Close each connection after its current response, if not started."""
        for connection in list(self._connections):
            connection.close_after_response()

    def abort_requests(self) -> None:
        """Abort all requests; respond to those without a started response."""
        for connection in list(self._connections):
            connection.abort_request()

    def _accept(self) -> None:
        while True:
            try:
                sock, _peer = self._sock.accept()
            except OSError as error:
                if error.errno == errno.EBADF:
                    return
                self.events.accept_error(
                    f'accepting a connection failed: {error}'
                )
                gevent.sleep(_ACCEPT_RETRY_SECONDS)
                continue
            if self._ensure_capacity():
                self._add_connection(sock)
            else:
                self.events.accept_error(
                    f'{self._max_connections} connections, the limit, are busy'
                )
                sock.close()

    def _add_connection(self, sock: socket.socket) -> None:
        connection = _Connection(
            sock,
            self._handler,
            self._limits,
            self._now,
            self.body_budget,
            self.events,
        )
        self._connections.add(connection)
        gevent.spawn(self._serve, connection)

    def _ensure_capacity(self) -> bool:
        """Close the longest idle connection if the limit is reached.

        Return False if the limit is reached and all connections are busy.
        """
        if len(self._connections) < self._max_connections:
            return True
        idle = [
            connection
            for connection in self._connections
            if not connection.busy
        ]
        if not idle:
            return False
        longest_idle = min(idle, key=attrgetter('idle_since'))
        self._connections.discard(longest_idle)
        longest_idle.close_idle()
        return True

    def _serve(self, connection: _Connection) -> None:
        try:
            connection.run()
        finally:
            self._connections.discard(connection)
