"""Bodies of engines' answers, and whether they arrived completely."""

import math
from collections.abc import Iterator
from typing import Protocol

from bendlead_gateway._http.client import (
    CloseDelimitedError,
    HttpConnection,
    ResponseError,
    ResponseHead,
)
from bendlead_gateway._types.engines import Engine


class EventPosition(Protocol):
    """Position in a stream of events, kept by its reader."""

    @property
    def inside_event(self) -> bool:
        """Whether the bytes read so far stop inside an event."""


class EndDetection(Protocol):
    """Detection of engines that have ended."""

    def runs_on(self, engine: Engine) -> bool:
        """Return whether an engine surely still runs, after a pause."""


class AnswerBody:
    """Body of one answer of an engine.

    Its parts end normally only if the answer is complete. A stream must not
    stop inside an event. An answer without a length or chunks ends with its
    connection, which also happens when its engine crashes or stops; such an
    answer counts as complete if its engine surely runs on afterwards, under the
    same id, and a stream only if it has an event.
    """

    def __init__(
        self,
        engine: Engine,
        connection: HttpConnection,
        head: ResponseHead,
        ends: EndDetection,
        events: EventPosition | None = None,
    ) -> None:
        """Make a body; ``events`` is None where it is no event stream."""
        self._engine = engine
        self._connection = connection
        self._head = head
        self._ends = ends
        self._events = events
        self._empty = True

    def parts(
        self, timeout: float, within: float = math.inf
    ) -> Iterator[bytes]:
        """Yield the body as it arrives.

        The timeout (s) is for each part; ``within`` is for all of them (s).
        Raises ``ResponseError`` if the answer broke off. Can be called again
        after ``ResponseTimeoutError``.
        """
        try:
            for part in self._connection.read_parts(
                self._head, timeout, within
            ):
                self._empty = False
                yield part
        except CloseDelimitedError as closed:
            self._confirm_end(closed)
        if self._events is not None and self._events.inside_event:
            raise ResponseError('response ended within an event')

    def _confirm_end(self, closed: CloseDelimitedError) -> None:
        if self._events is not None and self._empty:
            raise ResponseError('response ended before an event') from closed
        if not self._ends.runs_on(self._engine):
            raise ResponseError(
                'engine may have ended as it responded'
            ) from closed
