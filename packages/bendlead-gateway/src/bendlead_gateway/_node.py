"""Base of the gateway's processes, entries and owners."""

import signal
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

import gevent
import msgspec
from bendlead_schema.gateway import NodeReport
from bendlead_store import FollowedStore, clock, tasks
from gevent.event import Event

from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._fleet.pace_updates import PaceUpdates
from bendlead_gateway._fleet.peer_configuration import (
    CONFIGURATION_PATH,
    PeerConfigurationFetcher,
)
from bendlead_gateway._fleet.peers import PeerTable
from bendlead_gateway._fleet.report_codec import CHANGES_PATH, REPORT_PATH
from bendlead_gateway._fleet.store_calls import STORE_PATH, answer_call
from bendlead_gateway._fleet.store_failover import FailoverStore
from bendlead_gateway._health.evaluator import LocalNode
from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._reload import Reloader, SettingsSource
from bendlead_gateway._request_log import RequestLog
from bendlead_gateway._streams.origin_sender import ORIGINS_PATH
from bendlead_gateway._streams.origins import QUERY_PATH, StreamOrigins
from bendlead_gateway._suspension import SuspensionDetector
from bendlead_gateway._teams.reported_counts import TeamCounts
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.json_values import DECODE_ERRORS
from bendlead_gateway.types import (
    ClientLimits,
    NodeName,
    NodeRole,
    NodeSettings,
    PeerRecord,
)

#: Limits for peers, whose reports are small; the size of a job is limited
#: where clients submit it.
_PEER_HEADER_BYTES = 65_536
_PEER_BODY_BYTES = 8_388_608
_PEER_IDLE_SECONDS = 60
_PEER_LIMITS = ClientLimits(
    header_bytes=_PEER_HEADER_BYTES,
    body_bytes=_PEER_BODY_BYTES,
    idle_seconds=_PEER_IDLE_SECONDS,
)
_MAINTENANCE_INTERVAL_SECONDS = 1.0
_MS_PER_SECOND = 1000
#: Changes of the peer list are applied in groups, because the processes of a
#: deployment start and register at nearly the same time.
_PEER_CHANGES_DELAY_SECONDS = 0.5
_JSON = (('Content-Type', 'application/json'),)


class Node:
    """Base class of the roles: settings, fleet state, peers and their tasks."""

    def __init__(
        self, settings: NodeSettings, store: FollowedStore, dialect: Dialect
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.log = Log(settings.node)
        self.store = FailoverStore(store, self.log)
        self._request_log = RequestLog(self.log, dialect)
        self.metrics = Metrics()
        self.fleet = Fleet(
            self.store,
            dialect,
            self.log,
            self.metrics,
            LocalNode(settings.node, settings.hall),
        )
        self._pace_updates = PaceUpdates(
            self.fleet.engines, self.fleet.pace, self.log
        )
        self.draining = False
        self._stop_requested = False
        self._reloader: Reloader | None = None
        self.done = Event()
        address = f'{settings.address}:{settings.internal_port}'
        self.record = PeerRecord(
            settings.node, settings.role, settings.hall, address
        )
        self.peers = PeerTable(
            self.record,
            self.store,
            dialect,
            self.fleet.loads,
            self.log,
            self.report,
            self.receive_report,
            self.receive_team_counts,
            self.team_levels,
        )
        self.store.peer_caller.peers = self.peers.processes.with_store_access
        self.peers.suspects = self.fleet.suspects
        self.peers.shared_health = self.fleet.shared_health
        self.fleet.shared_health.configure_peers(
            self.peers.processes.trial_nodes, self.peers.processes.halls
        )
        self.fleet.suspects.turns.configure_peers(
            partial(self.peers.processes.turn, NodeRole.ENTRY)
        )
        self.fleet.suspects.item_trials.configure_peers(
            partial(self.peers.processes.rank, NodeRole.OWNER)
        )
        self.peers_watch = self.fleet.watcher(
            dialect.peers_prefix, self.peers, _PEER_CHANGES_DELAY_SECONDS
        )
        self._origins = StreamOrigins(
            settings.node,
            self.peers.holders,
            self.peers.seems_down,
            self.log,
            self.metrics,
        )
        self._configuration_fetcher = PeerConfigurationFetcher(
            self.fleet.configuration, self.fleet.config_watch, self.log
        )
        self._exchanges: dict[str, Callable[[bytes], bytes]] = {
            REPORT_PATH: self.peers.exchange,
            CHANGES_PATH: self.peers.exchange_changes,
            STORE_PATH: partial(answer_call, store),
            ORIGINS_PATH: self._origins.receive,
            QUERY_PATH: self._origins.answer,
        }
        self.internal = HttpServer(
            address,
            self._answer_internal,
            lambda: _PEER_LIMITS,
            clock.uptime,
        )
        self._request_log.observe(self.internal.events)

    def run(self, source: SettingsSource) -> None:
        """Run the process until its shutdown is complete."""
        self._reloader = Reloader(source, self.store, self.log)
        self.log.event(
            'start', role=self.settings.role.value, hall=self.settings.hall
        )
        gevent.signal_handler(signal.SIGTERM, self._on_term)
        # Blocked by the launcher during start-up.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM,))
        gevent.signal_handler(signal.SIGHUP, self._on_hup)
        tasks.report_unwatched(self.log.task_failed)
        tasks.keep_running(
            'maintenance', self.log.task_failed, self._run_maintenance
        )
        self.serve()
        self.done.wait()
        self.log.event('stop', lines_dropped=self.log.dropped)

    def serve(self) -> None:
        """Watch the object service, serve peers and start the role's tasks."""
        self.fleet.start()
        tasks.keep_running(
            'peers-watch', self.log.task_failed, self.peers_watch.run
        )
        tasks.keep_running(
            'owners-watch', self.log.task_failed, self.peers.watch_owners
        )
        self.internal.start()
        self.start()

    def start(self) -> None:
        """Start the tasks of the role."""
        raise NotImplementedError

    def shut_down(self) -> None:
        """Shut down gracefully, then set ``done``; called in its own task."""
        raise NotImplementedError

    def answer_peer_call(self, request: Request, responder: Responder) -> None:
        """Answer a call of a peer that is handled by the role."""
        responder.answer(HTTPStatus.NOT_FOUND)

    def receive_report(self, report: NodeReport) -> None:
        """Handle a report of a peer."""
        self.fleet.receive(report)
        self._pace_updates.receive(report)
        record = self.peers.record_of(NodeName(report.node))
        if record is not None:
            self._configuration_fetcher.on_peer_version(
                record, report.configuration
            )

    def receive_team_counts(
        self,
        node: NodeName,
        counts: TeamCounts,
        version: int,
        reported_at: float,
    ) -> None:
        """Handle the admitted requests per team of a peer; ignored here."""

    def team_levels(self) -> dict[str, float]:
        """Return the current level of each team's rate limit, in requests."""
        return {}

    def report(self) -> NodeReport:
        """Return the report that is sent to peers."""
        own = self.fleet.loads.own
        return NodeReport(
            node=self.settings.node,
            sound=True,
            leaving=self.draining,
            heard=self.peers.claims.direct_claims(),
            online={name: count for name, count in own.online.items() if count},
            batch={name: count for name, count in own.batch.items() if count},
            run_ms=round(self.fleet.pace.run_seconds * _MS_PER_SECOND),
            shards=[],
            paces=self._pace_updates.outgoing(),
            revisions=self.fleet.revisions(),
            answered_ms=_age_ms(self.store.connectivity.answered_at),
            failed_ms=_age_ms(self.store.connectivity.failed_at),
            configuration=self.fleet.configuration.version,
            refused=self.fleet.refusals.own_counts,
        )

    def state(self) -> dict[str, object]:
        """Return the state dump of the debug endpoint."""
        configuration = self.fleet.configuration.current
        return {
            'node': self.settings.node,
            'leaving': self.draining,
            'configuration': configuration.version if configuration else None,
            'engines': {
                engine.engine: engine.state.value
                for engine in self.fleet.engines.all()
            },
            'online': dict(self.fleet.loads.own.online),
            'batch': dict(self.fleet.loads.own.batch),
            'paces': self._pace_updates.summary(),
            'suspects': self.fleet.suspects.summary(),
            'stream_origins': len(self._origins.table),
            'engine_health': self.fleet.shared_health.summary(),
            'peers': self.peers.summary(),
            'recent': self.log.recent,
        }

    def _answer_internal(self, request: Request, responder: Responder) -> None:
        if request.path in self._exchanges:
            self._answer_report(request, responder)
        elif request.path == CONFIGURATION_PATH:
            self._send_configuration(responder)
        elif request.path == '/metrics':
            self.metrics.process.dropped_lines = self.log.dropped
            self.metrics.process.task_failures = self.log.task_failures
            self.metrics.store_calls = self.store.calls
            self.metrics.load.told_bytes = self.peers.codec.sent_bytes
            self.metrics.load.pace_findings = self._pace_updates.counts
            responder.answer(HTTPStatus.OK, (), self.metrics.page())
        elif request.path == '/debug/state':
            responder.answer(
                HTTPStatus.OK, _JSON, msgspec.json.encode(self.state())
            )
        else:
            self.answer_peer_call(request, responder)

    def _answer_report(self, request: Request, responder: Responder) -> None:
        try:
            response = self._exchanges[request.path](request.body)
        except DECODE_ERRORS as error:
            self.log.event('report-unreadable', reason=error)
            responder.answer(HTTPStatus.BAD_REQUEST)
            return
        # Only full reports name their type; the path implies that of others.
        full = request.path == REPORT_PATH
        responder.answer(HTTPStatus.OK, _JSON if full else (), response)

    def _send_configuration(self, responder: Responder) -> None:
        configuration = self.fleet.configuration.current
        if configuration is None:
            responder.answer(HTTPStatus.NOT_FOUND)
        else:
            responder.answer(
                HTTPStatus.OK, _JSON, msgspec.json.encode(configuration)
            )

    def _run_maintenance(self) -> None:
        suspension = SuspensionDetector()
        steps = (
            lambda: self._check_resume(suspension.poll()),
            partial(self._reload, requested=False),
            self.fleet.pool.close_expired,
            self.fleet.recover_watches,
        )
        while True:
            gevent.sleep(_MAINTENANCE_INTERVAL_SECONDS)
            tasks.run_all(*steps)

    def _check_resume(self, suspended: float) -> None:
        """Re-list watches that were open when the machine was suspended."""
        if suspended:
            self.log.event('machine-suspended', seconds=round(suspended, 3))
            self.fleet.restart_watches(clock.uptime())

    def _on_term(self) -> None:
        if self._stop_requested:
            return
        self._stop_requested = True
        self.draining = True
        self.log.event('leaving', busy=self.internal.busy)
        # An error would leave a process that neither serves nor ends.
        tasks.keep_running('shut-down', self.log.task_failed, self.shut_down)

    def _on_hup(self) -> None:
        gevent.spawn(self._reload, requested=True)

    def _reload(self, *, requested: bool) -> None:
        if self._reloader is not None:
            self.settings = self._reloader.reload(
                self.settings, requested=requested
            )


def _age_ms(timestamp: float) -> int:
    """Return the milliseconds since a time, or -1 if it is 0 (never)."""
    return (
        round((clock.uptime() - timestamp) * _MS_PER_SECOND)
        if timestamp
        else -1
    )
