"""Configuration and engines of a process, and its connections to them."""

from bendlead_schema.gateway import NodeReport
from bendlead_store import FollowedStore, clock
from bendlead_store.tasks import keep_running
from gevent.lock import Semaphore

from bendlead_gateway._fleet.balancer import Balancer
from bendlead_gateway._fleet.catalog import ConfigurationHolder, EngineList
from bendlead_gateway._fleet.end_check import EndCheck
from bendlead_gateway._fleet.health import EngineHealth
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.pace import PaceTable, StreamPace
from bendlead_gateway._fleet.pool import EnginePool
from bendlead_gateway._fleet.reachability import Reachability
from bendlead_gateway._fleet.refusals import Refusals
from bendlead_gateway._fleet.watcher import Follower, Watcher
from bendlead_gateway._health.evaluator import LocalNode
from bendlead_gateway._health.shared import SharedHealth
from bendlead_gateway._http.answer_budget import AnswerBudget
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._suspects.suspects import Suspects
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import Engine, NodeName

#: Changes often come in series; they are gathered to save calls, well within
#: the 2 s after which they must be in force.
_GATHER_SECONDS = 0.15
_MS_PER_SECOND = 1000


class Fleet:
    """Bring together configuration, engines, their load, speed and health."""

    def __init__(
        self,
        store: FollowedStore,
        dialect: Dialect,
        log: Log,
        metrics: Metrics,
        local_node: LocalNode,
    ) -> None:
        self._store = store
        self._log = log
        self._probing = Semaphore()
        self._all_watches: list[Watcher] = []
        self.loads = LoadTable()
        self.health = EngineHealth()
        self.pace = PaceTable()
        self._refusals = Refusals(log)
        self.pool = EnginePool()
        self._reachability = Reachability()
        self.configuration = ConfigurationHolder(dialect, log)
        self.engines = EngineList(dialect, log, self._forget)
        self.shared_health = SharedHealth(
            local_node, self.engines.all, log, metrics
        )
        self.suspects = Suspects(
            self.engines.is_ready,
            lambda service: len(self.engines.ready(service)),
            self.health.last_activity_at,
            store,
            dialect.suspects_prefix,
            log,
            metrics,
        )
        self._answers = AnswerBudget()
        self._ends = EndCheck(
            self.suspects.crash_detector.has_crashed,
            self.configuration.health_path,
            dialect,
            log,
        )
        self.balancer = Balancer(
            self.engines,
            self.loads,
            self.health,
            self.pace,
            local_node.hall,
            self.shared_health,
        )
        prefix = dialect.config_key.partition('/')[0]
        self.config_watch = self.watcher(f'{prefix}/', self.configuration)
        self.engines_watch = self.watcher(dialect.engines_prefix, self.engines)

        self.suspects_watch = self.watcher(
            dialect.suspects_prefix, self.suspects.store
        )

    def observe_stream(self, engine: Engine) -> StreamPace:
        """Return a speed observer for a new stream of an engine."""
        name = engine.engine
        return StreamPace(
            self.pace,
            engine,
            lambda: self.loads.online(name) + self.loads.batch(name),
            warming=self.engines.warming(engine),
        )

    @property
    def answers(self) -> AnswerBudget:
        """Return the memory limit for plain answers."""
        return self._answers

    @property
    def ends(self) -> EndCheck:
        """Return the check of engines whose answers end unmarked."""
        return self._ends

    @property
    def reachability(self) -> Reachability:
        """Return the probes of silent engines."""
        return self._reachability

    @property
    def refusals(self) -> Refusals:
        """Return the recent refusals by service."""
        return self._refusals

    def watcher(
        self, prefix: str, follower: Follower, gather: float = _GATHER_SECONDS
    ) -> Watcher:
        """Create a watcher that retries in turn with the others."""
        watcher = Watcher(
            self._store, prefix, follower, self._log, self._probing, gather
        )
        self._all_watches.append(watcher)
        return watcher

    def revisions(self) -> dict[str, int]:
        """Return the latest revision seen below each prefix."""
        return {
            watch.prefix: watch.latest_revision
            for watch in self._watches()
            if watch.latest_revision
        }

    def receive(self, report: NodeReport) -> None:
        """Apply what a peer reports on engines and the object service."""
        self.pace.add_peer_run(report.run_ms / _MS_PER_SECOND)
        self.shared_health.receive(report.evidence)
        self._refusals.receive(NodeName(report.node), report.refused)
        for watch in self._watches():
            watch.on_peer_revision(report.revisions.get(watch.prefix, 0))
        if 0 <= report.answered_ms < report.failed_ms:
            self.restart_watches(
                clock.uptime() - report.failed_ms / _MS_PER_SECOND
            )

    def recover_watches(self) -> None:
        """Restart the watch calls after an outage of the object service."""
        connectivity = self._store.connectivity
        if connectivity.has_recovered:
            self.restart_watches(connectivity.failed_at)

    def restart_watches(self, failed_at: float) -> None:
        """Restart the watch calls that began before a failure."""
        for watch in self._all_watches:
            watch.restart_if_older(failed_at)

    def start(self) -> None:
        """Start following the object service."""
        report = self._log.task_failed
        keep_running('config-watch', report, self.config_watch.run)
        keep_running('engines-watch', report, self.engines_watch.run)
        keep_running('suspects-watch', report, self.suspects_watch.run)
        keep_running('suspects-store', report, self.suspects.store.run)

    def _watches(self) -> tuple[Watcher, ...]:
        return self.config_watch, self.engines_watch, self.suspects_watch

    def _forget(self, engine: Engine) -> None:
        self.pool.close_engine(engine.engine)
        self.health.forget(engine.engine)
        self._reachability.forget(engine.engine)
        self.shared_health.forget(engine)
        self.pace.forget(engine)
        listed = self.engines.find(engine.engine)
        self.suspects.crash_detector.record_removed(
            engine, restarted=listed is not None
        )
