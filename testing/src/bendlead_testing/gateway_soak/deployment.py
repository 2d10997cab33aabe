"""Start and stop the processes of a fleet, each reached through links."""

import json
import math
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import gevent
from bendlead_gateway.http import HttpConnection
from gevent.lock import BoundedSemaphore

from bendlead_testing.gateway_soak.links import LinkMode, LinkSpec
from bendlead_testing.lifetime import end_with_parent
from bendlead_testing.platform_store import Door, PlatformStandIn
from bendlead_testing.ports import Ports

_ROOT = pathlib.Path(__file__).resolve().parents[4]
_PROGRAM = _ROOT / 'deploy' / 'bendleadd.py'
_HALLS = ('hall-1', 'hall-2', 'hall-3')
#: Times the usual that engines take for an event, where load is hard.
_PACES = (0.7, 0.7, 1.7)
_CALL_SECONDS = 1.0
_LAPSE_SECONDS = 1.5
_KB_IN_MB = 1024
GRACE_SECONDS = 8
STATUS_SECONDS = 120
#: An engine that ended by itself is back within this time (s).
_BACK_SECONDS = 2.0


@dataclass
class Process:
    """Hold one process that the soak started, and how it ended."""

    name: str
    command: list[str]
    log: pathlib.Path
    ports: Ports
    environment: dict[str, str] | None = None
    told_to_end: bool = False
    starts: int = 0
    unasked_ends: list[int] = field(default_factory=list)
    _popen: subprocess.Popen[bytes] | None = None
    #: Held while it is started or ended: two starts at once would lose one.
    _changing: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    @property
    def running(self) -> bool:
        """Tell whether it runs; note an end that nobody asked for."""
        popen = self._popen
        if popen is None:
            return False
        ended = popen.poll()
        if self._popen is not popen:
            # Polling lets other tasks run: one has noted this end already.
            return self._popen is not None
        if ended is None:
            return True
        if not self.told_to_end:
            self.unasked_ends.append(ended)
        self._popen = None
        return False

    @property
    def peak_mb(self) -> float:
        """Give the most memory that it held at a time, or 0 if it is gone."""
        if self._popen is None:
            return 0
        status = pathlib.Path(f'/proc/{self._popen.pid}/status')
        try:
            lines = status.read_text(encoding='utf-8').splitlines()
        except OSError:
            return 0
        peaks = [one for one in lines if one.startswith('VmHWM:')]
        return int(peaks[0].split()[1]) / _KB_IN_MB if peaks else 0

    def start(self) -> None:
        """Start it unless it runs."""
        with self._changing:
            if not self.running:
                self._start()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone, once it is started."""
        with self._changing:
            self._signal(number)

    def stop(self) -> int:
        """Tell it to stop; give the number of the life that was told."""
        with self._changing:
            self._signal(signal.SIGTERM)
            return self.starts

    def end(self) -> None:
        """End it and wait until it is gone."""
        with self._changing:
            self._signal(signal.SIGKILL)
            self._signal(signal.SIGCONT)
            if self._popen is not None:
                self._popen.wait()
            self._popen = None

    def _signal(self, number: int) -> None:
        if number in {signal.SIGTERM, signal.SIGKILL}:
            self.told_to_end = True
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def _start(self) -> None:
        self.told_to_end = False
        self.starts += 1
        with open(self.log, 'ab') as output:
            self._popen = subprocess.Popen(
                self.command,
                stdout=output,
                stderr=output,
                env=self.environment,
                pass_fds=self.ports.locks,
                preexec_fn=partial(end_with_parent, os.getpid()),
            )


@dataclass
class NodeSpot:
    """Hold the addresses of one process of ours."""

    name: str
    entry: bool
    hall: str
    internal: str
    clients: str
    ready: str
    door: str


@dataclass
class EngineSpot:
    """Hold the address of one engine."""

    name: str
    hall: str
    address: str
    process: Process


class Deployment:
    """Know all processes and links of one fleet."""

    def __init__(
        self,
        entries: int,
        owners: int,
        engines: int,
        *,
        hard: bool = False,
        versions: int = 1,
        ends: bool = False,
        parts: bool = False,
        slots: int = 4,
        deadly_seconds: float = math.inf,
    ) -> None:
        """Lay it out; where load is hard, engines differ and teams compete."""
        self.hard = hard
        #: How many versions of engines serve side by side.
        self.versions = versions
        #: Whether engines end answers in all ways.
        self.ends = ends
        #: Whether clients name the parts of their prompts.
        self.parts = parts
        #: Requests that an engine runs at once.
        self.slots = slots
        #: Until when deadly requests and parts end engines, once started.
        self.deadly_until = math.inf
        self._deadly_seconds = deadly_seconds
        #: Whether a team sends many times its usual now.
        self.hot = False
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='gateway-soak-'))
        self.ports = Ports()
        self.journal = self.folder / 'engines.jsonl'
        self.store = PlatformStandIn(self.ports.address())
        self.doors: dict[str, Door] = {}
        self.nodes: dict[str, Process] = {}
        self.spots: dict[str, NodeSpot] = {}
        self.engines = [self._engine(number) for number in range(engines)]
        for number in range(entries):
            self._spot(f'entry-{number}', number, entry=True)
        for number in range(owners):
            self._spot(f'owner-{number}', number, entry=False)
        self._links: list[LinkSpec] = []
        self._ways: dict[tuple[str, str], str] = {}
        for spot in self.spots.values():
            self._connect(spot)
        self.links_log = self.folder / 'links.log'
        self._carrier: subprocess.Popen[str] | None = None
        self._minder: gevent.Greenlet | None = None
        self._lapsing: gevent.Greenlet | None = None
        self._stopping = False

    @property
    def entries(self) -> list[NodeSpot]:
        """List the entries."""
        return [one for one in self.spots.values() if one.entry]

    @property
    def owners(self) -> list[NodeSpot]:
        """List the owners."""
        return [one for one in self.spots.values() if not one.entry]

    @property
    def links_run(self) -> bool:
        """Tell whether the process of all links runs."""
        return self._carrier is not None and self._carrier.poll() is None

    def client_way(self, entry: str) -> str:
        """Give the address at which clients reach an entry."""
        return self._ways['client', entry]

    def start(self) -> None:
        """Start the store, the links, the engines and the nodes."""
        self.store.start()
        for door in self.doors.values():
            self.store.open_door(door)
        links = self.folder / 'links.json'
        links.write_text(json.dumps([vars(one) for one in self._links]))
        with open(self.links_log, 'ab') as output:
            self._carrier = subprocess.Popen(
                [sys.executable, '-m', f'{__package__}.links', str(links)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=output,
                text=True,
                pass_fds=self.ports.locks,
                preexec_fn=partial(end_with_parent, os.getpid()),
            )
        assert self._carrier.stdout is not None
        self._carrier.stdout.readline()
        self.deadly_until = time.monotonic() + self._deadly_seconds
        for engine in self.engines:
            # The last one is the version, which releases change.
            engine.process.command.insert(
                -1, f'--deadly-until={self.deadly_until}'
            )
            engine.process.start()
        for node in self.nodes.values():
            node.start()
        self._lapsing = gevent.spawn(self._lapse)
        self._minder = gevent.spawn(self._mind_engines)

    def stop(self) -> None:
        """End every process that was started here."""
        self._stopping = True
        if self._minder is not None:
            # Ended in the middle of a start it would leave a process behind.
            self._minder.join()
        if self._lapsing is not None:
            self._lapsing.kill()
        for process in self.all():
            process.end()
        if self._carrier is not None:
            self._carrier.kill()
            self._carrier.wait()
        self.ports.free()

    def _mind_engines(self) -> None:
        """Start engines again that ended by themselves."""
        while not self._stopping:
            gevent.sleep(_BACK_SECONDS)
            for engine in self.engines:
                process = engine.process
                if self._stopping:
                    return
                if not process.running and not process.told_to_end:
                    process.start()

    def all(self) -> list[Process]:
        """List the nodes and the engines."""
        return [*self.nodes.values(), *(one.process for one in self.engines)]

    def turn(self, links: str, mode: LinkMode, delay: float = 0) -> None:
        """Turn all links whose names match a pattern."""
        assert self._carrier is not None
        assert self._carrier.stdin is not None
        order = {'links': links, 'mode': mode.value, 'delay': delay}
        self._carrier.stdin.write(f'{json.dumps(order)}\n')
        self._carrier.stdin.flush()

    def trouble(self, engine: EngineSpot, trouble: str) -> None:
        """Have an engine misbehave."""
        self._order(engine, '/-/trouble', trouble)

    def stand_still(self, engine: EngineSpot, seconds: float) -> None:
        """Have an engine stand still for a time."""
        self._order(engine, '/-/still', str(seconds))

    def _order(self, engine: EngineSpot, path: str, order: str) -> None:
        """Send an order to an engine; one that is down can't be told."""
        try:
            connection = HttpConnection(engine.address, _CALL_SECONDS)
            connection.request('POST', path, (), order.encode(), _CALL_SECONDS)
        except OSError:
            return
        connection.close()

    def release(self, name: str) -> None:
        """Have an engine come at the next version when it starts again."""
        number = next(
            at for at, one in enumerate(self.engines) if one.name == name
        )
        process = self.engines[number].process
        version = (process.starts + number) % self.versions + 1
        process.command[-1] = f'--version=v{version}'

    def _engine(self, number: int) -> EngineSpot:
        hall = _HALLS[number % len(_HALLS)]
        address = self.ports.address()
        command = [
            sys.executable,
            '-m',
            f'{__package__}.engine_process',
            f'--listen={address}',
            f'--store={self.store.address}',
            f'--journal={self.journal}',
            '--service=s1',
            f'--hall={hall}',
            f'--slots={self.slots}',
        ]
        if self.hard:
            command.append(f'--pace={_PACES[number % len(_PACES)]}')
        if self.ends:
            command.append('--ends')
        name = f'engine-{number}'
        version = number % self.versions + 1
        command.extend((f'--spot={name}', f'--version=v{version}'))
        log = self.folder / f'{name}.log'
        process = Process(name, command, log, self.ports)
        return EngineSpot(name, hall, address, process)

    def _spot(self, name: str, number: int, *, entry: bool) -> None:
        spot = NodeSpot(
            name,
            entry,
            _HALLS[number % len(_HALLS)],
            internal=self.ports.address(),
            clients=self.ports.address(),
            ready=self.ports.address(),
            door=self.ports.address(),
        )
        self.spots[name] = spot

    def _connect(self, spot: NodeSpot) -> None:
        """Give a node links to all it may reach, and its own settings."""
        door = Door(spot.door, show=self._shown_to(spot.name))
        self.doors[spot.name] = door
        way = self._link(spot.name, 'store', spot.door)
        if spot.entry:
            self._link('client', spot.name, spot.clients)
        for peer in self.spots.values():
            if peer.name != spot.name:
                self._link(spot.name, peer.name, peer.internal)
        for engine in self.engines:
            self._link(spot.name, engine.name, engine.address)
        settings = self.folder / f'{spot.name}.toml'
        settings.write_text(_settings(spot, way, hard=self.hard))
        self.nodes[spot.name] = Process(
            spot.name,
            [
                sys.executable,
                '-m',
                f'{__package__}.node_process',
                str(_PROGRAM),
            ],
            self.folder / f'{spot.name}.log',
            self.ports,
            {'BENDLEAD_CONFIG': str(settings), 'PYTHONHASHSEED': '0'},
        )

    def _link(self, source: str, target: str, address: str) -> str:
        port = self.ports.take()
        self._links.append(LinkSpec(f'{source}>{target}', port, address))
        self._ways[source, target] = f'127.0.0.1:{port}'
        return self._ways[source, target]

    def _shown_to(self, caller: str) -> Any:
        """Show a caller the addresses of its own links."""

        def show(kind: str, found: dict[str, Any]) -> dict[str, Any]:
            told = found['specification']
            if kind not in {'servers', 'bendlead-nodes'} or not told:
                return found
            target = self._name_at(told['address'])
            way = self._ways.get((caller, target), told['address'])
            return {**found, 'specification': {**told, 'address': way}}

        return show

    def _name_at(self, address: str) -> str:
        for engine in self.engines:
            if engine.address == address:
                return engine.name
        for spot in self.spots.values():
            if spot.internal == address:
                return spot.name
        return ''

    def _lapse(self) -> None:
        """Remove engines that have not written for three heartbeats."""
        seen: dict[str, tuple[int, float]] = {}
        while True:
            gevent.sleep(_LAPSE_SECONDS / 10)
            now = gevent.get_hub().loop.now()
            for name in self.store.list_names('servers'):
                found = self.store.get('servers', name)
                assert found is not None
                revision = found['metadata']['revision']
                before, since = seen.get(name, (0, now))
                if revision != before:
                    seen[name] = (revision, now)
                elif now - since > _LAPSE_SECONDS:
                    self.store.remove('servers', name)


def _settings(spot: NodeSpot, store: str, *, hard: bool) -> str:
    ip, port = spot.internal.split(':')
    serves = 'frontend' if spot.entry else 'storage'
    contracts = ['health', 'pressure'] if hard else []
    return f'''node = "{spot.name}"
role = "soak"
contracts = {json.dumps(contracts)}
serves = ["{serves}"]
ip = "{ip}"
zone = "{spot.hall}"
internal_ports = [{port}, {port}]
[listen]
frontend = "{spot.clients}"
ready = "{spot.ready}"
[limits]
file_descriptors = 4200
[bounds]
grace_s = {GRACE_SECONDS}
settle_ms = 1000
status_s = {STATUS_SECONDS}
[platform]
address = "{store}"
'''
