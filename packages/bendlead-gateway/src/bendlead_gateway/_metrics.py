"""Counters and histograms of one process."""

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.exposition import generate_latest

#: Upper bounds in seconds; 0.3 and 0.4 are the aims of today's routes.
_BUCKETS = (0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 5)


class Metrics:
    """Count what one process does."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'bendlead_gateway_requests',
            'Client requests by outcome.',
            ('outcome',),
            registry=self.registry,
        )
        self.first_event = Histogram(
            'bendlead_gateway_first_event_seconds',
            'Time from a request to the first part of its answer.',
            buckets=_BUCKETS,
            registry=self.registry,
        )
        self.engine_failures = Counter(
            'bendlead_gateway_engine_failures',
            'Failed attempts at engines by step.',
            ('step',),
            registry=self.registry,
        )
        self.items = Counter(
            'bendlead_gateway_items',
            'Items of batch jobs by what ended a run of theirs.',
            ('ending',),
            registry=self.registry,
        )
        self.store_calls = Counter(
            'bendlead_gateway_store_calls',
            'Calls to the object service by method and outcome.',
            ('method', 'outcome'),
            registry=self.registry,
        )

    def page(self) -> bytes:
        """Show all metrics as text."""
        return generate_latest(self.registry)
