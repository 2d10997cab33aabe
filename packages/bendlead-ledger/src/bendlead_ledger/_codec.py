"""Encoding of stored objects; a newer format than known is rejected."""

from typing import Final, TypeVar

import msgspec
import zstandard

#: Newest format of stored objects that this version reads and writes.
FORMAT: Final = 1
_COMPRESSION_LEVEL = 3
_MAX_DECOMPRESSED_BYTES = 268_435_456

StoredT = TypeVar('StoredT', bound=msgspec.Struct)


class _Format(msgspec.Struct):
    format: int


class UnknownFormatError(Exception):
    """A stored object was written by a newer version of bendlead."""


def encode(stored: msgspec.Struct) -> bytes:
    """Encode a stored object as JSON."""
    return msgspec.json.encode(stored)


def decode(body: bytes, kind: type[StoredT], key: str) -> StoredT:
    """Decode a stored object.

    Raises ``UnknownFormatError``, which names the key, for a newer format.
    """
    version = msgspec.json.decode(body, type=_Format).format
    if version > FORMAT:
        raise UnknownFormatError(
            f'{key} has format {version}; this version reads up to {FORMAT}: '
            'upgrade this process before it serves the shard',
        )
    return msgspec.json.decode(body, type=kind)


def compress(body: bytes) -> bytes:
    """Compress with zstandard."""
    return zstandard.ZstdCompressor(level=_COMPRESSION_LEVEL).compress(body)


def decompress(body: bytes) -> bytes:
    """Decompress what ``compress`` returned."""
    return zstandard.ZstdDecompressor().decompress(
        body,
        max_output_size=_MAX_DECOMPRESSED_BYTES,
    )
