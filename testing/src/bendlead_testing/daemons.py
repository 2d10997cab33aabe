"""Processes of a harness: start, stop, freeze, measure and call them."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from bendlead_testing.lifetime import end_with_parent
from bendlead_testing.ports import free_port, own_locks

READY_STATUS = 200
_READY_SECONDS = 30.0


def http(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30,
) -> tuple[int, dict[str, str], bytes]:
    """Make one plain HTTP call from outside the system."""
    encoded = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url,
        data=encoded,
        method=method,
        headers={'Content-Type': 'application/json', **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, dict(reply.headers), reply.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


@dataclass
class Daemon:
    """Hold one process this harness started."""

    name: str
    port: int
    command: list[str]
    log: pathlib.Path
    process: subprocess.Popen = field(init=False)

    def __post_init__(self) -> None:
        """Start the process."""
        self.start()

    @property
    def url(self) -> str:
        """Tell where the process listens."""
        return f'http://127.0.0.1:{self.port}'

    @property
    def address(self) -> str:
        """Tell the host and port of the process."""
        return f'127.0.0.1:{self.port}'

    def start(self) -> None:
        """Start the process again, on the same port."""
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                self.command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                pass_fds=own_locks(),
                preexec_fn=partial(end_with_parent, os.getpid()),
            )

    def kill(self) -> None:
        """End the process at once."""
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def stop(self) -> None:
        """Ask the process to leave."""
        self.process.terminate()

    def pause(self) -> None:
        """Freeze the process."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.process.send_signal(signal.SIGCONT)

    def rss_mb(self) -> float:
        """Tell the resident memory of the process."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(one for one in status.splitlines() if 'VmRSS' in one)
        return int(line.split()[1]) / 1024

    def cpu_seconds(self) -> float:
        """Tell the processor time the process has used."""
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = stat.rsplit(')', 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / 100


@contextlib.contextmanager
def running_platform() -> Iterator[Daemon]:
    """Run a platform by itself."""
    port = free_port()
    folder = pathlib.Path(tempfile.mkdtemp(prefix='bendlead-'))
    platform = Daemon(
        'platform',
        port,
        [sys.executable, '-m', 'bendlead_testing.platform', str(port)],
        folder / 'platform.log',
    )
    try:
        wait_for(
            lambda: http('GET', f'{platform.url}/stats')[0] == READY_STATUS
        )
        yield platform
    finally:
        platform.kill()


def wait_for(condition: Any, seconds: float = _READY_SECONDS) -> None:
    """Wait until something is true, or fail."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with contextlib.suppress(OSError, KeyError, ValueError):
            if condition():
                return
        time.sleep(0.05)
    raise TimeoutError(f'not true within {seconds} s: {condition}')


def listens(port: int) -> bool:
    """Tell whether a port accepts connections, or raise OSError."""
    with socket.create_connection(('127.0.0.1', port), timeout=1):
        return True
