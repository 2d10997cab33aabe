"""Call one peer once, on a connection of its own."""

from http import HTTPStatus

from bendlead_gateway._http.client import HttpConnection

_CONNECT_SECONDS = 0.2


class NotConnectedError(OSError):
    """The peer got no byte of the call."""


def call_peer(
    address: str, method: str, path: str, body: bytes, timeout: float
) -> bytes:
    """Give the body of a good answer, or raise OSError."""
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
        raise OSError(f'status {response.head.status}')
    return response.body
