"""What the engines' stand-ins answer, for those who check it."""

import hashlib

#: Ends the ids of requests under which engines end.
DEADLY = '-deadly'


def text_of(request: str, number: int) -> str:
    """Give the right data of one event of a request."""
    return f'{request}/{number}'


def seal_of(request: str) -> str:
    """Give the right seal of a request."""
    return hashlib.sha256(request.encode()).hexdigest()[:12]
