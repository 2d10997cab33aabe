"""How an attempt at an engine can fail."""

import enum


class Step(enum.Enum):
    """Name the step at which an attempt failed."""

    CONNECT = 'connect'
    HEAD = 'head'
    BODY = 'body'


class NotRunError(Exception):
    """The engine did not run the request: it says so or never got it."""


class UnreachableError(NotRunError):
    """No connection to the engine came up."""


class UnknownOutcomeError(Exception):
    """The engine may have run the request, and no whole answer came."""


class BrokenStreamError(Exception):
    """The answer broke off after the client had got a part of it."""


class DeadlineError(Exception):
    """The client's or the route's time is over."""
