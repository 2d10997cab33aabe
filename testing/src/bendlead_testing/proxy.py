"""A TCP proxy that delays, cuts, partitions and loses replies on order."""

import bendlead_testing.patched  # noqa: F401, I001

import argparse
import contextlib
import socket
from enum import Enum

import gevent
import msgspec
from bendlead_node._common.web import (
    Answer,
    Call,
    Route,
    WebApp,
    WebServer,
    json_answer,
)
from gevent.server import StreamServer

_BLOCK = 65536
_BODY_BYTES = 10_000


class Mode(Enum):
    """Say what the proxy does to traffic."""

    PASS = 'pass'
    CUT = 'cut'
    LOSE_REPLIES = 'lose-replies'
    PARTITION = 'partition'


class Order(msgspec.Struct):
    """Tell the proxy how to misbehave (delay in seconds)."""

    mode: Mode = Mode.PASS
    delay: float = 0


class FaultProxy:
    """Stand between two processes and break their connections on order."""

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(':', 1)
        self._target = (host, int(port))
        self._order = Order()
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()

    def handle(self, near: socket.socket, _address: object) -> None:
        """Carry one connection."""
        if self._order.mode is Mode.CUT:
            return
        far = socket.create_connection(self._target)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far)
        self._pairs.add(pair)
        back = gevent.spawn(self._pump, far, near, reply=True)
        self._pump(near, far, reply=False)
        back.join()
        self._pairs.discard(pair)

    def obey(self, call: Call) -> Answer:
        """Take an order; a cut ends the connections there are."""
        self._order = msgspec.json.decode(call.body(_BODY_BYTES), type=Order)
        if self._order.mode is Mode.CUT:
            for pair in list(self._pairs):
                for end in pair:
                    _close(end)
        return json_answer({})

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        *,
        reply: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while block := source.recv(_BLOCK):
                gevent.sleep(self._order.delay)
                while self._order.mode is Mode.PARTITION:
                    gevent.sleep(0.05)
                if reply and self._order.mode is Mode.LOSE_REPLIES:
                    break
                sink.sendall(block)
        _close(source)
        _close(sink)


def _close(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        end.shutdown(socket.SHUT_RDWR)
    end.close()


def main() -> None:
    """Serve until ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('port', type=int)
    parser.add_argument('target')
    parser.add_argument('control', type=int)
    asked = parser.parse_args()
    proxy = FaultProxy(asked.target)
    StreamServer(('127.0.0.1', asked.port), proxy.handle).start()
    app = WebApp([Route('POST', '/order', proxy.obey)])
    WebServer('127.0.0.1', asked.control, app).start()
    gevent.get_hub().join()


if __name__ == '__main__':
    main()
