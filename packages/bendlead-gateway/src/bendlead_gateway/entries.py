"""Decoding of entries of the object service, which anyone may write."""

import re

import msgspec
from bendlead_store import Entry, Failure, FailureKind
from result import Err, Ok, Result

from bendlead_gateway.json_values import DECODE_ERRORS

#: Names that are sent in the heads of requests.
_NAME = re.compile('[!-~]{1,256}')
#: Characters of an invalid entry that are logged.
_MAX_SHOWN = 300


def name_of(entry: Entry) -> str:
    """Return the name of an entry below its prefix."""
    return entry.key.partition('/')[2]


def decode_entry(entry: Entry, kind: type) -> Result:
    """Decode a message, or return why that is impossible."""
    if not entry.body:
        return _refuse(entry, 'no value, or no valid revision')
    try:
        return Ok(msgspec.json.decode(entry.body, type=kind))
    except DECODE_ERRORS as error:
        return _refuse(entry, str(error))


def decode_named(entry: Entry, kind: type) -> Result:
    """Decode a message whose entry has the name of an engine or a node."""
    if _NAME.fullmatch(name_of(entry)):
        return decode_entry(entry, kind)
    return _refuse(entry, 'invalid name')


def _refuse(entry: Entry, reason: str) -> Err[Failure]:
    return Err(
        Failure(
            FailureKind.REFUSED,
            'decode',
            entry.key[:_MAX_SHOWN],
            reason[:_MAX_SHOWN],
        ),
    )
