"""Ports on loopback for listeners that are started later."""

import itertools
import socket
from collections.abc import Iterator, Sequence

#: Below the ports that the system gives to outgoing connections.
_PORTS = range(12_000, 32_000)
#: Ports that a run locks at a time; a dozen nodes need about two hundred.
_BLOCK = 500


class Ports:
    """Hand out ports that no other run on this machine hands out.

    A port that is only probed may be taken by another run before it is bound,
    and one of the outgoing ones by any connection ("Address already in use").
    Processes that inherit the descriptors of ``locks`` keep the ports from
    other runs even if this process is killed and they go on calling them.
    """

    def __init__(self) -> None:
        self._locks: list[socket.socket] = []
        self._ports = itertools.chain.from_iterable(self._blocks())

    @property
    def locks(self) -> Sequence[int]:
        """Descriptors that child processes inherit (``pass_fds``)."""
        return [lock.fileno() for lock in self._locks]

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
        for start in range(0, len(_PORTS), _BLOCK):
            lock = lock_block(_PORTS[start])
            if lock is not None:
                self._locks.append(lock)
                yield _PORTS[start : start + _BLOCK]

    def address(self) -> str:
        """Give an address on loopback."""
        return f'127.0.0.1:{self.take()}'

    def free(self) -> None:
        """Let other runs have the ports, also later ones of this process."""
        while self._locks:
            self._locks.pop().close()


def lock_block(port: int) -> socket.socket | None:
    """Lock the block of a port, or return None if another run has it.

    The lock is a name without a file, which all runs share as they do the
    ports, whatever their temporary folders are.
    """
    start = (port - _PORTS.start) // _BLOCK * _BLOCK
    lock = socket.socket(socket.AF_UNIX)
    try:
        lock.bind(f'\0bendlead-ports-{start}')
    except OSError:
        lock.close()
        return None
    return lock


def own_locks() -> Sequence[int]:
    """Return the descriptors that keep the ports of ``free_port``."""
    return _own.locks


def free_port() -> int:
    """Give a port that nothing listens on, kept for this process."""
    return _own.take()


_own = Ports()
