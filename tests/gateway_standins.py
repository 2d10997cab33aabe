"""Test doubles of engines and peers on loopback sockets, and helpers."""

import time
from collections.abc import Callable, Sequence
from typing import Any
from weakref import WeakSet

import gevent
from bendlead_gateway.types import (
    DataHall,
    NodeName,
    NodeRole,
    NodeSettings,
)
from bendlead_testing.ports import free_port
from gevent import socket

#: Time for tasks to end before they are killed again.
_END_SECONDS = 2.0
_END_ATTEMPTS = 3

#: Default path of engines' health checks.
_HEALTH_CHECK = b'GET /health '

Script = Callable[[socket.socket], None]


class ScriptedPeer:
    """Runs one script for each accepted connection, in their order."""

    def __init__(self, scripts: Sequence[Script]) -> None:
        self._scripts = list(scripts)
        self._sock = socket.socket()
        self._sock.bind(('127.0.0.1', 0))
        self._sock.listen(64)
        self.address = f'127.0.0.1:{self._sock.getsockname()[1]}'
        self.requests: list[bytes] = []
        #: How an engine answers a health check; None closes the connection.
        self.health: Callable[[bytes], bytes] | None = state_expected_engine
        self._task = gevent.spawn(self._accept)

    def run(self, scripts: Sequence[Script]) -> None:
        """Run these scripts on connections from now on."""
        self._task.kill()
        self._scripts = list(scripts)
        self._task = gevent.spawn(self._accept)

    def close(self) -> None:
        """Stop accepting."""
        self._task.kill()
        self._sock.close()

    def read_request(self, sock: socket.socket) -> bytes:
        """Read one request with its body and record it."""
        data = b''
        while b'\r\n\r\n' not in data:
            received = sock.recv(65536)
            if not received:
                return data
            data += received
        head, _blank, body = data.partition(b'\r\n\r\n')
        length = 0
        for line in head.split(b'\r\n'):
            name, _colon, text = line.partition(b':')
            if name.lower() == b'content-length':
                length = int(text)
        while len(body) < length:
            body += sock.recv(65536)
        if not data.startswith(_HEALTH_CHECK):
            self.requests.append(head + b'\r\n\r\n' + body)
        return data

    def answer_health(self, sock: socket.socket, request: bytes) -> bool:
        """Answer a request if it is a health check; return whether it is."""
        checks = request.startswith(_HEALTH_CHECK)
        if checks and self.health is not None:
            sock.sendall(self.health(request))
        return checks

    def _accept(self) -> None:
        for script in self._scripts:
            sock, _peer = self._sock.accept()
            gevent.spawn(self._run_script, script, sock)

    def _run_script(self, script: Script, sock: socket.socket) -> None:
        try:
            script(sock)
        except OSError:
            # The peer closed; tests check the requests sent until then.
            return
        finally:
            sock.close()


def state_engine(name: bytes, status: bytes = b'200 OK') -> bytes:
    """Return a response to a health check that states an engine."""
    fields = b'X-Instance-Id: %b\r\nContent-Length: 0\r\n' % name
    return b'HTTP/1.1 %b\r\n%b\r\n' % (status, fields)


def state_expected_engine(request: bytes) -> bytes:
    """Answer a health check as the engine that is asked for."""
    expected = request.partition(b'X-Expect-Instance: ')[2]
    return state_engine(expected.partition(b'\r\n')[0])


class TaskTracker:
    """Ends all tasks started since it was made, those of nodes included.

    Tasks that outlive their test would slow down the tests after it.
    """

    def __init__(self) -> None:
        self._started: WeakSet[gevent.Greenlet] = WeakSet()
        gevent.Greenlet.add_spawn_callback(self._record)

    def end(self) -> None:
        """Kill the tasks, and those that they start meanwhile."""
        for _attempt in range(_END_ATTEMPTS):
            gevent.killall(self._alive, timeout=_END_SECONDS)
        gevent.Greenlet.remove_spawn_callback(self._record)
        if self._alive:
            raise AssertionError(
                f'tasks still running after kill: {self._alive}'
            )

    def finish(self) -> None:
        """Wait until all tasks have ended by themselves."""
        while self._alive:
            gevent.joinall(self._alive)

    def _record(self, task: gevent.Greenlet) -> None:
        self._started.add(task)

    @property
    def _alive(self) -> list[gevent.Greenlet]:
        return [task for task in self._started if not task.dead]


class SimulatedProcess(TaskTracker):
    """Simulates a killed process: ends the tasks of one node only.

    Engines and the object service of the test run in the same process.
    """

    def start(self, starts: Callable[[], Any]) -> Any:
        """Call ``starts`` in a task of its own and return its result."""
        root = gevent.spawn(starts)
        self._started.add(root)
        return root.get()

    def _record(self, task: gevent.Greenlet) -> None:
        if task.spawning_greenlet() in self._started:
            self._started.add(task)


def chunked(*parts: bytes, headers: str = '', last: bool = True) -> bytes:
    """Return a chunked 200 response."""
    head = f'HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n'
    body = b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in parts)
    return head.encode() + body + (b'0\r\n\r\n' if last else b'')


def event(number: int, text: str) -> bytes:
    """Return one server-sent event."""
    return f'id: {number}\ndata: {text}\n\n'.encode()


def settings(node: str, role: NodeRole, store: str) -> NodeSettings:
    """Return the settings of a node on loopback."""
    return NodeSettings(
        node=NodeName(node),
        role=role,
        hall=DataHall('hall-1'),
        address='127.0.0.1',
        store_address=store,
        internal_port=free_port(),
        clients_address=f'127.0.0.1:{free_port()}',
        ready_address=f'127.0.0.1:{free_port()}',
        descriptors=4000,
        grace=4,
        settle=1,
        status_retention=120,
    )


def route(kind: str, **changed: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    fields = {
        'name': 'r-1',
        'host': 'a.example',
        'path_prefix': '/x/',
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 300,
        'service': 's1',
        'max_attempts': 2,
        'resumable': False,
        'gap_target_ms': 200,
        'run_target_ms': 18_000,
        'retention_s': 60,
    }
    fields.update(changed)
    return fields


def configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Return an operator's configuration with one service."""
    return {
        'version': version,
        'routes': list(routes),
        'services': [{'name': 's1'}],
    }


def engine(address: str, **changed: Any) -> dict[str, Any]:
    """Return the registration of an engine."""
    fields = {
        'service': 's1',
        'address': address,
        'zone': 'hall-1',
        'slots': 8,
        'state': 'ready',
        'version': 'v1',
    }
    fields.update(changed)
    return fields


def eventually(check: Callable[[], Any], seconds: float = 3) -> Any:
    """Wait until a check returns a true value, and return it."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        outcome = check()
        if outcome:
            return outcome
        gevent.sleep(0.01)
    raise AssertionError(f'condition not met within {seconds} s')


class FullListener:
    """Listener with a full backlog: connecting to it times out."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(('127.0.0.1', 0))
        self.sock.listen(0)
        self.address = f'127.0.0.1:{self.sock.getsockname()[1]}'
        self._filler = socket.create_connection(self.sock.getsockname())

    def close(self) -> None:
        """Stop listening."""
        self._filler.close()
        self.sock.close()


class StallingProxy:
    """TCP proxy whose open connections can be made to stall.

    Stalled connections stay open and acknowledge data, so neither keep-alive
    probes nor system timeouts detect them.
    """

    def __init__(self, target: str) -> None:
        self._target = target.split(':')
        self._sock = socket.socket()
        self._sock.bind(('127.0.0.1', 0))
        self._sock.listen(64)
        self.address = f'127.0.0.1:{self._sock.getsockname()[1]}'
        self.opened = 0
        self._ends: list[socket.socket] = []
        self._pumps: list[gevent.Greenlet] = []
        self._task = gevent.spawn(self._accept)

    def stall(self) -> None:
        """Forward no more data on the connections that are open now."""
        gevent.killall(self._pumps)
        self._pumps.clear()

    def close(self) -> None:
        """Close all connections and stop accepting."""
        self._task.kill()
        self.stall()
        for end in (self._sock, *self._ends):
            end.close()

    def _accept(self) -> None:
        while True:
            near, _peer = self._sock.accept()
            self.opened += 1
            host, port = self._target
            far = socket.create_connection((host, int(port)))
            self._ends.extend((near, far))
            for source, sink in ((near, far), (far, near)):
                pump = gevent.spawn(self._pump, source, sink)
                self._pumps.append(pump)

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while part := source.recv(65536):
                sink.sendall(part)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # Propagate the loss of one end to the other.
            sink.close()


class CrashingEngine:
    """Engine that crashes on requests whose body contains a marker.

    It sends the response head first, as a running engine does. After the crash
    its connections are closed and new ones are refused.
    """

    HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

    def __init__(self, crash_marker: bytes, runs_seconds: float = 0.02) -> None:
        self._crash_marker = crash_marker
        self._runs_seconds = runs_seconds
        self._open: list[socket.socket] = []
        self._tasks: list[gevent.Greenlet] = []
        self.bodies: list[bytes] = []
        self.crashed = False
        self._sock = socket.socket()
        self._sock.bind(('127.0.0.1', 0))
        self._sock.listen(64)
        self.address = f'127.0.0.1:{self._sock.getsockname()[1]}'
        self._accepting = gevent.spawn(self._accept)

    def close(self) -> None:
        """Crash, as on a request with the marker."""
        self.crashed = True
        self._accepting.kill(block=False)
        for sock in (self._sock, *self._open):
            sock.close()

    def _accept(self) -> None:
        while True:
            sock, _peer = self._sock.accept()
            self._open.append(sock)
            self._tasks.append(gevent.spawn(self._serve, sock))

    def _serve(self, sock: socket.socket) -> None:
        try:
            while body := _read_body(sock):
                self._answer(sock, body)
        except OSError:
            # The client closed the connection, or the engine crashed.
            sock.close()

    def _answer(self, sock: socket.socket, body: bytes) -> None:
        self.bodies.append(body)
        sock.sendall(self.HEAD)
        gevent.sleep(self._runs_seconds)
        if self._crash_marker in body:
            self.close()
            return
        text = event(1, 'ok')
        sock.sendall(b'%x\r\n%b\r\n0\r\n\r\n' % (len(text), text))


def _read_body(sock: socket.socket) -> bytes:
    """Read one request with a Content-Length and return its body."""
    received = b''
    while b'\r\n\r\n' not in received:
        part = sock.recv(65536)
        if not part:
            return b''
        received += part
    head, _blank, body = received.partition(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length:')[2].split()[0])
    while len(body) < length:
        body += sock.recv(65536)
    return body
