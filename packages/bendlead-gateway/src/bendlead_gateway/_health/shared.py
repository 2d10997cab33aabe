"""Engine health shared by the fleet, for processes that send requests."""

import time
from collections.abc import Callable, Iterable, Sequence

from bendlead_schema.gateway import EngineEvidence
from bendlead_store import clock
from result import Err

from bendlead_gateway._health import codec
from bendlead_gateway._health.evaluator import LocalNode
from bendlead_gateway._health.evidence import EvidenceTable
from bendlead_gateway._health.failed_requests import FailedRequests
from bendlead_gateway._health.health_state import (
    HealthAssessment,
    HealthState,
)
from bendlead_gateway._health.monitor import (
    HealthMonitor,
    ListEngines,
    ListHalls,
)
from bendlead_gateway._health.observation import (
    EngineIncarnation,
    FailureKind,
    incarnation_of,
)
from bendlead_gateway._health.trial import (
    ListTrialNodes,
    TrialNode,
    TrialSchedule,
)
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway.types import Engine

#: Bound on the size of one report; further updates follow in the next.
_MAX_UPDATES_PER_REPORT = 64
#: A trial without an outcome by then was cancelled by its caller.
_TRIAL_TIMEOUT_SECONDS = 1.5


class SharedHealth:
    """Collect evidence from this process and its peers, and assess engines."""

    def __init__(
        self,
        local_node: LocalNode,
        list_engines: ListEngines,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._local_node = local_node
        self._log = log
        self._metrics = metrics
        self._list_engines = list_engines
        self._evidence = EvidenceTable(local_node.node)
        self.monitor = HealthMonitor(
            local_node, self._evidence, list_engines, log
        )
        self._requests = FailedRequests()
        self._trials: dict[EngineIncarnation, float] = {}
        self._schedule = TrialSchedule(self._only_this_node)

    def configure_peers(
        self, list_trial_nodes: ListTrialNodes, list_halls: ListHalls
    ) -> None:
        """Set the functions that list the other processes."""
        self._schedule = TrialSchedule(list_trial_nodes)
        self.monitor.list_halls = list_halls

    @property
    def any_failures(self) -> bool:
        """Whether any engine has failed recently."""
        return bool(self._evidence.observations)

    @property
    def revision(self) -> int:
        """Number of changes so far that peers are to receive."""
        return self._evidence.revision

    def assess(self, engine: Engine) -> HealthAssessment:
        """Return the assessment of an engine."""
        return self.monitor.assess(incarnation_of(engine), clock.uptime())

    def is_unreachable(self, engine: Engine) -> bool:
        """Return whether this process leaves out an engine out of reach."""
        return self._evidence.is_unreachable(
            incarnation_of(engine), clock.uptime()
        )

    def start_connect(self, engine: Engine) -> float:
        """Have one request at a time try an engine that was out of reach.

        Returns the time on the monotonic clock (s).
        """
        now = clock.uptime()
        self._evidence.pause_unreachable(incarnation_of(engine), now)
        return now

    def record_failure(
        self,
        engine: Engine,
        kind: FailureKind | None,
        digest: RequestDigest | None,
        since: float | None = None,
    ) -> None:
        """Record a failure, unless it is local or the request causes it.

        ``since`` is when a silence began, on the monotonic clock (s).
        """
        if kind is None:
            return
        incarnation = incarnation_of(engine)
        self._trials.pop(incarnation, None)
        if digest and self._requests.record_failure(digest, incarnation):
            self._log.event(
                'failure-of-request', engine=engine.engine, digest=digest
            )
            return
        self._evidence.record_failure(
            incarnation, kind, clock.uptime(), time.time(), since
        )
        self.monitor.invalidate()
        self._metrics.load.engine_evidence[kind.value] += 1

    def record_unreachable(
        self, engine: Engine, kind: FailureKind | None, since: float
    ) -> None:
        """Record that a request did not reach the engine, unless it is local.

        ``since`` is when it was tried, on the monotonic clock (s).
        """
        if kind is None:
            return
        incarnation = incarnation_of(engine)
        self._trials.pop(incarnation, None)
        self._evidence.record_unreachable(
            incarnation, kind, clock.uptime(), time.time(), since
        )
        self.monitor.invalidate()
        self._metrics.load.engine_evidence[kind.value] += 1

    def record_success(
        self,
        engine: Engine,
        sent_at: float,
        digest_of: Callable[[], RequestDigest],
    ) -> None:
        """Record the start of a good response to a request.

        ``sent_at`` is a time of the monotonic clock (s).
        """
        self._requests.record_success(digest_of)
        incarnation = incarnation_of(engine)
        self._trials.pop(incarnation, None)
        if incarnation in self._evidence.observations:
            cleared = self.assess(engine).cleared
            self._evidence.record_success(
                incarnation,
                sent_at,
                clock.uptime(),
                time.time(),
                cleared=cleared,
            )

    def start_trial(self, views: Iterable[EngineView]) -> EngineView | None:
        """Start a trial that is due and return its engine, or None."""
        for view in views:
            if view.paused and self._may_start_trial(view):
                incarnation = incarnation_of(view.engine)
                self._trials[incarnation] = clock.uptime()
                self._metrics.load.engine_trials += 1
                self._log.event(
                    'engine-trial', engine=view.name, born=incarnation.born
                )
                return view
        return None

    def receive(self, messages: Sequence[EngineEvidence]) -> None:
        """Store the observations in a peer's report; log unusable ones."""
        if not messages:
            return
        now = clock.uptime()
        listed = {incarnation_of(engine) for engine in self._list_engines()}
        for message in messages:
            incarnation = codec.incarnation_in(message)
            decoded = codec.decode(message, now)
            if isinstance(decoded, Err):
                self._log_unusable(message, decoded.err_value)
            elif incarnation in listed:
                self._evidence.merge(incarnation, decoded.ok_value)
            else:
                self._log_unusable(
                    message, 'service discovery lists no such engine'
                )

    def updates_after(self, revision: int) -> tuple[int, list[EngineEvidence]]:
        """Return the last revision in the next report, and its updates."""
        updates: list[EngineEvidence] = []
        now = clock.uptime()
        for number, incarnation, observation in self._evidence.changes_after(
            revision
        ):
            if len(updates) == _MAX_UPDATES_PER_REPORT:
                break
            revision = number
            updates.append(codec.encode(incarnation, observation, now))
        return revision, updates

    def forget(self, engine: Engine) -> None:
        """Drop the evidence on an engine incarnation that has ended."""
        self._evidence.forget(incarnation_of(engine))
        self._trials.pop(incarnation_of(engine), None)

    def summary(self) -> dict[str, object]:
        """Return the engines' health with its evidence, for the state dump."""
        now = clock.uptime()
        assessments = self.monitor.assess_all(now)
        return {
            incarnation.engine: {
                'born': incarnation.born,
                'standing': assessment.state.value,
                'score': round(assessment.score, 2),
                'good': assessment.good,
                'good_needed': assessment.good_needed,
                'tries': self._assigned_node(incarnation, assessment, now),
                'evidence': [
                    codec.encode(incarnation, observation, now)
                    for observation in self._evidence.observations[
                        incarnation
                    ].values()
                ],
            }
            for incarnation, assessment in assessments.items()
            if incarnation in self._evidence.observations
        }

    def _may_start_trial(self, view: EngineView) -> bool:
        """Return whether a trial is due, and it is this process's turn."""
        now = clock.uptime()
        assessment = self.assess(view.engine)
        if assessment.state is not HealthState.ON_TRIAL:
            return False
        if self.is_unreachable(view.engine):
            return False
        incarnation = incarnation_of(view.engine)
        if (
            now - self._trials.get(incarnation, -_TRIAL_TIMEOUT_SECONDS)
            < _TRIAL_TIMEOUT_SECONDS
        ):
            return False
        return (
            self._assigned_node(incarnation, assessment, now)
            == self._local_node.node
        )

    def _assigned_node(
        self,
        incarnation: EngineIncarnation,
        assessment: HealthAssessment,
        now: float,
    ) -> str | None:
        if not assessment.out_of_rotation:
            return None
        return self._schedule.assigned_node(
            incarnation, now - assessment.next_trial_at, now
        )

    def _only_this_node(self) -> Sequence[TrialNode]:
        return (TrialNode(self._local_node.node),)

    def _log_unusable(self, message: EngineEvidence, reason: str) -> None:
        self._log.event(
            'evidence-unusable',
            engine=message.engine,
            witness=message.witness,
            reason=reason,
        )
