"""Decoding of JSON objects of which parts can't be decoded.

Decoding fails as a whole for one member that is nested too deeply or has too
large a number; the others can still be decoded one by one.
"""

import re
from collections.abc import Iterator
from itertools import pairwise
from types import MappingProxyType
from typing import Any, TypeVar

import msgspec

from bendlead_gateway.json_values import DECODE_ERRORS

_TEXT = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
#: The next brackets, and within the outermost ones also the next comma.
_INNER = re.compile(rb'(?:[^"\[\]{}]++|%b)*+([\[{]+|[\]}]+)' % _TEXT, re.DOTALL)
_OUTER = re.compile(
    rb'(?:[^",\[\]{}]++|%b)*+([\[{]+|[\]}]+|,)' % _TEXT, re.DOTALL
)
_FIELD = re.compile(rb'\s*(%b)\s*:\s*(.*\S)\s*\Z' % _TEXT, re.DOTALL)
#: Change of depth of each bracket.
_STEPS = MappingProxyType({b'[': 1, b'{': 1, b']': -1, b'}': -1})
Message = TypeVar('Message', bound=msgspec.Struct)


def decode_parts(text: bytes, kind: type[Message]) -> Message:
    """Decode an object, field by field if that fails; raise DECODE_ERRORS.

    Unknown fields are passed over then, and those of the type ``Raw``, or lists
    of it, are kept as they are, whether they can be decoded or not.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except DECODE_ERRORS:
        found = split_fields(text)
    decoded = {}
    for field in msgspec.structs.fields(kind):
        if field.encode_name in found:
            decoded[field.name] = _decode_field(
                found[field.encode_name], field.type
            )
        elif field.required:
            raise msgspec.DecodeError(f'no field {field.encode_name}')
    return kind(**decoded)


def _decode_field(text: bytes, kind: Any) -> Any:
    if kind is msgspec.Raw:
        return msgspec.Raw(text)
    if kind == list[msgspec.Raw]:
        return [msgspec.Raw(member) for member in split_list(text)]
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return decode_parts(text, kind)
    return msgspec.json.decode(text, type=kind)


def split_list(text: bytes) -> list[bytes]:
    """Return the members of a JSON list; raise DecodeError."""
    return _split(text, b'[')


def split_fields(text: bytes) -> dict[str, bytes]:
    """Return the values of a JSON object by name; raise DecodeError.

    Fields whose names are invalid are left out.
    """
    fields = {}
    for member in _split(text, b'{'):
        found = _FIELD.match(member)
        if found is None:
            raise msgspec.DecodeError('object with an invalid field')
        try:
            name = msgspec.json.decode(found[1], type=str)
        except ValueError:
            # Not a name that any caller asks for.
            continue
        fields[name] = found[2]
    return fields


def _split(text: bytes, opening: bytes) -> list[bytes]:
    borders = list(_find_borders(text))
    first, last = borders[0], borders[-1]
    around = text[:first] + text[last + 1 :]
    if text[first : first + 1] != opening or around.strip():
        raise msgspec.DecodeError('not a list or an object, as expected')
    members = [
        text[begin + 1 : end].strip() for begin, end in pairwise(borders)
    ]
    return [] if members == [b''] else members


def _find_borders(text: bytes) -> Iterator[int]:
    """Yield where the first list or object begins, its commas and its end."""
    depth = 0
    found = _INNER.match(text)
    while found:
        mark = found[1]
        before = depth
        depth += len(mark) * _STEPS.get(mark[:1], 0)
        if depth <= 0 and before:
            yield found.start(1) + before - 1
            return
        if mark == b',' or not before:
            yield found.start(1)
        pattern = _OUTER if depth == 1 else _INNER
        found = pattern.match(text, found.end())
    raise msgspec.DecodeError('no end of a list or an object')
