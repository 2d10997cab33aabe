"""Digests that identify a request across its attempts."""

from hashlib import sha256
from typing import NewType

from bendlead_gateway.types import TeamName

#: Digest of a request's team, method, host, target and body; the same for each
#: attempt.
RequestDigest = NewType('RequestDigest', str)

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
