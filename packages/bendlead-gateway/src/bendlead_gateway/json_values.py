"""Encoding of stored values: JSON as it is, other bytes as base64."""

import base64

import msgspec

#: Errors of decoding JSON that others wrote. ``msgspec`` raises the last one,
#: which is no ``MsgspecError``, where lists or objects are nested too deeply.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)


def pack_value(body: bytes) -> msgspec.Raw:
    """Encode a value: JSON objects and lists as is, other bytes as base64."""
    if _is_json(body):
        return msgspec.Raw(body)
    return msgspec.Raw(b'"%b"' % base64.b64encode(body))


def unpack_value(specification: msgspec.Raw) -> bytes:
    """Decode the value of a stored object."""
    raw = bytes(specification)
    if raw[:1] != b'"':
        return raw
    try:
        return base64.b64decode(raw[1:-1], validate=True)
    except ValueError:
        # Not written by the gateway; the decoder of the object reports it.
        return raw


def _is_json(body: bytes) -> bool:
    """Return whether bytes are a valid JSON object or list."""
    if body[:1] not in {b'{', b'['}:
        return False
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except DECODE_ERRORS:
        return False
    return True
