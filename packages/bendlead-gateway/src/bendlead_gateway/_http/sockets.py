"""TCP sockets that notice within seconds that their peer is gone."""

import socket as constants

from gevent import socket

#: Unacknowledged bytes end a connection after this long (ms). A silent
#: engine is given up well within a client's deadline of some seconds.
_USER_TIMEOUT_MS = 1200
#: Idle seconds before the first keep-alive probe, and between probes.
_PROBE_SECONDS = 1
_PROBES = 2
_BACKLOG = 1024


def tune(sock: socket.socket) -> None:
    """Make a connected socket fail soon after its peer falls silent."""
    level = constants.IPPROTO_TCP
    sock.setsockopt(level, constants.TCP_NODELAY, 1)
    sock.setsockopt(level, constants.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    sock.setsockopt(constants.SOL_SOCKET, constants.SO_KEEPALIVE, 1)
    sock.setsockopt(level, constants.TCP_KEEPIDLE, _PROBE_SECONDS)
    sock.setsockopt(level, constants.TCP_KEEPINTVL, _PROBE_SECONDS)
    sock.setsockopt(level, constants.TCP_KEEPCNT, _PROBES)


def split_address(address: str) -> tuple[str, int]:
    """Split IP:PORT."""
    host, port = address.rsplit(':', 1)
    return host, int(port)


def connect(address: str, timeout: float) -> socket.socket:
    """Open a connection, or raise OSError."""
    sock = socket.socket(constants.AF_INET, constants.SOCK_STREAM)
    sock.settimeout(timeout)
    try:
        sock.connect(split_address(address))
    except OSError:
        sock.close()
        raise
    tune(sock)
    return sock


def listen(address: str | constants.socket) -> socket.socket:
    """Open a listening socket, or take one that listens already."""
    if isinstance(address, constants.socket):
        return socket.socket(fileno=address.detach())
    sock = socket.socket(constants.AF_INET, constants.SOCK_STREAM)
    sock.setsockopt(constants.SOL_SOCKET, constants.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(_BACKLOG)
    return sock
