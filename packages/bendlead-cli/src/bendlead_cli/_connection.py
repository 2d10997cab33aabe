"""HTTP client of an entry, for teams and operators."""

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
_TIMEOUT_SECONDS = 600.0


class Exit(Enum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4


@dataclass(frozen=True, slots=True)
class Connection:
    """Client of one entry, authenticated by one API key."""

    entry: str
    key: str

    def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        **headers: str,
    ) -> Any:
        """Send and receive JSON; exit with the error of the entry, if any."""
        encoded = None if body is None else json.dumps(body).encode()
        with self.open(method, path, encoded, **headers) as response:
            return json.loads(response.read() or b'null')

    def open(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        **headers: str,
    ) -> Any:
        """Send a request and return the open response; exit on an error."""
        request = Request(
            f'http://{self.entry}{path}',
            data=body,
            method=method,
            headers={
                'Authorization': f'Bearer {self.key}',
                'Content-Type': 'application/json',
                **{
                    name.replace('_', '-'): header
                    for name, header in headers.items()
                },
            },
        )
        try:
            return urlopen(request, timeout=_TIMEOUT_SECONDS)
        except HTTPError as error:
            fail(Exit.REFUSED, _error_text(error))
        except OSError as error:
            fail(Exit.UNREACHABLE, f'{self.entry}: {error}')

    def lines(self, method: str, path: str, body: Any) -> Iterator[bytes]:
        """Yield the lines of a streamed response as they arrive."""
        with self.open(method, path, json.dumps(body).encode()) as response:
            yield from response


def connect() -> Connection:
    """Return a client configured by BENDLEAD_ENTRY and BENDLEAD_KEY."""
    return Connection(
        os.environ.get('BENDLEAD_ENTRY', _DEFAULT_ENTRY),
        os.environ.get('BENDLEAD_KEY', ''),
    )


def fail(code: Exit, reason: str) -> NoReturn:
    """Print a reason to standard error and exit with a code."""
    sys.stderr.write(f'bendlead: {reason}\n')
    sys.exit(code.value)


def _error_text(error: HTTPError) -> str:
    body = error.read().decode(errors='replace')
    try:
        details = json.loads(body)['error']
    except (ValueError, KeyError):
        return f'status {error.code}: {body}'
    retry_after = error.headers.get('Retry-After')
    hint = f'; come back in {retry_after} s' if retry_after else ''
    return f'{details["code"]}: {details["message"]}{hint}'
