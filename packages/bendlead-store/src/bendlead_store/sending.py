"""HTTP client with a bound on how often a request is sent."""

from geventhttpclient import HTTPClient


class BoundedClient(HTTPClient):
    """Client that sends a request again no more often than it is told.

    The library alone sends a GET, PUT or DELETE again where the connection
    closes before a byte of the answer, once more than its pool has places.
    """

    def __init__(
        self,
        host: str,
        port: int,
        resends: int = 0,
        *,
        concurrency: int,
        connection_timeout: float,
        network_timeout: float,
        block_size: int = HTTPClient.BLOCK_SIZE,
    ) -> None:
        """Set the number of resends, and the timeouts (s) of the library."""
        super().__init__(
            host,
            port,
            concurrency=concurrency,
            connection_timeout=connection_timeout,
            network_timeout=network_timeout,
            block_size=block_size,
        )
        # Nothing else reads this size: the places are counted on their own.
        self._connection_pool.size = resends - 1
