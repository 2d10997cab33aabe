"""Bodies whose end is marked by their framing."""

from geventhttpclient.response import HTTPSocketPoolResponse


class TruncatedBodyError(OSError):
    """A body ended with its connection, so it may be truncated."""


def read_framed(response: HTTPSocketPoolResponse) -> bytes:
    """Read a whole body; raise if neither a length nor chunks mark its end.

    The client library raises where a marked end has not arrived.
    """
    body = bytes(response.read())
    length = response.get('content-length')
    if length is None and response.get('transfer-encoding') is None:
        raise TruncatedBodyError(
            'response has neither length nor chunks and may be truncated'
        )
    return body
