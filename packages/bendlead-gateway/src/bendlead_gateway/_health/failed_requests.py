"""Requests that failed at an engine, as they may bring the failure with them.

Load pattern: one request that no engine can serve, sent again and again by its
caller; it would have one engine after the other left alone.
"""

from collections import OrderedDict
from collections.abc import Callable

from bendlead_gateway._health.observation import EngineIncarnation
from bendlead_gateway._suspects.digest import RequestDigest

#: Requests remembered; the oldest go first.
_MOST_KEPT = 512


class FailedRequests:
    """Remember under which life of an engine each request failed first."""

    def __init__(self) -> None:
        self._first: OrderedDict[RequestDigest, EngineIncarnation] = (
            OrderedDict()
        )

    def brings_failure(
        self, digest: RequestDigest, life: EngineIncarnation
    ) -> bool:
        """Note a failure; tell whether the request failed elsewhere before."""
        first = self._first.setdefault(digest, life)
        if len(self._first) > _MOST_KEPT:
            self._first.popitem(last=False)
        return first != life

    def answered(self, digest_of: Callable[[], RequestDigest]) -> None:
        """Hold nothing against a request that an engine answers.

        The digest is made only while something is remembered.
        """
        if self._first:
            self._first.pop(digest_of(), None)
