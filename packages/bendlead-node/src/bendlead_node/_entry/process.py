"""Put the parts of an entry together and run them."""

import random
import time
from http import HTTPStatus

import gevent
from bendlead_ledger import GrantOrder, Owner, unique_id
from bendlead_schema.messages import (
    EntryHeartbeat,
    EntryState,
)
from bendlead_schema.settings import (
    LedgerSettings,
    LimitSettings,
    NodeSettings,
)
from bendlead_store import clock, open_store

from bendlead_node._common.config import ConfigTable
from bendlead_node._common.peer_gate import PeerGate
from bendlead_node._common.telemetry import (
    Journal,
    Metrics,
    answer_reporter,
)
from bendlead_node._common.upstream import PeerClient
from bendlead_node._common.web import (
    Answer,
    Call,
    CallError,
    Route,
    WebApp,
    WebServer,
    json_answer,
)
from bendlead_node._entry.admin import AdminApi
from bendlead_node._entry.batches import BatchApi
from bendlead_node._entry.dispatch import Dispatcher
from bendlead_node._entry.files import FileApi
from bendlead_node._entry.gate import Gate
from bendlead_node._entry.members import Members
from bendlead_node._entry.online import OnlineApi
from bendlead_node._entry.outputs import OutputReader
from bendlead_node._entry.ownership import ShardTable
from bendlead_node._entry.peer_api import PeerApi
from bendlead_node._entry.policy import PolicyTable
from bendlead_node._entry.recording import Recorder
from bendlead_node._entry.recovery import Recovery
from bendlead_node._entry.relay import Relay
from bendlead_node._entry.routing import Router
from bendlead_node._entry.shared_limits import SharedLimits
from bendlead_node._entry.suspects import SuspectTable

_PEER_SECONDS = 10.0
_MEND_SECONDS = 1.0
_JITTER = 0.8
_DRAIN_CHECK_SECONDS = 0.1
_LEAVE_SECONDS = 2.0
_MACHINES_SECONDS = 2.0


class EntryProcess:
    """Be one thin entry: no entry is special and any may be lost."""

    def __init__(self, settings: NodeSettings) -> None:
        if settings.store is None:
            raise ValueError('an entry needs store settings')
        self._settings = settings
        self._incarnation = unique_id()
        self._leaving = False
        self._left_at = 0.0
        self._app = WebApp([])
        self._journal = Journal(settings.node)
        self._metrics = Metrics()
        self._config = ConfigTable()
        self._members = Members(settings.node, settings.suspect_after)
        self._peers = PeerClient(
            settings.peer_key,
            _PEER_SECONDS,
            answer_reporter(self._journal, self._metrics),
        )
        self._store = open_store(settings.store)
        self._writes_per_second = settings.store.writes_per_second
        self._relay = Relay(
            settings.node,
            self._config,
            self._members.entries,
            self._peers,
            self._journal,
        )
        self._limits = SharedLimits(settings.node, self._config, self._members)
        self._suspects = SuspectTable(
            self._store, self._config, self._relay, self._journal
        )
        self._gate = Gate(self._config, self._limits)
        self._policy = PolicyTable(self._config)
        self._server: WebServer | None = None

    def run(self) -> None:
        """Serve until the process is ended."""
        self._server = WebServer(
            self._settings.host,
            self._settings.port,
            WebApp([]),
        )
        self._shards = self._shard_table(self._server.address)
        recorder, routes = self._callers_side()
        self._app = WebApp(routes, self._journal.event)
        self._server.use(self._app)
        self._server.start()
        self._journal.event('listening', address=self._server.address)
        recovery = Recovery(
            self._shards,
            recorder,
            self._config,
            self._runner_alive,
        )
        self._journal.watch_tasks()
        keep_running = self._journal.keep_running
        tasks = [
            keep_running('config-watch', self._relay.watch, self._store),
            keep_running('mend', self._relay.mend, _MEND_SECONDS),
            keep_running('beat', self._beat),
            keep_running('shards', self._own_shards),
            keep_running('recovery', recovery.run),
            keep_running('machines', self._follow_machines),
        ]
        while not self._drained():
            gevent.sleep(_DRAIN_CHECK_SECONDS)
            _raise_failed(tasks)
        self._journal.event('stopped', reason='left')

    def leave(self) -> None:
        """Hand over the shards, finish what runs, then end."""
        if self._leaving:
            return
        self._leaving = True
        self._left_at = clock.uptime()
        self._shards.leave()
        self._journal.decide('leaving', reason='asked to stop')

    def _drained(self) -> bool:
        if not self._leaving:
            return False
        # The balancer and the peers need a moment to turn away.
        if clock.uptime() - self._left_at < _LEAVE_SECONDS:
            return False
        heirs = [one for one in self._members.entries() if not one.leaving]
        handed_over = not (heirs and self._shards.owned())
        return handed_over and not self._app.active

    def _shard_table(self, address: str) -> ShardTable:
        return ShardTable(
            self._store,
            Owner(self._settings.node, address),
            self._settings.ledger or LedgerSettings(),
            self._members,
            self._peers,
            self._journal,
            GrantOrder(self._policy.row),
            self._writes_per_second,
        )

    def _callers_side(self) -> tuple[Recorder, list[Route]]:
        limits = self._settings.limits or LimitSettings()
        dispatcher = Dispatcher(
            self._members,
            Router(self._members),
            self._settings.peer_key,
            limits.request_seconds,
            self._journal,
            self._metrics,
            self._suspects,
        )
        runner = f'{self._settings.node}/{self._incarnation}'
        recorder = Recorder(
            self._shards,
            dispatcher,
            runner,
            self._journal,
            answer_reporter(self._journal, self._metrics),
        )
        online = OnlineApi(
            self._config,
            self._gate,
            dispatcher,
            recorder,
            limits,
        )
        files = FileApi(
            self._store,
            self._config,
            self._gate,
            self._shards.reader,
            OutputReader(self._store, self._shards),
            limits,
        )
        batches = BatchApi(self._gate, files, self._shards)
        admin = AdminApi(
            self._store,
            self._config,
            self._relay,
            self._gate,
            self._members,
        )
        apis = (online, files, batches, admin, self._peer_api())
        routes = [route for api in apis for route in api.routes()]
        return recorder, [*routes, *self._own_routes()]

    def _peer_api(self) -> PeerApi:
        return PeerApi(
            PeerGate(self._settings.peer_key, self._metrics),
            self._members,
            self._shards,
            self._relay,
            self._config,
            self._heartbeat,
            self._hear_entry,
            self._suspects.hear,
        )

    def _own_routes(self) -> list[Route]:
        return [
            Route('GET', '/livez', _alive),
            Route('GET', '/readyz', self._ready),
            Route('GET', '/metrics', self._metrics.page),
            Route('GET', '/debug/state', self._state),
        ]

    def _ready(self, _call: Call) -> Answer:
        if self._relay.ready and not self._leaving:
            return json_answer({'ready': True})
        reason = 'leaving' if self._leaving else 'no configuration yet'
        raise CallError(
            HTTPStatus.SERVICE_UNAVAILABLE, 'not_ready', reason, retry_after=1
        )

    def _state(self, call: Call) -> Answer:
        PeerGate(self._settings.peer_key, self._metrics).check(call)
        shards = self._shards.local()
        return json_answer(
            EntryState(
                node=self._settings.node,
                leaving=self._leaving,
                shards=self._shards.owned(),
                entries=[entry.node for entry in self._members.entries()],
                endpoints=[
                    peer.heartbeat for peer in self._members.endpoints()
                ],
                revision=self._config.revision,
                jobs=[job for shard in shards for job in shard.summary()],
                decisions=self._journal.decisions,
            ),
        )

    def _heartbeat(self) -> EntryHeartbeat:
        told = self._limits.news()
        return EntryHeartbeat(
            node=self._settings.node,
            address=self._server.address if self._server else '',
            data_hall=self._settings.data_hall,
            region=self._settings.region,
            leaving=self._leaving,
            shards=self._shards.owned(),
            revision=self._config.revision,
            digest=self._config.digest,
            incarnation=self._incarnation,
            life=told.life,
            beat=told.beat,
            teams=told.teams,
            levels=told.levels,
            running=told.running,
        )

    def _hear_entry(self, heartbeat: EntryHeartbeat) -> None:
        self._members.hear_entry(heartbeat)
        self._limits.hear(heartbeat)

    def _beat(self) -> None:
        while True:
            known = {entry.address for entry in self._members.entries()}
            known.update(self._settings.peers)
            known.discard(self._server.address if self._server else '')
            for address in known:
                gevent.spawn(self._beat_one, address)
            gevent.sleep(self._settings.heartbeat * random.uniform(_JITTER, 1))

    def _beat_one(self, address: str) -> None:
        heard = self._peers.ask(
            address,
            '/peer/v1/heartbeat',
            self._heartbeat(),
            EntryHeartbeat,
        )
        if heard.is_ok():
            self._hear_entry(heard.unwrap())

    def _follow_machines(self) -> None:
        """Have this process or its endpoints leave with their VMs."""
        while True:
            gevent.sleep(_MACHINES_SECONDS)
            listed = self._store.machines().unwrap_or(())
            leaving = {one.address for one in listed if one.leaving}
            self._members.leaving_machines = leaving
            if self._server and self._server.address in leaving:
                self.leave()

    def _own_shards(self) -> None:
        # Hear the others before claiming what may be theirs.
        if self._settings.peers:
            gevent.sleep(self._settings.heartbeat * 2)
        self._shards.run()

    def _runner_alive(self, runner: str) -> bool:
        node, incarnation = runner.split('/', 1)
        if incarnation == self._incarnation:
            return True
        return any(
            entry.node == node and entry.incarnation == incarnation
            for entry in self._members.entries()
        )


def _raise_failed(tasks: list[gevent.Greenlet]) -> None:
    for task in tasks:
        if task.dead:
            task.get()


def _alive(_call: Call) -> Answer:
    return json_answer({'alive': True, 'time': time.time()})
