"""Bodies whose end is marked by their framing."""

from http import HTTPStatus

from geventhttpclient.response import HTTPSocketPoolResponse

_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class TruncatedBodyError(OSError):
    """A body ended with its connection, so it may be truncated."""


def read_framed(response: HTTPSocketPoolResponse) -> bytes:
    """Read a whole body; raise if neither a length nor chunks mark its end.

    The client library raises where a marked end has not arrived.
    """
    body = bytes(response.read())
    if response.status_code in _WITHOUT_BODY:
        return body
    length = response.get('content-length')
    if length is None and response.get('transfer-encoding') is None:
        raise TruncatedBodyError(
            'response has neither length nor chunks and may be truncated'
        )
    return body
