"""Tasks that must not end, and one report of each error that nobody expects."""

import traceback
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import gevent
from msgspec import Struct

from bendlead_store import clock

_Unit = TypeVar('_Unit')

_FIRST_PAUSE_SECONDS = 0.1
#: After this long without a failure the pause is the first one again.
_FORGET_SECONDS = 10.0
#: Number of innermost frames that are reported.
_REPORTED_FRAMES = 5
_MAX_MESSAGE_LENGTH = 200
_MAX_DOUBLINGS = 5


class TaskFailure(Struct, frozen=True):
    """An unforeseen exception of a task.

    ``failures`` counts those in a row, ``pause`` (s) is the time until the task
    is run again, ``None`` if it is not.
    """

    task: str
    error: BaseException
    failures: int = 1
    pause: float | None = None

    @property
    def fields(self) -> dict[str, object]:
        """The fields of its log line."""
        return {
            'task': self.task,
            **error_fields(self.error),
            'failures': self.failures,
            'pause_s': '-' if self.pause is None else round(self.pause, 3),
        }


#: Called with each unforeseen exception; must not raise.
Report = Callable[[TaskFailure], None]


class Backoff:
    """A pause that doubles with each failure, up to some seconds."""

    def __init__(self) -> None:
        self.failures = 0
        self._until = 0.0

    @property
    def over(self) -> bool:
        """Whether the pause after the latest failure is over."""
        return clock.uptime() >= self._until

    def fail(self) -> float:
        """Count a failure; return the pause in seconds."""
        now = clock.uptime()
        if now > self._until + _FORGET_SECONDS:
            self.failures = 0
        pause = pause_after(self.failures)
        self.failures += 1
        self._until = now + pause
        return pause


def pause_after(failures: int) -> float:
    """Return the pause (s) after some earlier failures in a row."""
    return _FIRST_PAUSE_SECONDS * 2 ** min(failures, _MAX_DOUBLINGS)


def keep_running(
    task: str, report: Report, function: Callable[..., object], *args: Any
) -> gevent.Greenlet:
    """Start a task that is run again after an exception, with a pause.

    It ends where the function returns, or the task is killed.
    """
    return gevent.spawn(_run_again, task, report, function, *args)


def for_each(
    function: Callable[[_Unit], object], units: Iterable[_Unit]
) -> None:
    """Call a function for each unit; then raise the first error, if any."""
    first: Exception | None = None
    for unit in units:
        try:
            function(unit)
        except Exception as error:
            first = first or error
    if first is not None:
        raise first


def run_all(*steps: Callable[[], object]) -> None:
    """Run each step; then raise the first error, if any."""
    for_each(lambda step: step(), steps)


def attempt(
    task: str, report: Report, function: Callable[..., object], *args: Any
) -> None:
    """Call a function for one unit of work; an error costs that unit alone."""
    try:
        function(*args)
    except Exception as error:
        report(TaskFailure(task, error))


def report_unwatched(report: Report) -> None:
    """Report the exceptions that end any other task of this process."""

    def print_exception(  # noqa: WPS430
        context: object, _kind: object, error: BaseException, _trace: object
    ) -> None:
        report(TaskFailure(_name_of(context), error))

    gevent.get_hub().print_exception = print_exception


def print_failure(failure: TaskFailure) -> None:
    """Print a failure where there is no log."""
    traceback.print_exception(failure.error)


def error_fields(error: BaseException) -> dict[str, object]:
    """Return the fields that describe an exception in a log line."""
    return {
        'error': type(error).__name__,
        'message': _text_of(error)[:_MAX_MESSAGE_LENGTH],
        'at': place_of(error),
    }


def place_of(error: BaseException) -> str:
    """Return the innermost frames, innermost first."""
    places = [
        f'{frame.f_globals.get("__name__")}:{frame.f_code.co_qualname}:{line}'
        for frame, line in traceback.walk_tb(error.__traceback__)
    ]
    return ' < '.join(reversed(places[-_REPORTED_FRAMES:]))


def _run_again(
    task: str, report: Report, function: Callable[..., object], *args: Any
) -> None:
    backoff = Backoff()
    while True:
        try:
            return function(*args)
        except (Exception, gevent.Timeout) as error:
            pause = backoff.fail()
            report(TaskFailure(task, error, backoff.failures, pause))
        gevent.sleep(pause)


def _text_of(error: BaseException) -> str:
    try:
        return str(error)
    except Exception:
        # The failed code may be what makes the text.
        return '-'


def _name_of(context: object) -> str:
    function = getattr(context, '_run', context)
    return getattr(function, '__qualname__', type(function).__name__)
