"""A stand-in for the users' engines that keeps a journal of what it ran."""

import bendlead_testing.patched  # noqa: F401, I001

import argparse
import enum
import hashlib
import json
import math
import os
import random
import signal
import socket
import struct
import time
import uuid
from typing import Any

import gevent
from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway.http import HttpConnection
from bendlead_gateway.types import ClientLimits
from gevent.lock import BoundedSemaphore
from gevent.monkey import get_original

from bendlead_testing.gateway_soak.answers import (
    DEADLY,
    DEADLY_PART,
    marked_text,
    seal_of,
)
from bendlead_testing.gateway_soak.sightings import Kind
from bendlead_testing.gateway_soak.silences import REST_SECONDS
from bendlead_testing.task_deaths import reported

#: Sleeps without letting other tasks run.
_block = get_original('time', 'sleep')
_LIMITS = ClientLimits(idle_seconds=20)
_BEAT_SECONDS = 0.5
_CALL_SECONDS = 1.0
_EVENT_SECONDS = 0.02
_FIRST_SECONDS = 0.03
_QUEUE = 16
#: Paths whose answers are no streams.
_HEALTH_PATH = '/health'
_PLAIN_PATHS = (Kind.ONCE.value, Kind.SAFE.value, '/version-')
#: An engine that can't tell the store that it leaves gives up after this (s).
_TELL_SECONDS = 8.0
#: A draining engine serves on this long (s) once the store knows.
_SERVES_ON = 3.5
#: And this much longer (s) while it has requests.
_SERVES_LONGER = 3.0
#: How an engine exits that ends under a request.
_CRASHED = 9
_RESETS = struct.pack('ii', 1, 0)
#: Part of the requests that a troubled engine treats badly.
_BAD_SHARE = 0.3

#: Part of the answers that end in each odd way, where ends are tried.
_ODD_END_SHARE = 0.1


class EngineTrouble(enum.Enum):
    """Say how an engine misbehaves for now."""

    NONE = 'none'
    ERRORS = 'errors'
    SHED = 'shed'
    HANG = 'hang'
    RESET = 'reset'
    BREAK_OFF = 'break-off'
    SURPLUS = 'surplus'
    SLOW = 'slow'
    #: All requests, at once.
    FAIL_FAST = 'fail-fast'
    RESET_ALL = 'reset-all'
    #: Streams end with their connections, some of them inside an event.
    UNFRAMED = 'unframed'
    RESET_MIDWAY = 'reset-midway'


#: Troubles that come only where load is hard.
HARD_TROUBLES = frozenset((EngineTrouble.FAIL_FAST, EngineTrouble.RESET_ALL))


#: Troubles that come only where ends of answers are tried.
END_TROUBLES = frozenset((EngineTrouble.UNFRAMED, EngineTrouble.RESET_MIDWAY))


class Journal:
    """Append lines that outlive the process."""

    def __init__(self, path: str, engine: str) -> None:
        flags = os.O_APPEND | os.O_CREAT | os.O_WRONLY
        self._file = os.open(path, flags)
        self._engine = engine

    def note(self, kind: str, **fields: Any) -> None:
        """Write one line in one call."""
        line = {'at': time.monotonic(), 'kind': kind, 'engine': self._engine}
        os.write(self._file, f'{json.dumps(line | fields)}\n'.encode())


class EngineStandIn:
    """Serve requests in slots and tell the store about itself."""

    def __init__(self, asked: argparse.Namespace) -> None:
        self._asked = asked
        self._name = f'i-{uuid.uuid4().hex[:10]}'
        self._journal = Journal(asked.journal, self._name)
        self._slots = BoundedSemaphore(asked.slots)
        self._queued = 0
        self._trouble = EngineTrouble.NONE
        self._sequence = 0
        self._leaving = False
        #: Held by the one who writes to the store, for as long as it does.
        self._beating = BoundedSemaphore()
        self._moves_since = 0.0
        self._key = f'/-/objects/servers/{self._name}'

    def run(self) -> None:
        """Serve until told to leave."""
        HttpServer(
            self._asked.listen,
            reported(self._answer),
            lambda: _LIMITS,
            time.monotonic,
        ).start()
        gevent.signal_handler(signal.SIGTERM, lambda: gevent.spawn(self._leave))
        self._journal.note(
            'life', spot=self._asked.spot, version=self._asked.version
        )
        while True:
            self._beat()
            gevent.sleep(_BEAT_SECONDS)

    def _call(self, method: str, path: str, shown: Any = None) -> int:
        try:
            connection = HttpConnection(self._asked.store, _CALL_SECONDS)
        except OSError:
            return 0
        body = b'' if shown is None else json.dumps(shown).encode()
        try:
            headers = [('Host', 'store')]
            answered = connection.request(
                method, path, headers, body, _CALL_SECONDS
            )
        except OSError:
            return 0
        finally:
            connection.close()
        return answered.head.status

    def _stand_still(self, seconds: float) -> None:
        """Neither read nor write for a time; only the heartbeat goes on.

        The kernel accepts connections meanwhile.
        """
        with self._beating:
            now = time.monotonic()
            if now < self._moves_since + REST_SECONDS:
                # It stood still, or was stopped, when it was told.
                return
            self._journal.note('still', seconds=seconds)
            beating = gevent.get_hub().threadpool.spawn(
                self._beat_until, now + seconds
            )
            _block(seconds)
            self._moves_since = time.monotonic()
            self._journal.note('moves')
            beating.get()

    def _beat_until(self, until: float) -> None:
        """Write to the store from another thread."""
        while time.monotonic() < until:
            self._write()
            _block(min(_BEAT_SECONDS, max(0, until - time.monotonic())))

    def _beat(self) -> bool:
        with self._beating:
            return self._write()

    def _write(self) -> bool:
        self._sequence += 1
        told = {
            'service': self._asked.service,
            'address': self._asked.listen,
            'zone': self._asked.hall,
            'version': self._asked.version,
            'slots': self._asked.slots,
            'state': 'draining' if self._leaving else 'ready',
            'sequence': self._sequence,
        }
        shown = {'metadata': {'name': self._name}, 'specification': told}
        status = self._call('PUT', self._key, shown)
        if status == 404:
            status = self._call('POST', '/-/objects/servers', shown)
        return status == 200

    def _leave(self) -> None:
        self._leaving = True
        until = time.monotonic() + _TELL_SECONDS
        while not self._beat():
            if time.monotonic() > until:
                os._exit(0)
            gevent.sleep(_BEAT_SECONDS / 4)
        self._journal.note('draining')
        gevent.sleep(_SERVES_ON)
        until = time.monotonic() + _SERVES_LONGER
        while self._queued and time.monotonic() < until:
            gevent.sleep(_EVENT_SECONDS)
        self._call('DELETE', self._key)
        self._journal.note('left')
        os._exit(0)

    def _answer(self, request: Request, responder: Responder) -> None:
        headers = {name.lower(): text for name, text in request.headers}
        if request.path == '/-/trouble':
            self._trouble = EngineTrouble(request.body.decode())
            responder.answer(200)
            return
        if request.path == '/-/still':
            responder.answer(200)
            gevent.spawn(self._stand_still, float(request.body))
            return
        if request.path == _HEALTH_PATH:
            self._answer_health(headers, responder)
            return
        name = headers.get('x-attempt-id', '')
        facts = {
            'request': name,
            'path': request.target,
            'body': hashlib.sha256(request.body).hexdigest(),
            'after': int(headers.get('last-event-id', 0)),
        }
        instance = headers.get('x-expect-instance', self._name)
        if instance != self._name:
            self._journal.note('misdirected', **facts)
            responder.answer(421, [('X-Attempt-Id', name)])
            return
        left_ms = headers.get('x-deadline-ms')
        self._journal.note(
            'arrival', **facts, left_ms=float(left_ms) if left_ms else None
        )
        if self._queued >= _QUEUE or self._bad(EngineTrouble.SHED):
            refused = [('X-Not-Executed', '1'), ('X-Attempt-Id', name)]
            responder.answer(503, refused)
            return
        self._queued += 1
        try:
            self._wait_and_run(name, headers, facts, responder)
        finally:
            self._queued -= 1

    def _answer_health(
        self, headers: dict[str, str], responder: Responder
    ) -> None:
        """Answer as for a request: as another engine, or for want of room."""
        if headers.get('x-expect-instance', self._name) != self._name:
            responder.answer(421)
        elif self._queued >= _QUEUE:
            responder.answer(503, [('X-Not-Executed', '1')])
        else:
            responder.answer(200, [('X-Instance-Id', self._name)])

    def _wait_and_run(
        self,
        name: str,
        headers: dict[str, str],
        facts: dict[str, Any],
        responder: Responder,
    ) -> None:
        patience = float(headers.get('x-deadline-ms', 60_000)) / 1000
        until = time.monotonic() + patience
        if not self._slots.acquire(timeout=patience):
            refused = [('X-Not-Executed', '1'), ('X-Attempt-Id', name)]
            responder.answer(503, refused)
            return
        self._journal.note('start', **facts)
        ending = 'dropped'
        try:
            plain = facts['path'].startswith(_PLAIN_PATHS)
            ending = self._run(
                name, headers, facts['after'], responder, until, plain=plain
            )
        finally:
            self._slots.release()
            self._journal.note('end', request=name, ending=ending)

    def _run(
        self,
        name: str,
        headers: dict[str, str],
        after: int,
        responder: Responder,
        until: float,
        *,
        plain: bool,
    ) -> str:
        if self._bad(EngineTrouble.HANG):
            gevent.sleep(until - time.monotonic())
            return 'hung'
        failing = self._trouble is EngineTrouble.FAIL_FAST
        if (
            failing
            or self._bad(EngineTrouble.ERRORS)
            or name.endswith('bad500')
        ):
            responder.answer(500, self._marks(name))
            return 'failed'
        if name.endswith('bad422'):
            responder.answer(422, self._marks(name))
            return 'failed'
        resetting = self._trouble is EngineTrouble.RESET_ALL
        if resetting or self._bad(EngineTrouble.RESET):
            responder._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESETS
            )
            responder.abort()
            return 'reset'
        if name.endswith(DEADLY) and self._crashes:
            gevent.sleep(_FIRST_SECONDS)
            self._journal.note('crash', request=name)
            os._exit(_CRASHED)
        total = int(headers.get('x-token-usage', '0,5').split(',')[1])
        gevent.sleep(_FIRST_SECONDS)
        deadly = self._crashes and (
            DEADLY_PART in headers.get('x-prompt-prefix', '')
        )
        if not (plain or deadly) and self._ends(EngineTrouble.UNFRAMED):
            return self._run_unframed(name, after, total, responder)
        responder.start(200, 'OK', self._marks(name), None)
        if deadly:
            gevent.sleep(_FIRST_SECONDS)
            self._journal.note('crash', request=name)
            os._exit(_CRASHED)
        cut = total // 2 if self._bad(EngineTrouble.BREAK_OFF) else total
        reset = total // 2 if self._ends(EngineTrouble.RESET_MIDWAY) else total
        pause = _EVENT_SECONDS * self._asked.pace
        if self._trouble is EngineTrouble.SLOW:
            pause *= 5
        for number in range(after + 1, total + 1):
            if number > cut:
                responder.abort()
                return 'broken-off'
            if number > reset:
                _reset(responder)
                return 'reset'
            if time.monotonic() > until:
                responder.abort()
                return 'deadline'
            text = marked_text(name, number, self._asked.version)
            event = f'id: {number}\ndata: {text}\n\n'
            responder.write(event.encode())
            gevent.sleep(pause)
        responder.finish()
        if self._bad(EngineTrouble.SURPLUS):
            responder._send(
                b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n' % name.encode()
            )
            responder._send(b'Content-Length: 4\r\n\r\nmore')
        return 'done'

    def _run_unframed(
        self, name: str, after: int, total: int, responder: Responder
    ) -> str:
        """Answer without a length or chunks.

        An engine that runs on breaks off inside an event; one that is killed
        most often between two.
        """
        responder.close_after()
        responder.started = responder.finished = True
        head = responder._head(200, 'OK', self._marks(name))
        responder._write_head(head, b'')
        broken = random.random() < _BAD_SHARE
        cut = after + (total - after) // 2 if broken else total
        for number in range(after + 1, cut + 1):
            text = marked_text(name, number, self._asked.version)
            end = '' if broken and number == cut else '\n'
            responder._send(f'id: {number}\ndata: {text}\n{end}'.encode())
            gevent.sleep(_EVENT_SECONDS * self._asked.pace)
        if broken:
            if random.random() < _BAD_SHARE:
                _reset(responder)
            return 'broken-off-unframed'
        self._journal.note('unframed', request=name)
        return 'done'

    def _marks(self, name: str) -> list[tuple[str, str]]:
        return [('X-Attempt-Id', name), ('X-Response-Seal', seal_of(name))]

    @property
    def _crashes(self) -> bool:
        """Tell whether deadly requests and parts end engines now."""
        return time.monotonic() < self._asked.deadly_until

    def _ends(self, trouble: EngineTrouble) -> bool:
        """Draw whether an answer ends that way, at times without a trouble."""
        odd = self._asked.ends and random.random() < _ODD_END_SHARE
        return odd or self._bad(trouble)

    def _bad(self, trouble: EngineTrouble) -> bool:
        return self._trouble is trouble and random.random() < _BAD_SHARE


def _reset(responder: Responder) -> None:
    responder.abort()
    responder._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESETS)
    responder._sock.close()


def main() -> None:
    """Serve until ended."""
    parser = argparse.ArgumentParser()
    for name in ('listen', 'store', 'journal', 'service', 'hall'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--slots', type=int, default=4)
    parser.add_argument('--pace', type=float, default=1.0)
    parser.add_argument('--version', default='v1')
    parser.add_argument('--spot', default='')
    parser.add_argument('--ends', action='store_true')
    parser.add_argument('--deadly-until', type=float, default=math.inf)
    EngineStandIn(parser.parse_args()).run()


if __name__ == '__main__':
    main()
