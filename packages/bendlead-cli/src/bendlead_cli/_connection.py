"""Reach an entry as a team or an operator."""

import json
import os
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, NoReturn
from urllib.error import HTTPError
from urllib.request import Request, urlopen

_DEFAULT_ENTRY = '127.0.0.1:8080'
_TIMEOUT = 600.0


class Exit(Enum):
    """Say what an exit code means."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4


@dataclass(frozen=True, slots=True)
class Connection:
    """Send requests to one entry with one key."""

    entry: str
    key: str

    def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        **headers: str,
    ) -> Any:
        """Send JSON and read JSON, or end with what the entry said."""
        encoded = None if body is None else json.dumps(body).encode()
        with self.open(method, path, encoded, **headers) as reply:
            return json.loads(reply.read() or b'null')

    def open(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        **headers: str,
    ) -> Any:
        """Open a response to be read by the caller."""
        request = Request(
            f'http://{self.entry}{path}',
            data=body,
            method=method,
            headers={
                'Authorization': f'Bearer {self.key}',
                'Content-Type': 'application/json',
                **{
                    name.replace('_', '-'): text
                    for name, text in headers.items()
                },
            },
        )
        try:
            return urlopen(request, timeout=_TIMEOUT)
        except HTTPError as error:
            fail(Exit.REFUSED, _reason(error))
        except OSError as error:
            fail(Exit.UNREACHABLE, f'{self.entry}: {error}')

    def lines(self, method: str, path: str, body: Any) -> Iterator[bytes]:
        """Read a streamed response line by line."""
        with self.open(method, path, json.dumps(body).encode()) as reply:
            yield from reply


def connect() -> Connection:
    """Connect as the environment says: BENDLEAD_ENTRY and BENDLEAD_KEY."""
    return Connection(
        os.environ.get('BENDLEAD_ENTRY', _DEFAULT_ENTRY),
        os.environ.get('BENDLEAD_KEY', ''),
    )


def fail(code: Exit, reason: str) -> NoReturn:
    """End with a reason."""
    sys.stderr.write(f'bendlead: {reason}\n')
    sys.exit(code.value)


def _reason(error: HTTPError) -> str:
    body = error.read().decode(errors='replace')
    try:
        shown = json.loads(body)['error']
    except (ValueError, KeyError):
        return f'status {error.code}: {body}'
    retry_after = error.headers.get('Retry-After')
    hint = f'; come back in {retry_after} s' if retry_after else ''
    return f'{shown["code"]}: {shown["message"]}{hint}'
