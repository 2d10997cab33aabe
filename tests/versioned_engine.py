"""Test double of an engine that streams events of its software version."""

from collections.abc import Mapping

import gevent
from gevent import socket

from tests.gateway_standins import event

EVENTS = 6
_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_END = b'0\r\n\r\n'


class VersionedEngine:
    """Streams ``EVENTS`` events, each with the engine's version as its data.

    It goes on behind the ``Last-Event-Id`` of a request. With ``cut_after`` it
    closes the connection behind that event, and before the first one for 0.
    ``pauses`` are the seconds that it pauses behind events.
    """

    def __init__(
        self,
        version: str,
        cut_after: int | None = None,
        pauses: Mapping[int, float] | None = None,
    ) -> None:
        self.version = version
        self.cut_after = cut_after
        self._pauses = pauses or {}
        self.requests: list[dict[str, str]] = []
        self._sock = socket.socket()
        self._sock.bind(('127.0.0.1', 0))
        self._sock.listen(64)
        self.address = f'127.0.0.1:{self._sock.getsockname()[1]}'
        self._task = gevent.spawn(self._accept)

    def close(self) -> None:
        """Stop accepting connections."""
        self._task.kill()
        self._sock.close()

    def _accept(self) -> None:
        while True:
            sock, _peer = self._sock.accept()
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            while self._answer(sock):
                continue
        except OSError:
            # The client closed the connection.
            return
        finally:
            sock.close()

    def _answer(self, sock: socket.socket) -> bool:
        """Answer one request; return whether to wait for another."""
        headers = _read_headers(sock)
        if headers is None:
            return False
        self.requests.append(headers)
        sock.sendall(_HEAD)
        gevent.sleep(self._pauses.get(0, 0))
        first = int(headers.get('last-event-id', 0)) + 1
        for number in range(first, EVENTS + 1):
            if self.cut_after is not None and number > self.cut_after:
                return False
            part = event(number, self.version)
            sock.sendall(b'%x\r\n%b\r\n' % (len(part), part))
            gevent.sleep(self._pauses.get(number, 0))
        sock.sendall(_END)
        return True


def _read_headers(sock: socket.socket) -> dict[str, str] | None:
    """Read one request and return its headers, ``None`` at the end."""
    received = b''
    while b'\r\n\r\n' not in received:
        part = sock.recv(65536)
        if not part:
            return None
        received += part
    head, _blank, body = received.partition(b'\r\n\r\n')
    headers = {}
    for line in head.decode().split('\r\n')[1:]:
        name, _colon, text = line.partition(':')
        headers[name.lower()] = text.strip()
    missing = int(headers.get('content-length', 0)) - len(body)
    while missing > 0:
        missing -= len(sock.recv(65536))
    return headers
