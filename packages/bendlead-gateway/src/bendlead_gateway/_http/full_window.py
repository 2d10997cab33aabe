"""Connections whose client reads more slowly than it is sent to."""

import contextlib
import socket as stdlib_socket
import struct
from collections.abc import Callable

import gevent
from gevent import socket

from bendlead_gateway._http.connection_end import EndReason
from bendlead_gateway._http.sockets import set_user_timeout

#: Unanswered retransmissions and probes, unsent bytes (``struct tcp_info``).
_TCP_INFO = struct.Struct('2x2B140xI')
_CHECK_SECONDS = 0.2
#: Together about as long as TCP_USER_TIMEOUT of other connections.
_UNANSWERED_CHECKS = 6


class FullWindow:
    """Allows a client to rest while bytes wait for its window.

    TCP_USER_TIMEOUT counts a full window as silence, though the client answers
    probes. It is raised meanwhile, and real silence is noticed here.
    """

    def __init__(
        self,
        sock: socket.socket,
        rest_seconds: float,
        on_end: Callable[[EndReason, str], None],
    ) -> None:
        self._sock = sock
        self._rest_seconds = rest_seconds
        self._on_end = on_end
        self._watched = False

    def check(self) -> None:
        """Watch the connection if bytes are unsent; to be called after a send.

        A client that is silent already is left to the kernel.
        """
        if not self._watched and self._read_state() == (False, True):
            self._watched = True
            set_user_timeout(self._sock, self._rest_seconds)
            gevent.spawn(self._watch)

    def _read_state(self) -> tuple[bool, bool]:
        """Return whether the client is silent, and whether bytes wait."""
        retransmits, probes, unsent = _TCP_INFO.unpack(
            self._sock.getsockopt(
                stdlib_socket.IPPROTO_TCP,
                stdlib_socket.TCP_INFO,
                _TCP_INFO.size,
            )
        )
        return bool(retransmits or probes), bool(unsent)

    def _watch(self) -> None:
        # The connection may be closed meanwhile.
        with contextlib.suppress(OSError):
            if self._becomes_silent():
                self._on_end(EndReason.CLIENT_CLOSED, 'no acknowledgement')
                self._sock.shutdown(socket.SHUT_RDWR)

    def _becomes_silent(self) -> bool:
        """Return whether the client is silent before all bytes are sent."""
        unanswered = 0
        while unanswered < _UNANSWERED_CHECKS:
            gevent.sleep(_CHECK_SECONDS)
            silent, waiting = self._read_state()
            if not waiting:
                set_user_timeout(self._sock)
                self._watched = False
                return False
            unanswered = unanswered + 1 if silent else 0
        return True
