"""Errors raised when an attempt at an engine fails."""

import enum


class Step(enum.Enum):
    """Step of an attempt, as logged with its failure."""

    CONNECT = 'connect'
    HEAD = 'head'
    BODY = 'body'


class NotRunError(Exception):
    """The engine did not run the request, so any engine may get it next."""


class UnreachableError(NotRunError):
    """Connecting to the engine failed."""


class UnknownOutcomeError(Exception):
    """The engine may have run the request but gave no complete response."""


class BrokenStreamError(Exception):
    """The response broke off after a part of it went to the client."""


class SilentEngineError(BrokenStreamError):
    """The engine sent nothing for too long and was given up."""


class LostConnectionError(BrokenStreamError):
    """The connection of a stream seems dead; a new one may work."""


class DeadlineError(Exception):
    """The deadline of the client or the timeout of the route has passed."""
