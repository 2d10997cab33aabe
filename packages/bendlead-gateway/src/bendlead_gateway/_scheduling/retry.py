"""Retries of requests on another engine.

Another engine can replace one that is lost or silent, but where all engines
are slow, retries add load; a budget bounds them.
"""

from collections.abc import Iterable

from bendlead_gateway._scheduling.view import EngineView

#: Share of the latency target after which a request that engines refuse is
#: refused to the client, early enough to try another entry.
_REFUSED_SHARE = 0.2
#: The same after failed connections, which tell nothing of other engines.
_UNREACHABLE_SHARE = 1.0
#: Retry-after for a client whose request no engine took; slots free up often.
RETRY_AFTER_SECONDS = 0.1
#: Share of the latency target after which an engine without a response is
#: replaced, so that another one can still meet the target.
_SILENCE_SHARE = 2 / 3
#: Retries earned by each request, and the size of the budget.
_RETRIES_PER_REQUEST = 0.1
_MAX_RETRIES = 10.0


def too_late_to_retry(waited: float, target: float, unreachable: bool) -> bool:
    """Return whether to refuse a request instead of trying more engines.

    ``waited`` and ``target`` are in seconds.
    """
    share = _UNREACHABLE_SHARE if unreachable else _REFUSED_SHARE
    return waited > target * share


class RetryBudget:
    """Budget of retries for requests whose engine does not respond.

    Needed where an engine is gone without a connection reset.
    """

    def __init__(self) -> None:
        self._available = _MAX_RETRIES

    def earn(self) -> None:
        """Add the share of a retry that each request earns."""
        self._add(_RETRIES_PER_REQUEST)

    def take(self, target: float) -> float | None:
        """Take a retry; return the response timeout in seconds, if any."""
        if self._available < 1:
            return None
        self._available -= 1
        return target * _SILENCE_SHARE

    def give_back(self) -> None:
        """Return an unused retry to the budget."""
        self._add(1)

    def _add(self, retries: float) -> None:
        self._available = min(_MAX_RETRIES, self._available + retries)


def has_free_slot(others: Iterable[EngineView]) -> bool:
    """Return whether another engine has a free slot for a retry."""
    return any(view.free > 0 and not view.paused for view in others)
