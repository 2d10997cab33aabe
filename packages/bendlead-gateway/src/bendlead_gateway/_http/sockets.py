"""TCP sockets that detect an unreachable peer within seconds."""

import select
import socket as stdlib_socket

from gevent import socket

#: Short enough to leave time for a retry within a client's deadline.
_USER_TIMEOUT_SECONDS = 1.2
#: Idle time before the first keep-alive probe, and between probes.
_PROBE_SECONDS = 1
_PROBE_COUNT = 2
_BACKLOG = 1024
_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
#: Number of characters of an odd address that an error shows.
_SHOWN = 60


class AddressError(OSError):
    """An address that is not of the form IP:PORT."""


def set_tcp_options(sock: socket.socket) -> None:
    """Set short keep-alive and retransmission timeouts on a socket."""
    level = stdlib_socket.IPPROTO_TCP
    sock.setsockopt(level, stdlib_socket.TCP_NODELAY, 1)
    set_user_timeout(sock)
    sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(level, stdlib_socket.TCP_KEEPIDLE, _PROBE_SECONDS)
    sock.setsockopt(level, stdlib_socket.TCP_KEEPINTVL, _PROBE_SECONDS)
    sock.setsockopt(level, stdlib_socket.TCP_KEEPCNT, _PROBE_COUNT)


def set_user_timeout(
    sock: socket.socket, seconds: float = _USER_TIMEOUT_SECONDS
) -> None:
    """Set how long a peer may leave bytes unacknowledged or unread."""
    sock.setsockopt(
        stdlib_socket.IPPROTO_TCP,
        stdlib_socket.TCP_USER_TIMEOUT,
        int(seconds * 1000),
    )


def split_address(address: str) -> tuple[str, int]:
    """Split an address of the form IP:PORT; raise AddressError for others."""
    host, _colon, port = address.rpartition(':')
    digits = port.isascii() and port.isdecimal()
    if not digits or len(port) > _MAX_PORT_DIGITS or int(port) > _MAX_PORT:
        raise AddressError(f'no port in address {address[:_SHOWN]!r}')
    return host, int(port)


def is_ready(sock: socket.socket, events: int) -> bool:
    """Return whether any of the poll events has happened on a socket.

    A process that was stopped finds its timers expired before it is told of
    what arrived meanwhile. Nothing has on one that is closed.
    """
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


def receive(sock: socket.socket, size: int) -> bytes:
    """Read up to a number of bytes; raise OSError, as at a timeout."""
    try:
        return sock.recv(size)
    except TimeoutError:
        if not is_ready(sock, select.POLLIN):
            raise
    return sock.recv(size)


def connect(address: str, timeout: float) -> socket.socket:
    """Open a connection; the timeout is in seconds.

    Raise OSError if it fails.
    """
    split = split_address(address)
    if not split[1]:
        raise AddressError(f'nothing listens at port 0: {address[:_SHOWN]!r}')
    sock = socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM)
    sock.settimeout(timeout)
    try:
        _connect(sock, split)
    except OSError:
        sock.close()
        raise
    except (ValueError, OverflowError) as error:
        # Of a host that is no address and no name.
        sock.close()
        raise AddressError(
            f'no host in address {address[:_SHOWN]!r}'
        ) from error
    set_tcp_options(sock)
    return sock


def listen(address: str | stdlib_socket.socket) -> socket.socket:
    """Open a listening socket, or wrap one that is listening already."""
    if isinstance(address, stdlib_socket.socket):
        return socket.socket(fileno=address.detach())
    sock = socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM)
    sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(_BACKLOG)
    return sock


def _connect(sock: socket.socket, address: tuple[str, int]) -> None:
    try:
        sock.connect(address)
    except TimeoutError:
        if not is_ready(sock, select.POLLOUT):
            raise
        # Returns at once, or raises the error of the connection.
        sock.connect(address)
