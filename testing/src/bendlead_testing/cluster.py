"""Start a small deployment of real processes, and break it."""

import contextlib
import json
import pathlib
import sys
import tempfile
from typing import Any

from bendlead_testing.daemons import (
    READY_STATUS,
    Daemon,
    http,
    listens,
    wait_for,
)
from bendlead_testing.ports import free_port

PEER_KEY = 'peer-key-of-the-tests'
TEAM_KEY = 'team-key-alpha'
OTHER_KEY = 'team-key-beta'
OPERATOR_KEY = 'operator-key'
MODEL = 'notes-small'


class Cluster:
    """Run a platform, engines, endpoint processes and entries."""

    def __init__(
        self,
        entries: int = 1,
        engines: int = 1,
        engine_options: tuple[str, ...] = (),
        settings: dict[str, Any] | None = None,
        engine_settings: dict[str, Any] | None = None,
        ledger: dict[str, Any] | None = None,
        embedded: bool = False,
        plain: bool = False,
        proxied: bool = False,
    ) -> None:
        self._proxied = proxied
        self._controls: list[int] = []
        self.proxies: list[Daemon] = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='bendlead-'))
        self._settings = settings or {}
        self._engine_settings = engine_settings or {}
        self._ledger = ledger or {}
        self.platform: Daemon | None = None
        if not embedded:
            self.platform = self._module(
                'platform',
                'bendlead_testing.platform',
            )
        self.engines = [
            self._module(
                f'engine-{at}',
                'bendlead_testing.engine',
                *engine_options,
            )
            for at in range(engines)
        ]
        ports = [free_port() for _entry in range(entries)]
        self._seeds = [f'127.0.0.1:{port}' for port in ports]
        self.entries = [self._entry(at, port) for at, port in enumerate(ports)]
        self.endpoints = [
            self._endpoint(at, engine) for at, engine in enumerate(self.engines)
        ]
        self.plain: Daemon | None = None
        if plain:
            self.plain = self._module(
                'plain',
                'bendlead_testing.engine',
                '--plain',
                '0.05',
            )
            self.endpoints.append(self._plain_endpoint(self.plain))
        try:
            self._configure(plain=plain)
        except BaseException:
            self.__exit__()
            raise

    def __enter__(self) -> 'Cluster':
        """Use the deployment in a with statement."""
        return self

    def __exit__(self, *_error: object) -> None:
        """End every process of the deployment."""
        for daemon in self.daemons():
            with contextlib.suppress(ProcessLookupError):
                daemon.kill()

    def daemons(self) -> list[Daemon]:
        """List every process."""
        single = (self.plain, self.platform)
        return [
            *self.entries,
            *self.endpoints,
            *self.engines,
            *self.proxies,
            *(daemon for daemon in single if daemon),
        ]

    def store_link(self, entry: int, mode: str, delay: float = 0) -> None:
        """Break the connections between an entry and the platform."""
        url = f'http://127.0.0.1:{self._controls[entry]}/order'
        http('POST', url, {'mode': mode, 'delay': delay})

    def faults(self, **faults: Any) -> None:
        """Set how the platform misbehaves."""
        http('POST', f'{self.platform.url}/faults', faults)

    def store_calls(self) -> dict[str, int]:
        """Count the calls the platform has answered."""
        _status, _headers, body = http('GET', f'{self.platform.url}/stats')
        return json.loads(body)

    def apply(self, kind: str, name: str, body: dict[str, Any]) -> int:
        """Write a configuration object through the first entry."""
        status, _headers, _body = http(
            'PUT',
            f'{self.entries[0].url}/admin/v1/objects/{kind}/{name}',
            {'name': name, **body},
            _bearer(OPERATOR_KEY),
        )
        return status

    def status(self, entry: int = 0) -> dict[str, Any]:
        """Read the fleet status of an entry."""
        url = f'{self.entries[entry].url}/admin/v1/status'
        _status, _headers, body = http(
            'GET',
            url,
            headers=_bearer(OPERATOR_KEY),
        )
        return json.loads(body)

    def call(
        self,
        path: str,
        body: Any = None,
        entry: int = 0,
        method: str = 'POST',
        key: str = TEAM_KEY,
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Call an entry as a team would."""
        sent = {name.replace('_', '-'): text for name, text in headers.items()}
        url = self.entries[entry].url + path
        return http(method, url, body, {**_bearer(key), **sent})

    def state(self, daemon: Daemon) -> dict[str, Any]:
        """Read the state dump of a process."""
        _status, _headers, body = http(
            'GET',
            f'{daemon.url}/debug/state',
            headers={'X-Bendlead-Peer': PEER_KEY},
        )
        return json.loads(body)

    def engine_stats(self, at: int = 0) -> dict[str, Any]:
        """Read what an engine has run."""
        _status, _headers, body = http('GET', f'{self.engines[at].url}/stats')
        return json.loads(body)

    def wait_ready(self) -> None:
        """Wait until every entry is ready and sees every endpoint."""
        wanted = len(self.endpoints)
        for at, _entry in enumerate(self.entries):
            wait_for(lambda at=at: self._sees(at, wanted))

    def _sees(self, entry: int, wanted: int) -> bool:
        state = self.status(entry)
        shards = sum(
            len(self.state(one)['shards'])
            for one in self.entries
            if one.process.poll() is None
        )
        enough = shards >= self._ledger.get('shards', 4)
        return len(state.get('endpoints', ())) >= wanted and enough

    def _module(self, name: str, module: str, *options: str) -> Daemon:
        port = free_port()
        command = [sys.executable, '-m', module, str(port), *options]
        return Daemon(name, port, command, self.folder / f'{name}.log')

    def _entry(self, at: int, port: int) -> Daemon:
        path = str(self.folder / 'store.db')
        store = {'kind': 'embedded', 'path': path}
        if self.platform:
            store = {'kind': 'http', 'address': self._store_address(at)}
        return self._node(
            f'entry-{at}',
            port,
            {
                'role': 'entry',
                'peers': [
                    seed
                    for seed in self._seeds
                    if not seed.endswith(f':{port}')
                ],
                'store': store,
                'ledger': self._ledger,
            },
        )

    def _store_address(self, entry: int) -> str:
        if not self._proxied:
            return self.platform.address
        control = free_port()
        proxy = self._module(
            f'proxy-{entry}',
            'bendlead_testing.proxy',
            self.platform.address,
            str(control),
        )
        self._controls.append(control)
        self.proxies.append(proxy)
        return proxy.address

    def _endpoint(self, at: int, engine: Daemon) -> Daemon:
        return self._node(
            f'endpoint-{at}',
            free_port(),
            {
                'role': 'endpoint',
                'peers': self._seeds,
                'engine': {
                    'address': engine.address,
                    'service': 'notes',
                    'models': [MODEL],
                    **self._engine_settings,
                },
            },
        )

    def _plain_endpoint(self, plain: Daemon) -> Daemon:
        return self._node(
            'endpoint-plain',
            free_port(),
            {
                'role': 'endpoint',
                'peers': self._seeds,
                'engine': {
                    'address': plain.address,
                    'service': 'billing',
                    'kind': 'plain',
                },
            },
        )

    def _node(self, name: str, port: int, settings: dict[str, Any]) -> Daemon:
        path = self.folder / f'{name}.json'
        path.write_text(
            json.dumps(
                {
                    'node': name,
                    'port': port,
                    'peer_key': PEER_KEY,
                    **self._settings,
                    **settings,
                }
            ),
        )
        binary = pathlib.Path(sys.executable).parent / 'bendleadd'
        command = [str(binary), str(path)]
        return Daemon(name, port, command, self.folder / f'{name}.log')

    def _configure(self, *, plain: bool) -> None:
        from bendlead_node._entry.gate import hash_key

        for daemon in self.daemons():
            wait_for(lambda port=daemon.port: listens(port))
        wait_for(lambda: _ready(self.entries[0]))
        self.apply(
            'team',
            'operators',
            {
                'key_hashes': [hash_key(OPERATOR_KEY)],
                'operator': True,
            },
        )
        self.apply('team', 'alpha', {'key_hashes': [hash_key(TEAM_KEY)]})
        self.apply('team', 'beta', {'key_hashes': [hash_key(OTHER_KEY)]})
        self.apply('service', 'notes', {'kind': 'engine', 'models': [MODEL]})
        if plain:
            self.apply(
                'service',
                'billing',
                {
                    'kind': 'plain',
                    'repeatable': False,
                },
            )
        self.wait_ready()


def _ready(daemon: Daemon) -> bool:
    status, _headers, _body = http('GET', f'{daemon.url}/readyz')
    return status == READY_STATUS


def _bearer(key: str) -> dict[str, str]:
    return {'Authorization': f'Bearer {key}'}
