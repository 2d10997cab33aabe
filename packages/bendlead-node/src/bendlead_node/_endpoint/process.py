"""Put the parts of an endpoint process together and run them."""

import random

import gevent
from bendlead_schema.messages import (
    EndpointHeartbeat,
    EndpointHeartbeatReply,
    EndpointState,
    StopStatus,
)
from bendlead_schema.settings import EngineSettings, NodeSettings
from result import Ok

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
    Route,
    WebApp,
    WebServer,
    json_answer,
)
from bendlead_node._endpoint.admission import Admission
from bendlead_node._endpoint.batch import BatchRunner
from bendlead_node._endpoint.controller import (
    BatchLimit,
    FixedLimit,
    LearntLimit,
)
from bendlead_node._endpoint.ends import EngineEnds
from bendlead_node._endpoint.engine import Engine
from bendlead_node._endpoint.online import OnlinePath

_PEER_SECONDS = 15.0
_PATHS = ('/v1/chat/completions', '/v1/completions')
_LEAVE_CHECK_SECONDS = 0.1
_MOST_ENTRIES = 8
_JITTER = 0.8


class EndpointProcess:
    """Be the only way into one engine or plain service."""

    def __init__(self, settings: NodeSettings) -> None:
        if settings.engine is None:
            raise ValueError('an endpoint process needs engine settings')
        self._settings = settings
        self._stands_before: EngineSettings = settings.engine
        self._journal = Journal(settings.node)
        self._metrics = Metrics()
        self._config = ConfigTable()
        report = answer_reporter(self._journal, self._metrics)
        self._peers = PeerClient(settings.peer_key, _PEER_SECONDS, report)
        self._known = list(settings.peers)
        self._engine = Engine(self._stands_before.address, report)
        limit = _batch_limit(self._stands_before)
        self._admission = Admission(
            self._stands_before.capacity,
            self._stands_before.queue,
            limit,
            self._engine.cancel,
            self._journal,
            self._metrics,
        )
        self._gate = PeerGate(settings.peer_key, self._metrics)
        self._ends = EngineEnds(
            settings.node,
            self._stands_before.address,
            self._beat_once,
            self._journal,
        )
        self._online = OnlinePath(
            self._stands_before.service,
            self._gate,
            self._admission,
            self._engine,
            limit,
            self._metrics,
            self._ends,
        )
        self._batch = BatchRunner(
            settings.node,
            self._stands_before.models,
            self._admission,
            self._engine,
            self._peers,
            self._entries,
            self._journal,
            self._metrics,
        )
        self._address = ''
        self._stopping = False

    def run(self) -> None:
        """Serve until told to leave and nothing runs any more."""
        server = WebServer(
            self._settings.host,
            self._settings.port,
            WebApp(self._routes(), self._journal.event),
        )
        self._address = server.address
        server.start()
        self._journal.event('listening', address=server.address)
        self._journal.watch_tasks()
        self._journal.keep_running('beat', self._beat)
        if self._stands_before.batch and self._stands_before.models:
            self._batch.start()
        while not (self._stopping and self._safe_to_stop()):
            gevent.sleep(_LEAVE_CHECK_SECONDS)
        self._journal.event('stopped', reason='left')

    def leave(self) -> None:
        """Finish what runs, then end."""
        self._stopping = True
        self._start_leaving('asked to stop')

    def _start_leaving(self, reason: str) -> None:
        if self._admission.leaving:
            return
        self._admission.leaving = True
        self._journal.decide('leaving', reason=reason)
        self._admission.stop_batch()
        self._batch.hand_back()

    def _safe_to_stop(self) -> bool:
        return self._admission.idle and not self._batch.runs

    def _routes(self) -> list[Route]:
        own = [
            Route('GET', '/livez', self._alive),
            Route('GET', '/readyz', self._alive),
            Route('GET', '/metrics', self._metrics.page),
            Route('GET', '/debug/state', self._state),
            Route('POST', '/peer/v1/stop', self._stop),
            Route('GET', '/peer/v1/stop', self._stop_status),
        ]
        return [
            *own,
            *(Route('POST', path, self._online.serve) for path in _PATHS),
            *self._plain_routes(),
        ]

    def _plain_routes(self) -> list[Route]:
        if self._stands_before.models:
            return []
        return [
            Route(method, '/<path:rest>', self._online.serve)
            for method in ('GET', 'POST', 'PUT', 'DELETE')
        ]

    def _alive(self, _call: Call) -> Answer:
        return json_answer({'alive': True})

    def _stop(self, call: Call) -> Answer:
        self._gate.check(call)
        self._start_leaving('asked by a peer')
        return self._stop_status(call)

    def _stop_status(self, call: Call) -> Answer:
        self._gate.check(call)
        return json_answer(
            StopStatus(
                leaving=self._admission.leaving,
                online=self._admission.online,
                batch=self._admission.batch,
                safe_to_stop=(self._admission.leaving and self._safe_to_stop()),
            ),
        )

    def _state(self, call: Call) -> Answer:
        self._gate.check(call)
        return json_answer(
            EndpointState(
                endpoint=self._settings.node,
                service=self._stands_before.service,
                leaving=self._admission.leaving,
                capacity=self._admission.capacity,
                online=self._admission.online,
                batch=self._admission.batch,
                batch_limit=self._admission.room_for_batch(),
                runs=self._batch.runs,
                held_results=self._batch.held_results,
                yields_ms=self._engine.yields,
                entries=self._entries(),
                decisions=self._journal.decisions,
            ),
        )

    def _entries(self) -> list[str]:
        return list(self._known)

    def _beat(self) -> None:
        while True:
            self._beat_once()
            pause = self._settings.heartbeat * random.uniform(_JITTER, 1)
            gevent.sleep(pause)

    def _beat_once(self) -> None:
        for address in self._entries():
            gevent.spawn(self._beat_one, address)

    def _beat_one(self, address: str) -> None:
        reply = self._peers.ask(
            address,
            '/peer/v1/endpoint',
            self._heartbeat(),
            EndpointHeartbeatReply,
        )
        if not isinstance(reply, Ok):
            return
        heard = reply.ok_value
        if heard.entries:
            seeds = self._settings.peers
            known = dict.fromkeys([*heard.entries, *seeds])
            self._known = list(known)[:_MOST_ENTRIES]
        self._config.merge(heard.changes)
        if heard.leaving:
            self._start_leaving('the platform lists the VM as leaving')
        for stop in self._config.stops().values():
            if stop.endpoint == self._settings.node:
                self._start_leaving(stop.reason or 'planned stop')

    def _heartbeat(self) -> EndpointHeartbeat:
        return EndpointHeartbeat(
            endpoint=self._settings.node,
            address=self._address,
            data_hall=self._settings.data_hall,
            service=self._stands_before.service,
            models=self._stands_before.models,
            capacity=self._admission.capacity,
            online=self._admission.online,
            batch=self._admission.batch,
            leaving=self._admission.leaving,
            revision=self._config.revision,
            versions=self._config.versions,
            ends=self._ends.latest,
        )


def _batch_limit(settings: EngineSettings) -> BatchLimit:
    if settings.batch_limit:
        return FixedLimit(settings.batch_limit)
    return LearntLimit(settings.capacity, settings.profile)
