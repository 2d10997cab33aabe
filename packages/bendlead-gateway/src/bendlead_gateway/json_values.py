"""Values of ours are JSON where they are JSON already, and base64 elsewhere."""

import base64

import msgspec


def pack_value(body: bytes) -> msgspec.Raw:
    """Write a value as JSON: its own, or base64 of other bytes."""
    if _is_json(body):
        return msgspec.Raw(body)
    return msgspec.Raw(b'"%b"' % base64.b64encode(body))


def unpack_value(specification: msgspec.Raw) -> bytes:
    """Give the value that an object holds."""
    raw = bytes(specification)
    if raw[:1] != b'"':
        return raw
    try:
        return base64.b64decode(raw[1:-1], validate=True)
    except ValueError:
        # Not written by us: whoever decodes it says what is wrong with it.
        return raw


def _is_json(body: bytes) -> bool:
    """Tell objects and lists from packed bytes, which may begin like them."""
    if body[:1] not in {b'{', b'['}:
        return False
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.MsgspecError:
        return False
    return True
