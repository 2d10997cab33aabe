"""A process of many TCP links that are delayed, reset, cut or silenced."""

import bendlead_testing.patched  # noqa: F401, I001

import contextlib
import enum
import fnmatch
import json
import socket
import struct
import sys
from dataclasses import dataclass, field

import gevent
from gevent.event import Event
from gevent.server import StreamServer

_BLOCK = 65_536
_CONNECT_SECONDS = 1.0
#: Linger on, for no time: closing sends a reset.
#: Told to a client of an entry that does not run: no process has its request.
_NOBODY = (
    b'HTTP/1.1 599 Nobody Listens\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
_RESETS = struct.pack('ii', 1, 0)


class LinkMode(enum.Enum):
    """Say what a link does to its traffic."""

    PASS = 'pass'
    #: Nothing passes either way; connections stay open.
    SILENT = 'silent'
    #: Requests pass, answers do not.
    NO_ANSWERS = 'no-answers'
    #: Answers pass, requests do not.
    NO_REQUESTS = 'no-requests'
    #: Connections are reset, new ones too.
    RESET = 'reset'
    #: New connections are reset, open ones go on.
    CUT_NEW = 'cut-new'


@dataclass(frozen=True)
class LinkSpec:
    """Say where a link listens and where it leads."""

    name: str
    port: int
    target: str


@dataclass
class Link:
    """Carry the connections of one link."""

    spec: LinkSpec
    mode: LinkMode = LinkMode.PASS
    delay: float = 0
    _open: set[socket.socket] = field(default_factory=set)
    _turned: Event = field(default_factory=Event)

    def turn(self, mode: LinkMode, delay: float) -> None:
        """Treat traffic otherwise from now on; delay in seconds a block."""
        self.mode = mode
        self.delay = delay
        turned, self._turned = self._turned, Event()
        turned.set()
        if mode is LinkMode.RESET:
            for end in list(self._open):
                _reset(end)

    def carry(self, near: socket.socket, _address: object) -> None:
        """Carry one connection until either end closes it."""
        if self.mode in {LinkMode.RESET, LinkMode.CUT_NEW}:
            _reset(near)
            return
        host, port = self.spec.target.rsplit(':', 1)
        try:
            far = socket.create_connection((host, int(port)), _CONNECT_SECONDS)
        except OSError:
            # Nobody listens there: the caller sees what it would see there.
            if self.spec.name.startswith('client>'):
                _answer_nobody(near)
            _reset(near)
            return
        far.settimeout(None)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open.update((near, far))
        there = gevent.spawn(self._pump, near, far, LinkMode.NO_REQUESTS)
        self._pump(far, near, LinkMode.NO_ANSWERS)
        there.join()
        self._open.difference_update((near, far))

    def _pump(
        self, source: socket.socket, sink: socket.socket, stopped_by: LinkMode
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                block = _receive(source, sink)
                if self.delay:
                    gevent.sleep(self.delay)
                while self.mode in {LinkMode.SILENT, stopped_by}:
                    self._turned.wait()
                if not block:
                    break
                sink.sendall(block)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


def _receive(source: socket.socket, sink: socket.socket) -> bytes:
    """Receive a block; pass a reset on."""
    try:
        return source.recv(_BLOCK)
    except ConnectionResetError:
        _reset(sink)
        raise


def _answer_nobody(near: socket.socket) -> None:
    with contextlib.suppress(OSError):
        near.settimeout(_CONNECT_SECONDS)
        near.recv(_BLOCK)
        near.sendall(_NOBODY)
        while near.recv(_BLOCK):
            continue


def _reset(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESETS)
        end.shutdown(socket.SHUT_RDWR)
    end.close()


def main() -> None:
    """Carry the links of a file; take orders as JSON lines on stdin."""
    with open(sys.argv[1], encoding='utf-8') as source:
        links = [Link(LinkSpec(**one)) for one in json.load(source)]
    for link in links:
        StreamServer(('127.0.0.1', link.spec.port), link.carry).start()
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    orders = gevent.get_hub().threadpool
    while line := orders.apply(sys.stdin.readline):
        order = json.loads(line)
        for link in links:
            if fnmatch.fnmatch(link.spec.name, order['links']):
                link.turn(LinkMode(order['mode']), order['delay'])


if __name__ == '__main__':
    main()
