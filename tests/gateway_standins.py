"""Stand-ins for tests of the gateway: scripted peers on loopback sockets."""

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

#: A task that does not end within this time (s) is asked again.
_END_SECONDS = 2.0
_END_ATTEMPTS = 3

Script = Callable[[socket.socket], None]


class ScriptedPeer:
    """Accept connections and let a script talk on each of them in turn."""

    def __init__(self, scripts: Sequence[Script]) -> None:
        self._scripts = list(scripts)
        self._sock = socket.socket()
        self._sock.bind(('127.0.0.1', 0))
        self._sock.listen(64)
        self.address = f'127.0.0.1:{self._sock.getsockname()[1]}'
        self.requests: list[bytes] = []
        self._task = gevent.spawn(self._accept)

    def close(self) -> None:
        """Stop accepting."""
        self._task.kill()
        self._sock.close()

    def read_request(self, sock: socket.socket) -> bytes:
        """Read one request with its body and keep it."""
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
        self.requests.append(head + b'\r\n\r\n' + body)
        return data

    def _accept(self) -> None:
        for script in self._scripts:
            sock, _peer = self._sock.accept()
            gevent.spawn(self._talk, script, sock)

    def _talk(self, script: Script, sock: socket.socket) -> None:
        try:
            script(sock)
        except OSError:
            # The other side closed; the test looks at what it did before.
            return
        finally:
            sock.close()


class Tasks:
    """End all tasks that a test has started, those of its nodes among them.

    Nodes that go on behind their test slow down all that come later: four
    files left 1,900 tasks, which took 0.23 s of processor time a second.
    """

    def __init__(self) -> None:
        self._started: WeakSet[gevent.Greenlet] = WeakSet()
        gevent.Greenlet.add_spawn_callback(self._note)

    def end(self) -> None:
        """End them, and those that they start while they end."""
        for _attempt in range(_END_ATTEMPTS):
            gevent.killall(self._alive, timeout=_END_SECONDS)
        gevent.Greenlet.remove_spawn_callback(self._note)
        if self._alive:
            raise AssertionError(f'tasks that do not end: {self._alive}')

    def finish(self) -> None:
        """Wait until all have ended by themselves."""
        while self._alive:
            gevent.joinall(self._alive)

    def _note(self, task: gevent.Greenlet) -> None:
        self._started.add(task)

    @property
    def _alive(self) -> list[gevent.Greenlet]:
        return [one for one in self._started if not one.dead]


class ProcessLife(Tasks):
    """Start a node and end it as a kill does: all its tasks, none of others.

    A test runs its engines and its object service in the same process.
    """

    def start(self, starts: Callable[[], Any]) -> Any:
        """Start a node in a task of its own and give it."""
        root = gevent.spawn(starts)
        self._started.add(root)
        return root.get()

    def _note(self, task: gevent.Greenlet) -> None:
        if task.spawning_greenlet() in self._started:
            self._started.add(task)


def chunked(*parts: bytes, headers: str = '', last: bool = True) -> bytes:
    """Make a chunked 200 answer."""
    head = f'HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n'
    body = b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in parts)
    return head.encode() + body + (b'0\r\n\r\n' if last else b'')


def event(number: int, text: str) -> bytes:
    """Make one event of a stream."""
    return f'id: {number}\ndata: {text}\n\n'.encode()


def settings(node: str, role: NodeRole, store: str) -> NodeSettings:
    """Make the settings of a node on loopback."""
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
    """Make a route of the operator's configuration."""
    made = {
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
    made.update(changed)
    return made


def configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Make a configuration of the operator."""
    return {
        'version': version,
        'routes': list(routes),
        'services': [{'name': 's1'}],
    }


def engine(address: str, **changed: Any) -> dict[str, Any]:
    """Make what an engine tells of itself."""
    made = {
        'service': 's1',
        'address': address,
        'zone': 'hall-1',
        'slots': 8,
        'state': 'ready',
    }
    made.update(changed)
    return made


def eventually(check: Callable[[], Any], seconds: float = 3) -> Any:
    """Wait until a check gives something, and give that."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        found = check()
        if found:
            return found
        gevent.sleep(0.01)
    raise AssertionError(f'not within {seconds} s')


class FullListener:
    """Listen on an address whose connections don't come up."""

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


class SilentLink:
    """Carry connections to an address; those that are open can fall silent.

    They stay open then and their bytes are still acknowledged, so neither
    keep-alive probes nor time-outs of the system show it.
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

    def silence(self) -> None:
        """Carry nothing more on the connections that are open now."""
        gevent.killall(self._pumps)
        self._pumps.clear()

    def close(self) -> None:
        """Close all connections and take no more."""
        self._task.kill()
        self.silence()
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
            # One end is gone; so is the other, as far as a peer can tell.
            sink.close()


class MortalEngine:
    """Answer requests, and end under those whose body is of a kind.

    It sends the head of an answer first, as an engine does that has begun;
    then its process is gone: all its connections close, and its address
    refuses new ones.
    """

    HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

    def __init__(self, deadly: bytes, runs_seconds: float = 0.02) -> None:
        self._deadly = deadly
        self._runs_seconds = runs_seconds
        self._open: list[socket.socket] = []
        self._tasks: list[gevent.Greenlet] = []
        self.bodies: list[bytes] = []
        self.ended = False
        self._sock = socket.socket()
        self._sock.bind(('127.0.0.1', 0))
        self._sock.listen(64)
        self.address = f'127.0.0.1:{self._sock.getsockname()[1]}'
        self._accepting = gevent.spawn(self._accept)

    def close(self) -> None:
        """End, as under a request of that kind."""
        self.ended = True
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
            # Its caller has closed, or the engine has ended.
            sock.close()

    def _answer(self, sock: socket.socket, body: bytes) -> None:
        self.bodies.append(body)
        sock.sendall(self.HEAD)
        gevent.sleep(self._runs_seconds)
        if self._deadly in body:
            self.close()
            return
        text = event(1, 'ok')
        sock.sendall(b'%x\r\n%b\r\n0\r\n\r\n' % (len(text), text))


def _read_body(sock: socket.socket) -> bytes:
    """Read one request with a length and give its body."""
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
