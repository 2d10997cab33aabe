"""Entry role: routes client requests to engines and job calls to owners."""

import socket
from http import HTTPStatus

import gevent
from bendlead_schema.gateway import NodeReport
from bendlead_store import FollowedStore, clock
from bendlead_store.tasks import keep_running
from msgspec.structs import replace

from bendlead_gateway._http.messages import Certainty, Request, Responder
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway._jobs.relay import JobRelay
from bendlead_gateway._node import Node
from bendlead_gateway._online.path import OnlinePath
from bendlead_gateway._online.request_queue import RequestQueue
from bendlead_gateway._scheduling.overload import (
    OverloadDetector,
    ResourceUse,
    sheds_connections,
)
from bendlead_gateway._stopping import StopSchedule, held_signal_time
from bendlead_gateway._teams.admission import TeamAdmission
from bendlead_gateway._teams.limits import TeamLimits
from bendlead_gateway._teams.reported_counts import TeamCounts
from bendlead_gateway._teams.shares import TeamShares
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    NodeName,
    NodeSettings,
    RequestFacts,
    Route,
    RouteKind,
)

#: Descriptors reserved for the object service, engines and files, limited to
#: a share of the process's descriptors.
_RESERVED_DESCRIPTORS = 1200
_MAX_RESERVED_SHARE = 0.5
_SHUTDOWN_POLL_SECONDS = 0.05
#: Time to flush the last responses before the process exits.
_FLUSH_SECONDS = 0.1
#: Accepting clients is delayed until the configuration and the engines are
#: loaded, but no longer than this, in case the object service is unavailable.
_STARTUP_WAIT_SECONDS = 0.3
_STARTUP_POLL_SECONDS = 0.005
#: Share of the memory for request bodies; each body is copied when it is
#: assembled and again when it is sent.
_BODIES_MEMORY_SHARE = 0.25
#: The same for plain answers, which are also sent in one piece.
_ANSWERS_MEMORY_SHARE = 0.125
_OVERLOAD_CHECK_SECONDS = 0.1
_RETRY_AFTER_HEADERS = (('Retry-After', '0.2'),)


class EntryNode(Node):
    """Accepts client connections and forwards their requests."""

    def __init__(
        self,
        settings: NodeSettings,
        store: FollowedStore,
        dialect: Dialect,
        clients: socket.socket | None = None,
    ) -> None:
        """Accept clients on ``clients`` or, without it, open a listener."""
        super().__init__(settings, store, dialect)
        team_named = self.fleet.configuration.team_named
        self.shares = TeamShares(team_named)
        self.request_queue = RequestQueue(
            self.fleet.balancer.estimate_wait,
            self.shares,
            team_named,
            self.metrics,
        )
        self.limits = TeamLimits(
            settings.limit_window,
            self.peers.entry_group,
            team_named,
            shares=self.shares,
        )
        self._online = OnlinePath(
            dialect,
            self.fleet,
            self.log,
            self.metrics,
            self.shares,
            self.request_queue,
            self._origins,
            self.limits.refund,
        )
        self._relay = JobRelay(self.peers, dialect, self.log)
        self._admission = TeamAdmission(
            dialect,
            self.fleet.configuration,
            self.limits,
            lambda: self.fleet.config_watch.current,
            self.log,
            self.metrics,
        )
        self._client_server = HttpServer(
            clients or settings.clients_address or '',
            self._answer_client,
            lambda: self.fleet.configuration.limits,
            clock.uptime,
            _max_client_connections(settings.descriptors),
        )
        events = self._client_server.events
        events.accept_error = lambda reason: self.log.event(
            'client-not-taken', reason=reason
        )
        self._request_log.observe(events)
        self._client_server.body_budget.max_bytes = int(
            settings.memory * _BODIES_MEMORY_SHARE
        )
        self.fleet.answers.max_bytes = int(
            settings.memory * _ANSWERS_MEMORY_SHARE
        )
        self.request_queue.report = self.log.task_failed
        self._overload = OverloadDetector()
        self._sheds_connections = False
        self._stop: StopSchedule | None = None
        self._signalled_at = held_signal_time()
        self._readiness_server = HttpServer(
            settings.ready_address or '',
            self._answer_ready,
            lambda: self.fleet.configuration.limits,
            clock.uptime,
        )
        self._readiness_server.events.task_failed = self.log.task_failed

    def start(self) -> None:
        """Start the servers for clients and readiness checks."""
        self._readiness_server.start()
        report = self.log.task_failed
        keep_running('accept-clients', report, self._accept_clients)
        keep_running('overload', report, self._monitor_overload)

    def report(self) -> NodeReport:
        """Return the report to peers, with the requests admitted per team."""
        counts = self.limits.counts
        return replace(
            super().report(),
            life=counts.life,
            teams=dict(counts.counts),
            asks_levels=self.limits.needs_levels,
            strained=self._overload.strained,
        )

    def state(self) -> dict[str, object]:
        """Return the state dump, with the usage of teams."""
        return {**super().state(), 'teams': self._team_usage()}

    def receive_report(self, report: NodeReport) -> None:
        """Handle a report of a peer, with any team levels it carries."""
        super().receive_report(report)
        self.limits.adopt_levels(report.levels)

    def receive_team_counts(
        self,
        node: NodeName,
        counts: TeamCounts,
        version: int,
        reported_at: float,
    ) -> None:
        """Count the requests that another entry admitted."""
        if counts.life:
            self.limits.receive(node, counts, version, reported_at)

    def team_levels(self) -> dict[str, float]:
        """Return the current level of each team's rate limit, in requests."""
        return dict(self.limits.levels())

    def shut_down(self) -> None:
        """Shut down gracefully and set ``done``.

        Serves clients until the platform has removed this node from service,
        then rejects new requests on all connections, kept-alive ones
        included, and waits for the running ones until the deadline.
        """
        stop = StopSchedule.start(self.settings.grace, self._signalled_at)
        self._stop = stop
        self._client_server.close_after_responses()
        gevent.sleep(stop.accept_seconds_left)
        self._client_server.stop_accepting()
        self.request_queue.refuse_beyond(stop.ends_at)
        self.log.event('clients-refused', busy=self._client_server.busy)
        while stop.seconds_left > 0:
            self._client_server.close_idle()
            if not self._client_server.busy:
                break
            gevent.sleep(_SHUTDOWN_POLL_SECONDS)
        unfinished = self._client_server.busy
        if unfinished:
            self._client_server.abort_requests()
            gevent.sleep(_FLUSH_SECONDS)
        self.log.event('left', cut=unfinished)
        self.done.set()

    def answer_peer_call(self, request: Request, responder: Responder) -> None:
        """Forward a job call for an entry that cannot reach the owners."""
        self._relay.forward(request, responder)

    def _team_usage(self) -> dict[str, dict[str, float]]:
        """Return usage of limits and shares and queued requests by team."""
        teams = {name: dict(used) for name, used in self.limits.usage().items()}
        unlimited = {'rate': 0.0, 'burst': 0.0, 'level': 0.0, 'passed_here': 0}
        waiting = self.request_queue.waiting
        for name, shares in self.shares.summary().items():
            team = teams.setdefault(name, dict(unlimited))
            team.update(shares)
        for name, team in teams.items():
            team['waiting'] = waiting.get(name, 0)
            team['no_place'] = self.metrics.load.no_place[name]
        return teams

    def _accept_clients(self) -> None:
        """Accept clients once the configuration and engines are loaded."""
        with gevent.Timeout(_STARTUP_WAIT_SECONDS, exception=False):
            while not self._is_fleet_loaded():
                gevent.sleep(_STARTUP_POLL_SECONDS)
        self._client_server.start()

    def _monitor_overload(self) -> None:
        """Shed connections to entries of this hall during overload."""
        while True:
            due = clock.uptime() + _OVERLOAD_CHECK_SECONDS
            gevent.sleep(_OVERLOAD_CHECK_SECONDS)
            delay = max(0, clock.uptime() - due)
            usage = ResourceUse(
                self._client_server.body_budget.utilization,
                self._client_server.utilization,
            )
            if self._overload.update(delay, usage):
                self.log.event(
                    'strain',
                    strained=self._overload.strained,
                    late=round(self._overload.timer_delay, 3),
                    memory=round(usage.memory, 2),
                    connections=round(usage.connections, 2),
                )
            own = self._overload.strained
            others = self.peers.strained_in_hall() if own else ()
            self._sheds_connections = sheds_connections(own=own, others=others)

    def _is_fleet_loaded(self) -> bool:
        has_configuration = self.fleet.configuration.current is not None
        return (
            has_configuration
            and self.fleet.engines_watch.current
            and self.fleet.suspects_watch.current
        )

    def _answer_ready(self, request: Request, responder: Responder) -> None:
        ready = (
            request.path == self.dialect.ready_path
            and self.fleet.configuration.current is not None
            and not self.draining
        )
        responder.answer(
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        )

    def _answer_client(self, request: Request, responder: Responder) -> None:
        responder.certainty = Certainty.NOT_RUN
        if self.draining or self._sheds_connections:
            responder.close_after()
        if self._stop and self._stop.is_closed:
            self._reject_late(request, responder, self._stop)
            return
        call = self.dialect.job_call(
            request.method, request.target, request.headers
        )
        if self.fleet.configuration.current is None:
            responder.answer(
                HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER_HEADERS
            )
            return
        if call is not None:
            public = self.fleet.configuration.has_public_batch_route(
                request.host
            )
            self._answer_job_call(request, responder, public)
            return
        facts = self.dialect.request_facts(request.headers)
        if facts is None:
            responder.answer(HTTPStatus.BAD_REQUEST)
            return
        route = self.fleet.configuration.match(facts.host, request.path)
        if route is None:
            self._answer_unrouted(request, responder, facts.request)
        elif route.kind is RouteKind.BATCH:
            self._answer_job_call(request, responder, route.public)
        else:
            self._answer_online(request, responder, facts, route)

    def _answer_job_call(
        self, request: Request, responder: Responder, public: bool
    ) -> None:
        admitted = self._admission.authenticate(
            request, responder, public=public
        )
        if admitted:
            self._relay.answer(request, responder, admitted.team)

    def _answer_online(
        self,
        request: Request,
        responder: Responder,
        facts: RequestFacts,
        route: Route,
    ) -> None:
        admitted = self._admission.authenticate(
            request, responder, public=route.public
        )
        if admitted is None:
            return
        team = admitted.team
        if self._admission.check_limit(facts, responder, team):
            self._online.serve(request, responder, facts, route, team)

    def _reject_late(
        self, request: Request, responder: Responder, stop: StopSchedule
    ) -> None:
        """Reject a request that arrives after the listener was closed."""
        self.log.event(
            'late-request',
            target=request.target,
            served_before=responder.earlier_requests,
            stopping_for=round(stop.elapsed, 3),
        )
        responder.answer(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER_HEADERS)

    def _answer_unrouted(
        self, request: Request, responder: Responder, request_id: str
    ) -> None:
        """Answer 404, or 503 while the configuration may be outdated."""
        current = self.fleet.config_watch.current
        self.log.event(
            'no-route',
            request=request_id,
            path=request.path,
            version=self.fleet.configuration.version,
            current=current,
        )
        if current:
            responder.answer(HTTPStatus.NOT_FOUND)
        else:
            responder.answer(
                HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER_HEADERS
            )


def _max_client_connections(descriptors: int) -> int:
    """Return the maximum number of open client connections."""
    reserved = min(
        _RESERVED_DESCRIPTORS, int(descriptors * _MAX_RESERVED_SHARE)
    )
    return descriptors - reserved
