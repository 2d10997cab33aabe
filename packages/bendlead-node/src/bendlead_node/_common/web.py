"""HTTP serving: typed calls and answers over gevent's WSGI engine."""

import socket
import uuid
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final

import msgspec
from bendlead_schema.messages import ErrorOutcome
from bendlead_store.tasks import error_fields
from gevent.pywsgi import WSGIServer

OUTCOME_HEADER: Final = 'X-Bendlead-Outcome'
LEAVING_HEADER: Final = 'X-Bendlead-Leaving'
JSON_TYPE: Final = 'application/json'
#: The code of a refusal by an endpoint that is leaving.
LEAVING: Final = 'leaving'
ENGINE_AWAY_HEADER: Final = 'X-Bendlead-Engine-Away'
#: The code of a refusal by an endpoint whose engine nothing can reach.
ENGINE_AWAY: Final = 'engine_unreachable'
_BACKLOG = 1024


class ErrorDetail(msgspec.Struct):
    """Describe an error in the shape OpenAI clients read."""

    message: str
    type: str
    code: str
    outcome: str = ''
    param: str | None = None


class ErrorBody(msgspec.Struct):
    """Wrap an error in the shape OpenAI clients read."""

    error: ErrorDetail


@dataclass(slots=True)
class Answer:
    """Hold a response; an iterable body is sent as it comes."""

    status: int
    body: bytes | Iterable[bytes]
    headers: dict[str, str] = field(default_factory=dict)


class CallError(Exception):
    """End a call with an error answer."""

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        outcome: ErrorOutcome = ErrorOutcome.not_run,
        retry_after: float = 0,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.outcome = outcome
        self.retry_after = retry_after

    def answer(self) -> Answer:
        """Show the error to the caller."""
        kind = 'invalid_request_error'
        if self.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            kind = 'server_error'
        detail = ErrorDetail(str(self), kind, self.code, self.outcome.value)
        headers = {
            'Content-Type': JSON_TYPE,
            OUTCOME_HEADER: self.outcome.value,
        }
        if self.code == LEAVING:
            headers[LEAVING_HEADER] = 'yes'
        if self.code == ENGINE_AWAY:
            headers[ENGINE_AWAY_HEADER] = 'yes'
        if self.retry_after:
            headers['Retry-After'] = f'{self.retry_after:.0f}'
        body = msgspec.json.encode(ErrorBody(detail))
        return Answer(self.status, body, headers)


class Call:
    """Read one request."""

    def __init__(self, environ: Mapping[str, Any]) -> None:
        self._environ = environ
        self.method: str = environ['REQUEST_METHOD']
        self.path: str = environ['PATH_INFO']
        self.fields: Mapping[str, str] = {}

    @property
    def query(self) -> str:
        """Tell the raw query string."""
        return self._environ.get('QUERY_STRING', '')

    def header(self, name: str) -> str:
        """Read a header, or an empty text where it is absent."""
        if name in {'Content-Type', 'Content-Length'}:
            key = name.replace('-', '_').upper()
        else:
            key = f'HTTP_{name.replace("-", "_").upper()}'
        return self._environ.get(key, '')

    def body(self, limit: int) -> bytes:
        """Read the whole body, up to limit bytes."""
        if int(self.header('Content-Length') or 0) > limit:
            raise _too_large(limit)
        body = self._environ['wsgi.input'].read(limit + 1)
        if len(body) > limit:
            raise _too_large(limit)
        return body

    def block(self, size: int) -> bytes:
        """Read the next block of the body; empty at its end."""
        return self._environ['wsgi.input'].read(size)


Handler = Callable[[Call], Answer]


@dataclass(frozen=True, slots=True)
class Route:
    """Bind a method and a path, which may hold <fields>, to a handler."""

    method: str
    path: str
    handler: Handler


def _ignore(_kind: str, **_fields: object) -> None:
    """Report nothing."""


class WebApp:
    """Find the handler of a call: exact paths first, patterns after."""

    def __init__(
        self,
        routes: Iterable[Route],
        report: Callable[..., None] = _ignore,
    ) -> None:
        """Serve routes; ``report`` is told of handlers that raise."""
        routes = list(routes)
        self._report = report
        self._exact = {
            (route.method, route.path): route.handler
            for route in routes
            if '<' not in route.path
        }
        self.active = 0
        self._patterns = _PatternTable(
            [route for route in routes if '<' in route.path],
        )

    def __call__(
        self,
        environ: Mapping[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one WSGI call."""
        self.active += 1
        try:
            answer = self._answer(Call(environ))
        except BaseException:
            self.active -= 1
            raise
        status = HTTPStatus(answer.status)
        headers = list(answer.headers.items())
        if isinstance(answer.body, bytes):
            headers.append(('Content-Length', str(len(answer.body))))
            start_response(f'{status.value} {status.phrase}', headers)
            self.active -= 1
            return [answer.body]
        start_response(f'{status.value} {status.phrase}', headers)
        return self._streamed(answer.body)

    def _streamed(self, body: Iterable[bytes]) -> Iterator[bytes]:
        try:
            yield from body
        finally:
            self.active -= 1

    def _answer(self, call: Call) -> Answer:
        handler = self._exact.get((call.method, call.path))
        if handler is None:
            handler = self._patterns.find(call)
        try:
            return handler(call)
        except CallError as error:
            return error.answer()
        except Exception as error:
            return self._failed(call, error)

    def _failed(self, call: Call, error: Exception) -> Answer:
        name = uuid.uuid4().hex
        self._report(
            'handler-failed',
            id=name,
            method=call.method,
            path=call.path,
            **error_fields(error),
        )
        return CallError(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            'internal_error',
            f'an unforeseen error; the operator finds it by {name}',
            ErrorOutcome.unknown,
        ).answer()


class _PatternTable:
    """Match paths with fields; the router is loaded where one is needed."""

    def __init__(self, routes: list[Route]) -> None:
        self._adapter = None
        if not routes:
            return
        from werkzeug.routing import Map, Rule  # noqa: PLC0415

        rules = [
            Rule(
                route.path,
                endpoint=route.handler,
                methods=[route.method],
            )
            for route in routes
        ]
        self._adapter = Map(rules, strict_slashes=False).bind('')

    def find(self, call: Call) -> Handler:
        """Find a handler and leave the path's fields in the call."""
        if self._adapter is None:
            return _not_found
        from werkzeug.exceptions import HTTPException  # noqa: PLC0415

        try:
            handler, call.fields = self._adapter.match(call.path, call.method)
        except HTTPException:
            return _not_found
        return handler


class WebServer:
    """Listen on an IP address and serve an application."""

    def __init__(self, host: str, port: int, app: WebApp) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit this: a token must not wait for more.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host, port))
        listener.listen(_BACKLOG)
        self._server = WSGIServer(listener, app, log=None)
        bound_host, bound_port = listener.getsockname()
        self.address = f'{bound_host}:{bound_port}'

    def use(self, app: WebApp) -> None:
        """Serve another application from now on."""
        self._server.application = app

    def start(self) -> None:
        """Accept connections in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=1)


def json_answer(
    body: msgspec.Struct | Mapping[str, Any] | list[Any],
    status: int = HTTPStatus.OK,
    headers: Mapping[str, str] | None = None,
) -> Answer:
    """Answer with JSON."""
    return Answer(
        status,
        msgspec.json.encode(body),
        {'Content-Type': JSON_TYPE, **(headers or {})},
    )


def _not_found(call: Call) -> Answer:
    raise CallError(
        HTTPStatus.NOT_FOUND,
        'not_found',
        f'nothing answers {call.method} {call.path}',
    )


def _too_large(limit: int) -> CallError:
    return CallError(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'too_large',
        f'the body may have at most {limit} bytes',
    )
