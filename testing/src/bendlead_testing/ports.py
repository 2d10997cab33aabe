"""Ports on loopback for listeners that are started later."""

import fcntl
import itertools
import pathlib
import socket
import tempfile
from collections.abc import Iterator, Sequence
from typing import TextIO

#: Below the ports that the system gives to outgoing connections.
_PORTS = range(12_000, 32_000)
#: Ports that a run locks at a time; a dozen nodes need about two hundred.
_BLOCK = 500


class Ports:
    """Hand out ports that no other run on this machine hands out.

    A port that is only probed may be taken by another run before it is bound,
    and one of the outgoing ones by any connection ("Address already in use").
    """

    def __init__(self) -> None:
        self._locks: list[TextIO] = []
        self._ports = itertools.chain.from_iterable(self._blocks())

    def take(self) -> int:
        """Give a port that nothing listens on."""
        for port in self._ports:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(('127.0.0.1', port))
                except OSError:
                    # Taken by another program: go on to the next one.
                    continue
            return port
        raise RuntimeError('no free port left below the outgoing ones')

    def _blocks(self) -> Iterator[Sequence[int]]:
        """Give the blocks that this run can lock, one after the other."""
        folder = pathlib.Path(tempfile.gettempdir())
        for start in range(0, len(_PORTS), _BLOCK):
            lock = open(folder / f'bendlead-ports-{start}', 'w')
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                lock.close()
                continue
            self._locks.append(lock)
            yield _PORTS[start : start + _BLOCK]

    def address(self) -> str:
        """Give an address on loopback."""
        return f'127.0.0.1:{self.take()}'

    def free(self) -> None:
        """Let other runs have the ports, also later ones of this process."""
        while self._locks:
            self._locks.pop().close()


def free_port() -> int:
    """Give a port that nothing listens on, kept for this process."""
    return _own.take()


_own = Ports()
