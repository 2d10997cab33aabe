"""Make single calls to a peer, each on a new connection."""

from http import HTTPStatus

from bendlead_gateway._http.client import HttpConnection

_CONNECT_SECONDS = 0.2


class NotConnectedError(OSError):
    """The connection failed before any byte was sent."""


def call_peer(
    address: str, method: str, path: str, body: bytes, timeout: float
) -> bytes:
    """Return the body of a 200 response, or raise OSError."""
    try:
        connection = HttpConnection(address, _CONNECT_SECONDS)
    except OSError as error:
        raise NotConnectedError(f'connect: {error}') from error
    try:
        response = connection.request(
            method, path, [('Host', address)], body, timeout
        )
    finally:
        connection.close()
    if response.head.status != HTTPStatus.OK:
        raise OSError(f'peer responded with status {response.head.status}')
    return response.body
