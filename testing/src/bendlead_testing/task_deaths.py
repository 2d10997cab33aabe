"""Tasks and processes of a harness that die of an error: it judged nothing."""

import contextlib
import linecache
import pathlib
import re
import sys
import traceback
from collections.abc import Iterator
from types import TracebackType

import gevent
from bendlead_gateway._http.messages import (
    ClientDisconnectedError,
    Handler,
    Request,
    Responder,
    ServerShutdownError,
)

_MOST_SHOWN = 5
_MOST_LINE = 300
_BEGINS = 'Traceback (most recent call last)'
#: What an interpreter that ends in the middle of C code prints.
_FATAL = 'Fatal Python error'
#: What the program tells of an exception that it had not foreseen.
_TOLD = re.compile(r' event=(task|handler)-failed ')
_GEVENT = str(pathlib.Path(gevent.__file__).parent)


class TaskDeaths:
    """Notes each task of this process that an error ends."""

    def __init__(self) -> None:
        self._noted: list[str] = []

    @property
    def shown(self) -> list[str]:
        """List the first of them, and say how many there are besides."""
        return bounded(self._noted)

    @contextlib.contextmanager
    def watched(self) -> Iterator[None]:
        """Note the tasks that die within."""
        hub = gevent.get_hub()
        told = hub.handle_error

        def note(
            context: object,
            kind: type[BaseException],
            error: BaseException,
            trace: TracebackType | None,
        ) -> None:
            if not issubclass(kind, hub.NOT_ERROR):
                self._noted.append(_describe(error, trace))
            told(context, kind, error, trace)

        # Whoever spawned it: all tasks tell the hub.
        hub.handle_error = note
        try:
            yield
        finally:
            del hub.handle_error


def _describe(error: BaseException, trace: TracebackType | None) -> str:
    """Name the task, its error, and where it was raised."""
    frames = [
        (frame, line)
        for frame, line in traceback.walk_tb(trace)
        if not frame.f_code.co_filename.startswith(('src/gevent', _GEVENT))
    ]
    found = [repr(error), *getattr(error, '__notes__', ())]
    if frames:
        task = frames[0][0].f_code.co_qualname
        code = frames[-1][0].f_code
        place = f'{pathlib.Path(code.co_filename).name}:{frames[-1][1]}'
        text = linecache.getline(code.co_filename, frames[-1][1]).strip()
        found = [f'task {task}', *found, f'at {place}', text]
    return ', '.join(found)[:_MOST_LINE]


def reported(handler: Handler) -> Handler:
    """Let a handler's error be noted as a task's death, then go on."""

    def handle(request: Request, responder: Responder) -> None:
        try:
            handler(request, responder)
        except (ClientDisconnectedError, ServerShutdownError):
            raise
        except Exception:
            # The server answers for it and tells nobody here.
            gevent.get_hub().handle_error(request.path, *sys.exc_info())
            raise

    return handle


def tracebacks_in(log: pathlib.Path) -> list[str]:
    """List the last line of each traceback in what a process printed.

    A line that the program tells of an unforeseen exception is one too.
    """
    found: list[str] = []
    if not log.exists():
        return found
    within = False
    with open(log, encoding='utf-8', errors='replace') as lines:
        for line in lines:
            if line.startswith(_FATAL):
                found.append(line.strip()[:_MOST_LINE])
            elif _TOLD.search(line):
                _time, _space, told = line.strip().partition(' ')
                found.append(told[:_MOST_LINE])
            elif _BEGINS in line:
                within = True
            elif within and line.strip() and not line[0].isspace():
                within = False
                found.append(line.strip()[:_MOST_LINE])
    if within:
        found.append('a traceback without an end')
    return bounded(found)


def bounded(found: list[str]) -> list[str]:
    """Give the first few that differ, and say how many there are in all."""
    differ = list(dict.fromkeys(found))[:_MOST_SHOWN]
    if len(found) > len(differ):
        differ.append(f'{len(found)} in all')
    return differ
