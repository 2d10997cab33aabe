"""Answers that have no body leave the client's connection in order."""

from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import event, route

_SEAL = 'X-Response-Seal: s1\r\n'
_EVENT = event(1, 'a')
_NEXT = f'HTTP/1.1 200 OK\r\nContent-Length: {len(_EVENT)}\r\n\r\n'.encode()


class BodilessAnswerTest(EntryCase):
    """204 and 304, and answers to HEAD."""

    @parameterized.expand(
        [
            ('no_content', 'POST', 204, ''),
            ('not_modified', 'POST', 304, ''),
            ('not_modified_length', 'POST', 304, 'Content-Length: 9\r\n'),
            ('head', 'HEAD', 200, ''),
            ('head_length', 'HEAD', 200, 'Content-Length: 9\r\n'),
            ('head_chunks', 'HEAD', 200, 'Transfer-Encoding: chunked\r\n'),
            ('head_error', 'HEAD', 500, 'Content-Length: 9\r\n'),
            ('head_stream', 'HEAD', 200, ''),
        ],
    )
    def test_next_answer_is_read(self, name, method, status, header):
        answer = f'HTTP/1.1 {status} x\r\n{_SEAL}{header}\r\n'.encode()
        kind = 'streaming' if name == 'head_stream' else 'unsafe'

        def script(sock, request):
            sock.sendall(answer)
            while self.engines[0].read_request(sock):
                sock.sendall(_NEXT + _EVENT)

        self.start(route(kind), answers=[script])
        connection = self.send_request()
        head, _none = self.exchange(connection, method)
        self.assertEqual(status, head.status)
        length = '9' if 'Length' in header else None
        self.assertEqual(length, head.find('content-length'))
        self.assertIsNone(head.find('transfer-encoding'))
        head, got = self.exchange(connection, 'POST')
        self.assertEqual((200, _EVENT), (head.status, got))
        self.assertEqual(0, self.entry.metrics.engine_failures['body'])

    def send_request(self):
        """Open a connection without a request."""
        connection = super().send_request(path='/none/')
        self.read(connection)
        return connection

    def exchange(self, connection, method):
        """Send one request; return its head and its body."""
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', method),
            ('X-Deadline-Ms', '1000'),
        ]
        connection.send(method, '/x/1', headers, b'', 1)
        head = connection.read_head(2)
        if method == 'HEAD' or head.status in {204, 304}:
            # A body would be read as the next head.
            return head, b''
        return head, b''.join(connection.read_parts(head, 2))
