"""The entry: clients' requests to engines, calls about jobs to owners."""

import socket
from http import HTTPStatus

import gevent
from bendlead_schema.gateway import NodeReport
from bendlead_store import FollowedStore, clock
from msgspec.structs import replace

from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway._jobs.relay import JobRelay
from bendlead_gateway._node import Node
from bendlead_gateway._online.path import REFUSED, OnlinePath
from bendlead_gateway._online.request_queue import RequestQueue
from bendlead_gateway._scheduling.overload import (
    OverloadDetector,
    ResourceUse,
    sheds_connections,
)
from bendlead_gateway._stopping import StopSchedule
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

#: Descriptors kept for the store, engines and files, and the most of all that
#: may be kept where there are few.
_RESERVED_DESCRIPTORS = 1200
_RESERVED_SHARE = 0.5
_CHECK_SECONDS = 0.05
#: The last answers are written for this long (s) before the process ends.
_LAST_WORDS_SECONDS = 0.1
#: The configuration and the engines are known some 10 ms after the start.
#: Clients that connected before wait for them, no longer than this (s): then
#: the object service is away, and they are told to come back.
_UNKNOWN_SECONDS = 0.3
_LOOK_SECONDS = 0.005
#: Part of the memory that bodies of requests may take. Each is copied when it
#: is put together and again when it is sent.
_BODIES_SHARE = 0.25
#: Seconds between two looks at what this entry has left.
_STRAIN_SECONDS = 0.1
_RETRY_AFTER = (('Retry-After', '0.2'),)


class EntryNode(Node):
    """Take clients' connections."""

    def __init__(
        self,
        settings: NodeSettings,
        store: FollowedStore,
        dialect: Dialect,
        clients: socket.socket | None = None,
    ) -> None:
        """Take clients on a socket that listens already, or open one."""
        super().__init__(settings, store, dialect)
        team_named = self.fleet.configuration.team_named
        self.shares = TeamShares(team_named)
        self.room = RequestQueue(
            self.fleet.balancer.estimate_wait,
            self.shares,
            team_named,
            self.metrics,
        )
        self._online = OnlinePath(
            dialect,
            self.fleet,
            self.log,
            self.metrics,
            self.shares,
            self.room,
        )
        self._relay = JobRelay(self.peers, dialect, self.log)
        self.limits = TeamLimits(
            settings.limit_window,
            self.peers.entry_group,
            team_named,
            shares=self.shares,
        )
        self._admission = TeamAdmission(
            dialect,
            self.fleet.configuration,
            self.limits,
            lambda: self.fleet.config_watch.current,
            self.log,
            self.metrics,
        )
        self._clients = HttpServer(
            clients or settings.clients_address or '',
            self._answer_client,
            lambda: self.fleet.configuration.limits,
            clock.uptime,
            _most_clients(settings.descriptors),
        )
        self._clients.on_accept_error = lambda reason: self.log.event(
            'client-not-taken', reason=reason
        )
        self._clients.body_budget.max_bytes = int(
            settings.memory * _BODIES_SHARE
        )
        self._strain = OverloadDetector()
        self._turns_away = False
        self._stop: StopSchedule | None = None
        self._ready = HttpServer(
            settings.ready_address or '',
            self._answer_ready,
            lambda: self.fleet.configuration.limits,
            clock.uptime,
        )

    def start(self) -> None:
        """Take clients."""
        self._ready.start()
        gevent.spawn(self._take_clients)
        gevent.spawn(self._watch_strain)

    def report(self) -> NodeReport:
        """Tell peers what runs and what was let through here."""
        counts = self.limits.counts
        return replace(
            super().report(),
            life=counts.life,
            teams=dict(counts.counts),
            asks_levels=self.limits.needs_levels,
            strained=self._strain.strained,
        )

    def state(self) -> dict[str, object]:
        """Dump what this process believes, also of teams."""
        return {**super().state(), 'teams': self._usage_of_teams()}

    def hear_report(self, report: NodeReport) -> None:
        """Take what a peer said, levels that were asked for too."""
        super().hear_report(report)
        self.limits.adopt_levels(report.levels)

    def hear_teams(
        self, node: NodeName, told: TeamCounts, version: int, heard: float
    ) -> None:
        """Count what another entry let through."""
        if told.life:
            self.limits.receive(node, told, version, heard)

    def team_levels(self) -> dict[str, float]:
        """Give the requests of each team that still count."""
        return dict(self.limits.levels())

    def leave(self) -> None:
        """Take clients until the platform has taken this node out, then end.

        New work ends for all connections at one moment: what a kept or slow
        one brings later could not be finished either.
        """
        stop = StopSchedule.begin(self.settings.grace)
        self._stop = stop
        self._clients.close_after_responses()
        gevent.sleep(stop.closes - stop.began)
        self._clients.stop_accepting()
        self.log.event('clients-refused', busy=self._clients.busy)
        while stop.left > 0:
            self._clients.close_idle()
            if not self._clients.busy:
                break
            gevent.sleep(_CHECK_SECONDS)
        cut = self._clients.busy
        if cut:
            self._clients.abort_requests()
            gevent.sleep(_LAST_WORDS_SECONDS)
        self.log.event('left', cut=cut)
        self.done.set()

    def answer_peer_call(self, request: Request, responder: Responder) -> None:
        """Pass a call about jobs on for an entry that does not hear owners."""
        self._relay.forward(request, responder)

    def _usage_of_teams(self) -> dict[str, dict[str, float]]:
        """Show what teams use of their limits and shares, and who waits."""
        found = {name: dict(one) for name, one in self.limits.usage().items()}
        unlimited = {'rate': 0.0, 'burst': 0.0, 'level': 0.0, 'passed_here': 0}
        waiting = self.room.waiting
        for name, had in self.shares.summary().items():
            one = found.setdefault(name, dict(unlimited))
            one.update(had)
        for name, one in found.items():
            one['waiting'] = waiting.get(name, 0)
            one['no_place'] = self.metrics.load.no_place[name]
        return found

    def _take_clients(self) -> None:
        """Let clients wait until it is known where their requests go."""
        with gevent.Timeout(_UNKNOWN_SECONDS, exception=False):
            while not self._knows_fleet():
                gevent.sleep(_LOOK_SECONDS)
        self._clients.start()

    def _watch_strain(self) -> None:
        """Send clients to others of the hall while this entry is strained."""
        while True:
            due = clock.uptime() + _STRAIN_SECONDS
            gevent.sleep(_STRAIN_SECONDS)
            late = max(0, clock.uptime() - due)
            room = ResourceUse(
                self._clients.body_budget.utilization, self._clients.utilization
            )
            if self._strain.update(late, room):
                self.log.event(
                    'strain',
                    strained=self._strain.strained,
                    late=round(self._strain.timer_delay, 3),
                    memory=round(room.memory, 2),
                    connections=round(room.connections, 2),
                )
            own = self._strain.strained
            others = self.peers.strained_in_hall() if own else ()
            self._turns_away = sheds_connections(own=own, others=others)

    def _knows_fleet(self) -> bool:
        known = self.fleet.configuration.current is not None
        return (
            known
            and self.fleet.engines_watch.current
            and self.fleet.suspects_watch.current
        )

    def _answer_ready(self, request: Request, responder: Responder) -> None:
        ready = (
            request.path == self.dialect.ready_path
            and self.fleet.configuration.current is not None
            and not self.leaving
        )
        responder.answer(
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        )

    def _answer_client(self, request: Request, responder: Responder) -> None:
        if self.leaving or self._turns_away:
            responder.close_after()
        if self._stop and self._stop.closed:
            self._refuse_late(request, responder, self._stop)
            return
        call = self.dialect.job_call(
            request.method, request.target, request.headers
        )
        if self.fleet.configuration.current is None:
            responder.answer(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER)
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
        if not self._admission.check_limit(facts, responder, team):
            return
        outcome = self._online.serve(request, responder, facts, route, team)
        if team and outcome == REFUSED:
            self.limits.refund(team)

    def _refuse_late(
        self, request: Request, responder: Responder, stop: StopSchedule
    ) -> None:
        """Turn away what a connection brings after the last new work."""
        self.log.event(
            'late-request',
            target=request.target,
            served_before=responder.earlier_requests,
            stopping_for=round(stop.age, 3),
        )
        responder.answer(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER)

    def _answer_unrouted(
        self, request: Request, responder: Responder, name: str
    ) -> None:
        """Say 404 only while the configuration is surely the newest."""
        current = self.fleet.config_watch.current
        self.log.event(
            'no-route',
            request=name,
            path=request.path,
            version=self.fleet.configuration.version,
            current=current,
        )
        if current:
            responder.answer(HTTPStatus.NOT_FOUND)
        else:
            responder.answer(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER)


def _most_clients(descriptors: int) -> int:
    """Give how many connections of clients may be open at once."""
    reserved = min(_RESERVED_DESCRIPTORS, int(descriptors * _RESERVED_SHARE))
    return descriptors - reserved
