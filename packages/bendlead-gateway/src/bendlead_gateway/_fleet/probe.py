"""Ask an address for a connection."""

from bendlead_gateway._http.client import HttpConnection


def refuses_connections(address: str, within: float) -> bool:
    """Tell whether nothing listens at an address, which its machine says.

    One that is cut off or slow says nothing within the seconds given: whatever
    listens there may be alive.
    """
    try:
        HttpConnection(address, within).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        # No answer is no word of an end.
        return False
    return False
