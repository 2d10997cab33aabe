"""Counters and histograms of one process.

The Prometheus client library is imported on the first scrape only, to save
memory.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

#: Upper bounds in seconds.
_BUCKETS = (0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 5)

#: Teams with a series of their own, to limit the number of stored series.
_MAX_TEAM_SERIES = 50
#: Label of the sum over all other teams.
_OTHER_TEAMS = 'others'


class Histogram:
    """Counts durations in buckets, as Prometheus histograms do."""

    def __init__(self, bounds: Sequence[float] = _BUCKETS) -> None:
        self._bounds = bounds
        self._counts = [0 for _bound in (*bounds, None)]
        self._total = 0.0

    @property
    def total(self) -> float:
        """The sum of all durations in seconds."""
        return self._total

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self._counts[bisect_left(self._bounds, seconds)] += 1
        self._total += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Return each upper bound with the number of durations up to it."""
        sums: list[tuple[str, int]] = []
        count = 0
        bounds = [*map(str, self._bounds), '+Inf']
        for bound, in_bucket in zip(bounds, self._counts, strict=True):
            count += in_bucket
            sums.append((bound, count))
        return sums


class LoadMetrics:
    """Metrics of scheduling, engine health and gossip."""

    def __init__(self) -> None:
        #: Requests rejected because no slot was free, by team.
        self.no_place: Counter[str] = Counter()
        #: Retried requests that waited for a slot, by outcome.
        self.held: Counter[str] = Counter()
        #: Failures recorded against engines, by kind.
        self.engine_evidence: Counter[str] = Counter()
        #: Requests and items sent as trials to an ejected engine.
        self.engine_trials = 0
        #: Estimates of engine speeds, by source.
        self.pace_findings: Counter[str] = Counter()
        #: Bytes of reports sent to peers, by kind of link.
        self.told_bytes: Counter[str] = Counter()
        #: Item runs that this process stopped, by cause.
        self.item_stops: Counter[str] = Counter()
        #: Times that items were held back because requests had been refused.
        self.items_held_back = 0
        #: Times that an item paused because engines had crashed under it.
        self.paused_items = 0
        #: Items without a result that this process holds, by state.
        self.items_by_state: Counter[str] = Counter()
        #: Those of them without progress for too long, by reason.
        self.items_overdue: Counter[str] = Counter()


class StreamMetrics:
    """Metrics of streams that clients resume."""

    def __init__(self) -> None:
        #: Requests that resume a stream, by outcome.
        self.resumes: Counter[str] = Counter()
        #: Origins of streams dropped before they expired.
        self.origins_dropped = 0


class ProcessMetrics:
    """Metrics of the process itself."""

    def __init__(self) -> None:
        #: Log lines dropped by the rate limit or a slow reader.
        self.dropped_lines = 0
        #: Unforeseen exceptions, by task.
        self.task_failures: Counter[str] = Counter()


class Metrics:
    """Metrics of one process, in the form of a Prometheus collector."""

    def __init__(self) -> None:
        #: Client requests, by outcome.
        self.requests: Counter[str] = Counter()
        #: Requests rejected by the rate limit of their team, by team.
        self.over_limit: Counter[str] = Counter()
        #: Failed attempts at engines, by step.
        self.engine_failures: Counter[str] = Counter()
        #: Runs of batch items, by outcome.
        self.items: Counter[str] = Counter()
        #: Engine crashes during requests of this process.
        self.engine_ends = 0
        #: Requests not sent to any engine because they are in quarantine.
        self.quarantined = 0
        #: Calls to the object service.
        self.store_calls = 0
        self.load = LoadMetrics()
        self.streams = StreamMetrics()
        self.process = ProcessMetrics()
        #: Time from a request to the first part of its response.
        self.first_event = Histogram()
        #: Time from a request to the end of its response.
        self.whole_answer = Histogram()

    def page(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry  # noqa: PLC0415
        from prometheus_client.exposition import (  # noqa: PLC0415
            generate_latest,
        )

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; called by the client library."""
        from prometheus_client.core import (  # noqa: PLC0415
            CounterMetricFamily,
            HistogramMetricFamily,
        )

        labelled = (
            ('requests', 'outcome', self.requests),
            ('over_limit', 'team', _top_teams(self.over_limit)),
            ('no_place', 'team', _top_teams(self.load.no_place)),
            ('held', 'ending', self.load.held),
            ('engine_failures', 'step', self.engine_failures),
            ('engine_evidence', 'kind', self.load.engine_evidence),
            ('items', 'ending', self.items),
            ('resumes', 'outcome', self.streams.resumes),
            ('told_bytes', 'link', self.load.told_bytes),
            ('pace_findings', 'source', self.load.pace_findings),
            ('item_stops', 'cause', self.load.item_stops),
            ('task_failures', 'task', self.process.task_failures),
        )
        for name, label, counts in labelled:
            family = CounterMetricFamily(
                f'bendlead_gateway_{name}',
                f'{name.replace("_", " ").capitalize()} by {label}.',
                labels=(label,),
            )
            for label_value, count in counts.items():
                family.add_metric((label_value,), count)
            yield family
        unlabelled = (
            ('dropped_lines', self.process.dropped_lines),
            ('engine_ends', self.engine_ends),
            ('engine_trials', self.load.engine_trials),
            ('items_held_back', self.load.items_held_back),
            ('origins_dropped', self.streams.origins_dropped),
            ('paused_items', self.load.paused_items),
            ('quarantined', self.quarantined),
            ('store_calls', self.store_calls),
        )
        for name, count in unlabelled:
            yield CounterMetricFamily(
                f'bendlead_gateway_{name}',
                f'{name.replace("_", " ").capitalize()} so far.',
                count,
            )
        yield from self._gauges()
        histograms = (
            ('first_event', self.first_event),
            ('whole_answer', self.whole_answer),
        )
        for name, histogram in histograms:
            yield HistogramMetricFamily(
                f'bendlead_gateway_{name}_seconds',
                f'{name.replace("_", " ").capitalize()}, in seconds.',
                histogram.cumulative(),
                histogram.total,
            )

    def _gauges(self) -> Iterator[Any]:
        """Yield the families of what is counted now."""
        from prometheus_client.core import GaugeMetricFamily  # noqa: PLC0415

        gauges = (
            ('items_by_state', 'state', self.load.items_by_state),
            ('items_overdue', 'reason', self.load.items_overdue),
        )
        for name, label, counts in gauges:
            gauge = GaugeMetricFamily(
                f'bendlead_gateway_{name}',
                f'{name.replace("_", " ").capitalize()}, now.',
                labels=(label,),
            )
            for label_value, count in counts.items():
                gauge.add_metric((label_value,), count)
            yield gauge


def _top_teams(by_team: Counter[str]) -> Counter[str]:
    """Return the highest counts, and the sum of the others."""
    top = Counter(dict(by_team.most_common(_MAX_TEAM_SERIES)))
    others = by_team.total() - top.total()
    if others:
        top[_OTHER_TEAMS] += others
    return top
