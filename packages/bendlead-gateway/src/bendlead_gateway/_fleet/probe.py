"""Check of an address by opening a connection."""

from bendlead_gateway._http.client import HttpConnection


def refuses_connections(address: str, within: float) -> bool:
    """Return whether the machine at an address refuses the connection.

    Without an answer within the given seconds the result is False: the machine
    may be slow or unreachable while the process still runs.
    """
    try:
        HttpConnection(address, within).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        # No refusal, so the process may still run.
        return False
    return False
