"""Digests that identify a request across its attempts."""

from hashlib import sha256
from typing import NewType

from bendlead_gateway.types import PromptPart, TeamName

#: Digest of a request's team, method, host, target and body; the same for each
#: attempt. Batch items and parts of prompts have names of the same type.
RequestDigest = NewType('RequestDigest', str)

_ITEM_PREFIX = 'item-'
_PART_PREFIX = 'part-'

#: 128 bits, so that neither accidental nor forged collisions are practical.
_DIGEST_HEX_DIGITS = 32


def digest_request(
    team: TeamName, method: str, host: str, target: str, body: bytes
) -> RequestDigest:
    """Return the digest of a request."""
    hasher = sha256()
    for part in (team, method, host.lower(), target):
        # The length prefix makes the concatenation unambiguous.
        hasher.update(f'{len(part)}:{part}'.encode('utf-8', 'surrogateescape'))
    hasher.update(body)
    return RequestDigest(hasher.hexdigest()[:_DIGEST_HEX_DIGITS])


def name_item(digest: RequestDigest) -> RequestDigest:
    """Return the name of a batch item with the digest of its request."""
    return RequestDigest(f'{_ITEM_PREFIX}{digest}')


def names_item(digest: RequestDigest) -> bool:
    """Return whether a name is that of a batch item."""
    return digest.startswith(_ITEM_PREFIX)


def name_part(part: PromptPart) -> RequestDigest:
    """Return the name under which a part of prompts is suspected."""
    return RequestDigest(f'{_PART_PREFIX}{part}')


def names_part(digest: RequestDigest) -> bool:
    """Return whether a suspect is a part of prompts."""
    return digest.startswith(_PART_PREFIX)


def part_of(suspect: RequestDigest) -> PromptPart:
    """Return the part of prompts that a suspect is."""
    return PromptPart(suspect.removeprefix(_PART_PREFIX))
