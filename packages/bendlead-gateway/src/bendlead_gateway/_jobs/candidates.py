"""Which items could start now, and which of them first."""

import time
from collections.abc import Callable, Iterator

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._jobs.board import Board
from bendlead_gateway._jobs.held import HeldJob, Progress
from bendlead_gateway._jobs.keeper import ShardKeeper
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._scheduling.fair_order import FairOrder, ItemCost
from bendlead_gateway._scheduling.refused import Wait, judge_wait
from bendlead_gateway._scheduling.urgency import ItemPace, Urgency
from bendlead_gateway._suspects.evidence import ITEM_SECONDS
from bendlead_gateway.types import Route

#: Added to the time after which an item may be given up, for clocks (s).
_RETENTION_SLACK = 4.0
#: Pause between two looks at an item under which engines ended (s).
_QUARANTINED_PAUSE = 0.5

#: Gives up an item of a job for good.
GiveUp = Callable[[Board, HeldJob, Progress], None]

_Waiting = tuple[Board, HeldJob, Progress]


class Candidate(Struct, frozen=True):
    """Hold an item that could start, with its rank."""

    urgency: Urgency
    board: Board
    job: HeldJob
    progress: Progress
    route: Route

    @property
    def turn(self) -> ItemCost:
        """Say whose turn it takes."""
        return ItemCost(
            self.urgency,
            self.job.team,
            self.job.job,
            self.progress.item.tokens,
        )

    @property
    def age(self) -> float:
        """Give the share of the job's time that has passed."""
        if not self.route.run_target:
            return 0
        return seconds_since(self.job) / self.route.run_target


class Candidates:
    """Rank the items that wait, and give up those that can't be run."""

    def __init__(
        self,
        keeper: ShardKeeper,
        fleet: Fleet,
        pace: ItemPace,
        metrics: Metrics,
        give_up: GiveUp,
    ) -> None:
        self._keeper = keeper
        self._fleet = fleet
        self._pace = pace
        self._metrics = metrics
        self._give_up = give_up
        self._turns = FairOrder()

    def ranked(self) -> list[Candidate]:
        """List the items that could start, the most urgent first."""
        found: list[Candidate] = []
        for board, job, progress in self._waiting():
            route = self._fleet.configuration.match(
                job.host, progress.item.path
            )
            if route is None:
                self._give_up_unrouted(board, job, progress)
            elif _expired(job, route):
                self._give_up(board, job, progress)
            elif self._quarantined(job, progress):
                self._let_wait(board, job, progress, route)
            else:
                urgency = self.urgency(job, progress, route)
                found.append(Candidate(urgency, board, job, progress, route))
        if not self._fleet.configuration.asks_for_keys:
            found.sort(key=_urgency_of)
            return found
        turns = [one.turn for one in found]
        order = self._turns.order(turns, clock.uptime())
        return [found[number] for number in order]

    def begin(self, candidate: Candidate) -> None:
        """Note that an item starts, for the turns of its team."""
        self._turns.begin(candidate.turn, clock.uptime())

    def left(self, progress: Progress) -> float:
        """Give the seconds for which an item will still run."""
        return self._pace.left(progress.spent)

    def wait(self, job: HeldJob, progress: Progress, route: Route) -> Wait:
        """Tell what it would cost an item to wait."""
        return judge_wait(
            self._pace.spare(
                seconds_since(job),
                progress.spent,
                route.run_target,
            )
        )

    def urgency(
        self, job: HeldJob, progress: Progress, route: Route
    ) -> Urgency:
        """Rank one item."""
        accepted_at = job.state.accepted.accepted_at
        return self._pace.urgency(
            accepted_at,
            seconds_since(job),
            progress.spent,
            route.run_target,
        )

    def _waiting(self) -> Iterator[_Waiting]:
        """List the items that wait for a place."""
        now = clock.uptime()
        for board in list(self._keeper.boards.values()):
            for job in list(board.jobs.values()):
                for progress in list(job.waiting(now)):
                    yield board, job, progress

    def _give_up_unrouted(
        self, board: Board, job: HeldJob, progress: Progress
    ) -> None:
        """Give an item up once its route is surely gone."""
        if self._fleet.config_watch.current and self._fleet.configuration.known:
            self._give_up(board, job, progress)

    def _quarantined(self, job: HeldJob, progress: Progress) -> bool:
        left = self._fleet.suspects.quarantine_left(
            lambda: job.digest(progress), ITEM_SECONDS
        )
        return left > 0

    def _let_wait(
        self, board: Board, job: HeldJob, progress: Progress, route: Route
    ) -> None:
        """Keep an item from engines until it runs again or is given up."""
        self._metrics.quarantined += 1
        if route.retention:
            progress.not_before = clock.uptime() + _QUARANTINED_PAUSE
        else:
            self._give_up(board, job, progress)


def seconds_since(job: HeldJob) -> float:
    """Give the seconds since a job was accepted."""
    return time.time() - job.state.accepted.accepted_at


def _urgency_of(one: Candidate) -> Urgency:
    return one.urgency


def _expired(job: HeldJob, route: Route) -> bool:
    if not route.retention:
        return False
    return seconds_since(job) > route.retention + _RETENTION_SLACK
