"""Invalid numbers in engine entries, requests and reports."""

from bendlead_gateway.types import EngineId, NodeName
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import (
    configuration,
    engine,
    eventually,
    route,
)

PLAIN = b'HTTP/1.1 200 x\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'


class BadInputTest(EntryCase):
    """Each request is answered, and refusals have a retry time."""

    @parameterized.expand(
        [
            ('beside_another', [PLAIN, PLAIN], 0, 200),
            ('alone', [], 0, 503),
            ('negative', [], -1, 503),
        ]
    )
    def test_engine_without_slots(self, _name, answers, slots, status):
        """An engine that registers no slots does not stop requests."""
        self.start(route('safe'), answers=answers)
        entry = engine('127.0.0.1:1', slots=slots)
        self.store.set('servers', 'i-9', entry)
        listed = len(answers) + 1
        eventually(lambda: len(self.entry.fleet.engines.all()) == listed)
        for _request in range(2):
            head, _body = self.read(self.send_request())
            self.assertEqual(status, head.status)
            if status == 503:
                self.assertTrue(head.find('retry-after'))

    @parameterized.expand(
        [
            ('negative', '-5', 503),
            ('none_left', '0', 503),
            ('not_a_number', 'nan', 200),
            ('infinite', 'inf', 200),
            ('text', 'soon', 200),
            ('huge', '9' * 40, 200),
        ]
    )
    def test_client_timeout(self, _name, patience, status):
        """An invalid timeout is replaced by that of the route."""
        self.start(route('safe'), answers=[PLAIN, PLAIN])
        head, _body = self.read(self.send_request(timeout_ms=patience))
        self.assertEqual(status, head.status)
        if status == 503:
            self.assertTrue(head.find('retry-after'))
            self.assertEqual(0, self.count_engine_requests())

    @parameterized.expand(
        [
            ('body_allowed', 1000, 9000, 5000, 200),
            ('body_forbidden', 9000, 1000, 5000, 413),
        ]
    )
    def test_kept_connection_learns_new_limits(
        self, _name, before, after, size, status
    ):
        """Guards against limits that hold for the life of a connection."""
        config = configuration(1, route('safe'))
        config['limits'] = {'body_bytes': before}
        self._start_engine(0, PLAIN)
        self.start_configured(config, 1)
        connection = self.send_request()
        self.read(connection)
        config = configuration(2, route('safe'))
        config['limits'] = {'body_bytes': after}
        self.store.set('config', 'main', config)
        eventually(lambda: self.entry.fleet.configuration.version == 2)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'id2')]
        connection.send('POST', '/x/1', headers, b'a' * size, 1)
        self.assertEqual(status, connection.read_head(2).status)

    def test_reported_load_of_an_unknown_engine(self):
        """Loads that a peer reports for it leave other engines unchanged."""
        self.start(route('safe'), answers=[PLAIN, PLAIN])
        loads = self.entry.fleet.loads
        counts = {EngineId('i-gone'): 500}
        loads.report(NodeName('peer'), counts, counts)
        head, _body = self.read(self.send_request())
        self.assertEqual(200, head.status)
        views = self.entry.fleet.balancer.views('s1')
        self.assertEqual({'i-0', 'i-1'}, {view.name for view in views})
        self.assertEqual([0, 0], [view.batch for view in views])
