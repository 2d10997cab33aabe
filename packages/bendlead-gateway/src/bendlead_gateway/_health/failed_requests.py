"""Detect requests that fail on every engine.

A caller that retries such a request would otherwise get one engine after the
other ejected.
"""

from collections import OrderedDict
from collections.abc import Callable

from bendlead_gateway._health.observation import EngineIncarnation
from bendlead_gateway._suspects.digest import RequestDigest

#: Memory bound; the oldest requests are dropped first.
_MAX_REQUESTS = 512


class FailedRequests:
    """Engine incarnation on which each failed request failed first."""

    def __init__(self) -> None:
        self._first: OrderedDict[RequestDigest, EngineIncarnation] = (
            OrderedDict()
        )

    def record_failure(
        self, digest: RequestDigest, incarnation: EngineIncarnation
    ) -> bool:
        """Record a failure; return whether the request failed elsewhere."""
        first = self._first.setdefault(digest, incarnation)
        if len(self._first) > _MAX_REQUESTS:
            self._first.popitem(last=False)
        return first != incarnation

    def record_success(self, digest_of: Callable[[], RequestDigest]) -> None:
        """Forget the failures of a request that succeeded.

        The digest is computed only if there are failed requests.
        """
        if self._first:
            self._first.pop(digest_of(), None)
