"""Admission control: refuse requests that would wait too long for a slot.

In a burst beyond the capacity of the fleet, refusing early leaves clients time
to retry instead of queueing requests that miss their latency target.
"""

from msgspec import Struct

from bendlead_gateway._scheduling.team_shares import UNCONTESTED, ShareUse
from bendlead_gateway._scheduling.view import RandomSource

#: Share of the latency target that a request may spend waiting for a slot. The
#: rest is for prompt processing, the first step and network latency.
_WAIT_SHARE = 0.8
#: The same while retried requests are queued: a new request can still be
#: refused in time, a retried one can't.
_BEHIND_WAIT_SHARE = 0.3
#: Retries are spread at random over up to this share of the client's timeout,
#: so that refused clients do not return together or into the same burst.
_RETRY_SPREAD_SHARE = 1 / 3
#: Range of the retry time for a client that states no timeout.
_SPREAD_SECONDS = 0.8
_MIN_RETRY_SECONDS = 0.2


class Refusal(Struct, frozen=True):
    """Reason for a refusal and the seconds after which to retry."""

    reason: str
    retry_after: float


class AdmissionRequest(Struct, frozen=True):
    """Latency target and client timeout of a request, in seconds.

    ``share_use`` is the use its team makes of its share; ``behind`` is set
    while queued requests take precedence over it.
    """

    target: float
    timeout: float | None = None
    share_use: ShareUse = UNCONTESTED
    behind: bool = False

    @property
    def longest_wait(self) -> float:
        """Return the longest admissible wait for a slot, in seconds.

        The wait is shorter for a team that exceeds its share.
        """
        share = _BEHIND_WAIT_SHARE if self.behind else _WAIT_SHARE
        return self.target * share * self.share_use.wait_factor


def check_admission(
    request: AdmissionRequest, wait: float, draw: RandomSource
) -> Refusal | None:
    """Return a refusal if the wait in seconds is too long, else ``None``."""
    if wait <= request.longest_wait:
        return None
    yields = request.share_use.over_share or request.behind
    cause = 'others go first' if yields else 'all slots taken'
    return Refusal(
        f'{cause}, {wait:.3f} s to wait',
        _retry_after(request, wait, draw),
    )


def _retry_after(
    request: AdmissionRequest, wait: float, draw: RandomSource
) -> float:
    """Draw the seconds after which a refused client should retry."""
    earliest = max(_MIN_RETRY_SECONDS, wait)
    latest = earliest + _SPREAD_SECONDS
    if request.timeout is not None:
        latest = request.timeout * _RETRY_SPREAD_SHARE
    return earliest + draw() * max(0, latest - earliest)
