"""Idle connections to one peer, to be used again."""

from bendlead_gateway._http.client import HttpConnection


class IdleConnections:
    """Keeps some connections to one peer that are open and idle."""

    def __init__(self, address: str, limit: int, timeout: float) -> None:
        """Keep up to ``limit``; connect within ``timeout`` seconds."""
        self.address = address
        self._limit = limit
        self._timeout = timeout
        self._idle: list[HttpConnection] = []

    def acquire(self) -> HttpConnection:
        """Return an idle connection or a new one, or raise OSError."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_idle:
                return connection
            connection.close()
        return HttpConnection(self.address, self._timeout)

    def release(self, connection: HttpConnection) -> None:
        """Keep a connection, or close it."""
        if connection.reusable and len(self._idle) < self._limit:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()
