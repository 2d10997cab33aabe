"""Callers' online requests: completions and plain services."""

from functools import partial
from http import HTTPStatus
from urllib.parse import quote

import msgspec
from bendlead_gateway.json_values import DECODE_ERRORS
from bendlead_schema.objects import Service, ServiceKind, Team
from bendlead_schema.settings import LimitSettings
from bendlead_store import clock

from bendlead_node._common.config import ConfigTable
from bendlead_node._common.web import (
    Answer,
    Call,
    CallError,
    Route,
    json_answer,
)
from bendlead_node._entry.dispatch import Dispatcher, OnlineRequest
from bendlead_node._entry.gate import Gate
from bendlead_node._entry.recording import Recorder, stored_answer

_KEY_HEADER = 'Idempotency-Key'
_REPEATABLE_HEADER = 'X-Bendlead-Repeatable'
_SAFE_METHODS = frozenset(('GET', 'HEAD'))
_PATHS = ('/v1/chat/completions', '/v1/completions')


class _CompletionBody(msgspec.Struct):
    model: str
    stream: bool = False


class OnlineApi:
    """Answer online requests of teams."""

    def __init__(
        self,
        config: ConfigTable,
        gate: Gate,
        dispatcher: Dispatcher,
        recorder: Recorder,
        limits: LimitSettings,
    ) -> None:
        self._config = config
        self._gate = gate
        self._dispatcher = dispatcher
        self._recorder = recorder
        self._limits = limits

    def routes(self) -> list[Route]:
        """List the paths that callers use."""
        plain = [
            Route(method, '/services/<name>/<path:rest>', self.plain)
            for method in ('GET', 'POST', 'PUT', 'DELETE')
        ]
        return [
            *(Route('POST', path, self.complete) for path in _PATHS),
            Route('GET', '/v1/chat/completions/<request>', self.recorded),
            Route('GET', '/v1/models', self.models),
            *plain,
        ]

    def complete(self, call: Call) -> Answer:
        """Answer a completion, whole or as a stream."""
        team = self._gate.team(call)
        body = call.body(self._limits.body_bytes)
        parsed = _parsed(body)
        service = self._service_of(parsed.model)
        request = self._request(call, team, service, body)
        request.model = parsed.model
        request.stream = parsed.stream
        run = partial(self._run, call, request, service)
        return self._gate.admitted(team, run)

    def plain(self, call: Call) -> Answer:
        """Pass a request through to a plain service."""
        team = self._gate.team(call)
        service = self._config.services().get(call.fields['name'])
        if service is None or service.kind is not ServiceKind.plain:
            raise CallError(
                HTTPStatus.NOT_FOUND,
                'service_not_found',
                f'no plain service {call.fields["name"]!r}',
            )
        body = call.body(self._limits.body_bytes)
        request = self._request(call, team, service, body)
        query = f'?{call.query}' if call.query else ''
        request.path = f'/{quote(call.fields["rest"])}{query}'
        if call.method in _SAFE_METHODS:
            request.repeatable = True
        run = partial(self._run, call, request, service)
        return self._gate.admitted(team, run)

    def recorded(self, call: Call) -> Answer:
        """Show the result of a recorded request."""
        team = self._gate.team(call)
        request = call.fields['request']
        found = self._recorder.find(team.name, request)
        if found is None or not found.status:
            raise CallError(
                HTTPStatus.NOT_FOUND,
                'not_found',
                f'no recorded result of {request}',
            )
        stored = stored_answer(found)
        headers = {'Content-Type': stored.content_type}
        return Answer(found.status, stored.body.encode(), headers)

    def models(self, call: Call) -> Answer:
        """List the models callers may name."""
        self._gate.team(call)
        listed = [
            {
                'id': model,
                'object': 'model',
                'created': 0,
                'owned_by': service.name,
            }
            for service in self._config.services().values()
            for model in service.models
        ]
        return json_answer({'object': 'list', 'data': listed})

    def _run(
        self,
        call: Call,
        request: OnlineRequest,
        service: Service,
    ) -> Answer:
        key = call.header(_KEY_HEADER)
        if key or service.recorded:
            return self._recorder.run(request, key)
        return self._dispatcher.run(request)

    def _request(
        self,
        call: Call,
        team: Team,
        service: Service,
        body: bytes,
    ) -> OnlineRequest:
        asked_once = call.header(_REPEATABLE_HEADER).lower() == 'no'
        deadline = clock.uptime() + self._limits.request_seconds
        return OnlineRequest(
            request=self._recorder.name(team.name, call.header(_KEY_HEADER)),
            team=team.name,
            service=service.name,
            model='',
            method=call.method,
            path=call.path,
            body=body,
            stream=False,
            repeatable=service.repeatable and not asked_once,
            deadline=deadline,
        )

    def _service_of(self, model: str) -> Service:
        for service in self._config.services().values():
            if model in service.models:
                return service
        raise CallError(
            HTTPStatus.NOT_FOUND,
            'model_not_found',
            f'no service offers model {model!r}',
        )


def _parsed(body: bytes) -> _CompletionBody:
    try:
        return msgspec.json.decode(body, type=_CompletionBody)
    except DECODE_ERRORS as error:
        raise CallError(
            HTTPStatus.BAD_REQUEST,
            'invalid_body',
            str(error),
        ) from error
