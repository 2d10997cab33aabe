"""A stand-in for the users' platform store, with its failures.

It speaks the calls of the store's published page and nothing else: objects by
kind and name, one counter of revisions, conditional writes, held watches.
"""

import enum
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import gevent
from bendlead_gateway._http.messages import (
    ClientDisconnectedError,
    Request,
    Responder,
)
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway.types import ClientLimits
from gevent.event import Event

from bendlead_testing.task_deaths import reported

_LIMITS = ClientLimits(body_bytes=4_194_304, idle_seconds=600)
_PAGE = 500
_VALUE_BYTES = 1_048_576
_HISTORY = 1000


class Trouble(enum.Enum):
    """Say how the store misbehaves for now."""

    NONE = 'none'
    AWAY = 'away'
    LIMITED = 'limited'
    SILENT = 'silent'
    #: Connections are closed, held ones too.
    CUT = 'cut'
    #: Writes take effect and are not answered.
    LOST_ANSWERS = 'lost_answers'
    #: Writes are not answered and take effect later.
    LATE_EFFECTS = 'late_effects'
    #: Answers come late.
    SLOW = 'slow'


@dataclass(slots=True)
class _Change:
    revision: int
    kind: str
    body: dict[str, Any]
    removed: bool


def _as_it_is(_kind: str, shown: dict[str, Any]) -> dict[str, Any]:
    return shown


@dataclass(slots=True)
class Door:
    """Keep how the store treats the callers of one address.

    ``show`` may change what they read, so that each caller can be given
    addresses of links of its own.
    """

    address: str
    trouble: Trouble = Trouble.NONE
    show: Callable[[str, dict[str, Any]], dict[str, Any]] = _as_it_is


@dataclass(slots=True)
class PlatformStandIn:
    """Serve objects on a loopback address."""

    address: str
    trouble: Trouble = Trouble.NONE
    late_seconds: float = 0.3
    slow_seconds: float = 0.3
    revision: int = 10
    calls: list[str] = field(default_factory=list)
    _objects: dict[tuple[str, str], dict[str, Any]] = field(
        default_factory=dict
    )
    _history: list[_Change] = field(default_factory=list)
    _forgotten: int = 0
    _changed: Event = field(default_factory=Event)

    def start(self) -> None:
        """Listen from now on."""
        self.open_door(Door(self.address))

    def open_door(self, door: Door) -> None:
        """Listen on one more address, with troubles of its own."""
        HttpServer(
            door.address,
            reported(
                lambda request, responder: self._answer(
                    door, request, responder
                )
            ),
            lambda: _LIMITS,
            time.monotonic,
        ).start()

    def set(self, kind: str, name: str, specification: Any) -> int:
        """Write an object as the operator or an engine would."""
        return self._store(kind, name, specification)['metadata']['revision']

    def remove(self, kind: str, name: str, unseen: bool = False) -> None:
        """Remove an object as the operator or an engine would.

        No watch hears of it where it is unseen.
        """
        gone = self._objects.pop((kind, name))
        if unseen:
            self.revision += 1
        else:
            self._note(kind, gone, removed=True)

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Look at an object."""
        return self._objects.get((kind, name))

    def forget_history(self) -> None:
        """Drop all changes; watches from before get 410."""
        self._history.clear()
        self._forgotten = self.revision
        self._wake()

    def list_names(self, kind: str) -> list[str]:
        """List the names of the objects of a kind."""
        return [name for found, name in self._objects if found == kind]

    def _trouble(self, door: Door) -> Trouble:
        return door.trouble if self.trouble is Trouble.NONE else self.trouble

    def _answer(
        self, door: Door, request: Request, responder: Responder
    ) -> None:
        self.calls.append(f'{request.method} {request.target}')
        writes = request.method != 'GET'
        trouble = self._trouble(door)
        if trouble is Trouble.AWAY:
            responder.answer(503)
        elif trouble is Trouble.LIMITED:
            responder.answer(429, [('Retry-After', '0.05')])
        elif trouble is Trouble.CUT:
            raise ClientDisconnectedError('cut')
        elif trouble is Trouble.SILENT:
            _say_nothing()
        elif writes and trouble is Trouble.LOST_ANSWERS:
            self._respond(door, request, _Unheard())
            _say_nothing()
        elif writes and trouble is Trouble.LATE_EFFECTS:
            gevent.spawn_later(
                self.late_seconds, self._respond, door, request, _Unheard()
            )
            _say_nothing()
        else:
            if trouble is Trouble.SLOW:
                gevent.sleep(self.slow_seconds)
            self._respond(door, request, responder)

    def _respond(self, door: Door, request: Request, responder: Any) -> None:
        if len(request.body) > _VALUE_BYTES:
            responder.answer(413)
            return
        parts = urlsplit(request.target)
        names = parts.path.removeprefix('/-/objects/').split('/')
        query = {name: one[0] for name, one in parse_qs(parts.query).items()}
        kind = names[0]
        if request.method == 'POST':
            self._post(kind, json.loads(request.body), responder)
        elif len(names) == 1 and 'watch' in query:
            self._watch(door, kind, query, responder)
        elif len(names) == 1:
            self._list(door, kind, query.get('watch_after', ''), responder)
        else:
            self._one(request, kind, names[1:], query, responder)

    def _one(
        self,
        request: Request,
        kind: str,
        names: list[str],
        query: dict[str, str],
        responder: Any,
    ) -> None:
        name = unquote(names[0])
        found = self._objects.get((kind, name))
        if found is None:
            responder.answer(404)
        elif request.method == 'GET':
            _json(responder, 200, found)
        elif request.method == 'DELETE':
            if (
                int(query.get('revision', found['metadata']['revision']))
                != (found['metadata']['revision'])
            ):
                _json(responder, 409, found)
                return
            self.remove(kind, name)
            _json(responder, 200, found)
        else:
            sent = json.loads(request.body)
            part = 'status' if names[1:] == ['status'] else 'specification'
            self._put(kind, name, sent, part, responder)

    def _put(
        self,
        kind: str,
        name: str,
        sent: dict[str, Any],
        part: str,
        responder: Any,
    ) -> None:
        found = self._objects[kind, name]
        expected = sent['metadata'].get('revision', 0)
        if expected and expected != found['metadata']['revision']:
            _json(responder, 409, found)
        elif found[part] == sent[part]:
            _json(responder, 200, found)
        else:
            changed = self._store(kind, name, sent[part], part)
            _json(responder, 200, changed)

    def _post(self, kind: str, sent: dict[str, Any], responder: Any) -> None:
        name = sent['metadata']['name']
        found = self._objects.get((kind, name))
        if found is not None:
            _json(responder, 409, found)
            return
        made = self._store(kind, name, sent['specification'])
        _json(responder, 200, made)

    def _list(self, door: Door, kind: str, after: str, responder: Any) -> None:
        names = sorted(
            name
            for found, name in self._objects
            if found == kind and name > after
        )
        page = [
            door.show(kind, self._objects[kind, name]) for name in names[:_PAGE]
        ]
        listed = {
            'items': page,
            'has_more': len(names) > _PAGE,
            'as_of': self.revision,
        }
        _json(responder, 200, listed)

    def _watch(
        self, door: Door, kind: str, query: dict[str, str], responder: Any
    ) -> None:
        since = int(query['watch'])
        left = int(query.get('wait_ms', '0')) / 1000
        until = time.monotonic() + left
        while True:
            if self._trouble(door) is Trouble.CUT:
                raise ClientDisconnectedError('cut')
            if since < self._forgotten:
                responder.answer(410)
                return
            events = [
                {'removed': one.removed, 'object': door.show(kind, one.body)}
                for one in self._history
                if one.kind == kind and one.revision > since
            ]
            if events or time.monotonic() >= until:
                found = {'events': events, 'as_of': self.revision}
                _json(responder, 200, found)
                return
            self._changed.wait(until - time.monotonic())

    def _store(
        self,
        kind: str,
        name: str,
        value: Any,
        part: str = 'specification',
    ) -> dict[str, Any]:
        before = self._objects.get((kind, name))
        made = dict(before or {'specification': None, 'status': None})
        made[part] = value
        created = before['metadata']['created'] if before else self.revision + 1
        made['metadata'] = {
            'name': name,
            'revision': self.revision + 1,
            'created': created,
            'finalizers': [],
            'deleting': False,
        }
        self._objects[kind, name] = made
        self._note(kind, made, removed=False)
        return made

    def _note(self, kind: str, body: dict[str, Any], removed: bool) -> None:
        self.revision += 1
        self._history.append(_Change(self.revision, kind, body, removed))
        del self._history[:-_HISTORY]
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()


class _Unheard:
    """Take an answer that nobody gets."""

    def answer(self, *_parts: Any) -> None:
        """Drop the answer."""


def _say_nothing() -> None:
    """Hold the connection until the other side gives up."""
    gevent.sleep(3600)


def _json(responder: Any, status: int, shown: Any) -> None:
    headers = [('Content-Type', 'application/json')]
    responder.answer(status, headers, json.dumps(shown).encode())
