"""Histograms and the metrics page."""

import unittest

from bendlead_gateway._metrics import Histogram, Metrics
from parameterized import parameterized


class HistogramTest(unittest.TestCase):
    """Cumulative counts include durations equal to the bound."""

    @parameterized.expand(
        [
            ('none', [], [0, 0, 0]),
            ('on_the_bound', [1], [1, 1, 1]),
            ('above_all', [9], [0, 0, 1]),
            ('several', [0.5, 1.5, 9], [1, 2, 3]),
        ],
    )
    def test_counts(self, _name, seconds, expected):
        histogram = Histogram((1, 2))
        for duration in seconds:
            histogram.observe(duration)
        counts = [count for _bound, count in histogram.cumulative()]
        self.assertEqual(expected, counts)
        self.assertEqual(sum(seconds), histogram.total)


class PageTest(unittest.TestCase):
    """The page has labelled and plain counters and histograms."""

    @parameterized.expand(
        [
            ('label', 'bendlead_gateway_requests_total{outcome="refused"} 2.0'),
            ('plain', 'bendlead_gateway_store_calls_total 7.0'),
            ('bucket', 'first_event_seconds_bucket{le="0.05"} 1.0'),
            ('sum', 'first_event_seconds_sum 0.04'),
        ],
    )
    def test_line(self, _name, expected):
        metrics = Metrics()
        metrics.requests['refused'] += 2
        metrics.store_calls = 7
        metrics.first_event.observe(0.04)
        self.assertIn(expected, metrics.page().decode())
