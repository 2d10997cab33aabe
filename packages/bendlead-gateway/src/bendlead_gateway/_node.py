"""What every process of the gateway has."""

import signal
import time

import gevent
import msgspec
from bendlead_schema.gateway import NodeReport
from bendlead_store import FollowedStore
from gevent import signal_handler
from gevent.event import Event

from bendlead_gateway._fleet.catalog import ConfigurationHolder, EngineList
from bendlead_gateway._fleet.health import EngineHealth
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.peers import REPORT_PATH, PeerTable
from bendlead_gateway._fleet.watcher import Watcher
from bendlead_gateway._http.server import HttpServer, Request, Responder
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._online.pool import EnginePool
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    ClientLimits,
    Engine,
    NodeSettings,
    PeerRecord,
)

#: Peers send small reports; jobs are bounded by the clients' limit.
_PEER_LIMITS = ClientLimits(
    header_bytes=65_536, body_bytes=8_388_608, idle_seconds=60
)
_SWEEP_SECONDS = 1.0
_JSON = (('Content-Type', 'application/json'),)


class Node:
    """Hold what entries and owners share, and start its tasks."""

    def __init__(
        self, settings: NodeSettings, store: FollowedStore, dialect: Dialect
    ) -> None:
        self.settings = settings
        self.store = store
        self.dialect = dialect
        self.log = Log(settings.node)
        self.metrics = Metrics()
        self.loads = LoadTable()
        self.health = EngineHealth()
        self.pool = EnginePool()
        self.configuration = ConfigurationHolder(dialect, self.log)
        self.engines = EngineList(dialect, self.log, self._forget_engine)
        self.leaving = False
        self.done = Event()
        address = f'{settings.address}:{settings.internal_port}'
        self.record = PeerRecord(
            settings.node, settings.role, settings.hall, address
        )
        self.peers = PeerTable(
            self.record, store, dialect, self.loads, self.log, self.report
        )
        prefix = dialect.config_key.partition('/')[0]
        self.config_watch = self._watcher(f'{prefix}/', self.configuration)
        self.engines_watch = self._watcher(
            dialect.engines_prefix, self.engines
        )
        self.peers_watch = self._watcher(dialect.peers_prefix, self.peers)
        self.internal = HttpServer(
            address,
            self._answer_internal,
            lambda: _PEER_LIMITS,
            time.monotonic,
        )

    def run(self) -> None:
        """Start everything and wait until the process may end."""
        self.log.event(
            'start', role=self.settings.role.value, hall=self.settings.hall
        )
        signal_handler(signal.SIGTERM, self._on_term)
        signal_handler(signal.SIGHUP, self._on_hup)
        gevent.spawn(self._sweep)
        self.internal.start()
        self.start()
        self.done.wait()
        self.log.event('stop', lines_dropped=self.log.dropped)

    def start(self) -> None:
        """Start what the role adds."""
        raise NotImplementedError

    def leave(self) -> None:
        """Finish what runs and set done; runs in a task of its own."""
        raise NotImplementedError

    def answer_peer_call(self, request: Request, responder: Responder) -> None:
        """Answer a call of a peer that is not a report."""
        responder.answer(404)

    def report(self) -> NodeReport:
        """Tell peers what runs here."""
        own = self.loads.own
        return NodeReport(
            node=self.settings.node,
            sound=True,
            leaving=self.leaving,
            online={name: count for name, count in own.online.items() if count},
            batch={name: count for name, count in own.batch.items() if count},
            shards=[],
        )

    def state(self) -> dict[str, object]:
        """Dump what this process believes."""
        known = self.configuration.known
        return {
            'node': self.settings.node,
            'leaving': self.leaving,
            'configuration': known.version if known else None,
            'engines': {one.engine: one.state.value for one in self.engines.all()},
            'online': dict(self.loads.own.online),
            'batch': dict(self.loads.own.batch),
            'peers': self.peers.summary(),
            'recent': self.log.recent,
        }

    def _watcher(self, prefix: str, follower) -> Watcher:
        return Watcher(self.store, prefix, follower, self.log)

    def _forget_engine(self, engine: Engine) -> None:
        self.pool.forget(engine.engine)
        self.health.forget(engine.engine)

    def _answer_internal(self, request: Request, responder: Responder) -> None:
        if request.path == REPORT_PATH:
            try:
                told = self.peers.exchange(request.body)
            except msgspec.MsgspecError as error:
                self.log.event('report-unreadable', reason=error)
                responder.answer(400)
                return
            responder.answer(200, _JSON, told)
        elif request.path == '/metrics':
            responder.answer(200, (), self.metrics.page())
        elif request.path == '/debug/state':
            responder.answer(200, _JSON, msgspec.json.encode(self.state()))
        else:
            self.answer_peer_call(request, responder)

    def _sweep(self) -> None:
        while True:
            gevent.sleep(_SWEEP_SECONDS)
            self.pool.close_expired()

    def _on_term(self) -> None:
        if not self.leaving:
            self.leaving = True
            self.log.event('leaving', busy=self.internal.busy)
            gevent.spawn(self.leave)

    def _on_hup(self) -> None:
        # Addresses and limits are fixed for the life of a process; what the
        # settings may add later is read at the next start.
        self.log.event('reload', changed='nothing')
