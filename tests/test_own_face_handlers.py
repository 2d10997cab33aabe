"""Calls of bendlead-node whose handlers raise.

Guards against a plain 500 that no client reads and no line tells of.
"""

import json
import unittest

from bendlead_node._common.web import OUTCOME_HEADER, Route, WebApp


def fail(_call):
    """Raise what no handler foresees."""
    raise ZeroDivisionError('by\nzero')


class FailedHandlerTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        self.started = []

    def report(self, kind, **fields):
        self.events.append((kind, fields))

    def test_answer_has_the_shape_of_an_error(self):
        app = WebApp([Route('GET', '/x', fail)], self.report)
        environ = {'REQUEST_METHOD': 'GET', 'PATH_INFO': '/x'}
        (body,) = app(environ, lambda *head: self.started.append(head))
        ((status, headers),) = self.started
        self.assertEqual('500 Internal Server Error', status)
        self.assertIn((OUTCOME_HEADER, 'unknown'), headers)
        error = json.loads(body)['error']
        self.assertEqual('internal_error', error['code'])
        ((kind, fields),) = self.events
        self.assertEqual('handler-failed', kind)
        self.assertEqual('/x', fields['path'])
        self.assertIn(fields['id'], error['message'])
        self.assertNotIn('zero', error['message'])
        self.assertEqual(0, app.active)


if __name__ == '__main__':
    unittest.main()
