"""Bound what retries may add to the load of a service."""

_SHARE = 0.1
_RESERVE = 10.0
_MOST = 100.0


class RetryBudget:
    """Allow one retry for each ten requests, and a small reserve."""

    def __init__(self) -> None:
        self._allowance = _RESERVE

    def deposit(self) -> None:
        """Note a request."""
        self._allowance = min(_MOST, self._allowance + _SHARE)

    def withdraw(self) -> bool:
        """Take a retry out of the budget, if one is left."""
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
