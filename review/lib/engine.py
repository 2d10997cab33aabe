"""A stand-in for one engine, after PROTOCOL.md; a process of its own.

It works on a number of requests at once, queues some more, and makes one event
every so often. `X-Token-Usage` tells how many events a request has. Its text is
a function of the id and the event's number alone. SIGTERM is a planned end: it
says `draining`, serves on for `drain_s` after the store has taken that, and
ends. SIGKILL is a crash. After SIGUSR1 one answer, the next that it begins,
lacks a length and ends with its connection.
"""

import argparse
import http.client
import json
import os
import signal
import socket
import socketserver
import threading
import time

QUEUE = 24


class Engine:
    """State of one incarnation."""

    def __init__(self, asked):
        self.asked = asked
        self.name = asked.name
        self.host, port = asked.listen.split(':')
        self.port = int(port)
        self.slots = threading.Semaphore(asked.slots)
        self.lock = threading.Lock()
        self.waiting = 0
        self.sequence = 0
        self.leaving = False
        self.ended = False
        #: How many of the next answers lack a length.
        self.unframed = 0
        flags = os.O_APPEND | os.O_CREAT | os.O_WRONLY
        self.journal = os.open(asked.journal, flags)

    def note(self, what, **fields):
        """Append one line to the journal."""
        line = {'at': round(time.monotonic(), 3), 'engine': self.name}
        line |= {'what': what, **fields}
        os.write(self.journal, (json.dumps(line) + '\n').encode())

    def call(self, method, path, shown=None):
        """Call the store; return the status, 0 without an answer."""
        host, port = self.asked.store.split(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=2)
        try:
            body = None if shown is None else json.dumps(shown)
            connection.request(method, path, body)
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except OSError:
            return 0
        finally:
            connection.close()

    def beat(self):
        """Write the entry; return whether the store has taken it."""
        with self.lock:
            if self.ended:
                return True
            self.sequence += 1
            told = {
                'service': self.asked.service,
                'address': self.asked.listen,
                'zone': self.asked.zone,
                'version': 'v1',
                'slots': self.asked.slots,
                'state': 'draining' if self.leaving else 'ready',
                'warmup_left_ms': 0,
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'sequence': self.sequence,
            }
            shown = {'metadata': {'name': self.name}, 'specification': told}
            status = self.call('PUT', f'/-/objects/servers/{self.name}', shown)
            if status == 404:
                status = self.call('POST', '/-/objects/servers', shown)
            return status == 200

    def lack_length(self):
        """Leave the length out of the next answer."""
        self.unframed += 1

    def keep_beating(self):
        """Write every heartbeat."""
        while True:
            self.beat()
            time.sleep(1.2)

    def leave(self):
        """End as planned."""
        self.leaving = True
        while not self.beat():
            time.sleep(0.1)
        self.note('draining')
        time.sleep(self.asked.drain_s)
        with self.lock:
            self.ended = True
        self.call('DELETE', f'/-/objects/servers/{self.name}')
        self.note('ended')
        os._exit(0)


def text_of(request, number):
    """Return the data of one event."""
    return f'{request}.{number}'


class Connection(socketserver.StreamRequestHandler):
    """One connection, one request at a time."""

    engine = None
    disable_nagle_algorithm = True

    def handle(self):
        """Serve until the caller leaves."""
        self.alive = True
        while self.alive:
            try:
                line = self.rfile.readline()
                if not line.strip():
                    return
                self.serve(line.decode('latin-1').split())
            except OSError:
                return

    def serve(self, start):
        """Read one request and answer it."""
        headers = {}
        while True:
            line = self.rfile.readline().decode('latin-1')
            if line in ('\r\n', '\n', ''):
                break
            name, _colon, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
        body = self.rfile.read(int(headers.get('content-length') or 0))
        engine = self.engine
        if start[1] == '/health':
            status = '503 X' if engine.leaving else '200 OK'
            self.plain(status, [('X-Instance-Id', engine.name)])
            return
        if start[1] == '/-/report':
            self.plain('200 OK', [], b'{"stage":"both","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"cache_used":0,"cache_total":72000,"handles":0}')
            return
        name = headers.get('x-attempt-id', '')
        own = [('X-Attempt-Id', name)]
        if headers.get('x-expect-instance', engine.name) != engine.name:
            self.plain(
                '421 Misdirected Request',
                [*own, ('X-Instance-Id', engine.name)],
            )
            return
        facts = {
            'id': name,
            'path': start[1],
            'bytes': len(body),
            'after': headers.get('last-event-id'),
        }
        engine.note('arrived', **facts)
        with engine.lock:
            full = engine.waiting >= QUEUE
            engine.waiting += not full
        if full:
            engine.note('not run', id=name)
            self.plain(
                '503 Service Unavailable', [*own, ('X-Not-Executed', '1')]
            )
            return
        try:
            deadline = float(headers.get('x-deadline-ms') or 600_000) / 1000
            if not engine.slots.acquire(timeout=deadline):
                engine.note('not run', id=name)
                self.plain(
                    '503 Service Unavailable', [*own, ('X-Not-Executed', '1')]
                )
                return
        finally:
            with engine.lock:
                engine.waiting -= 1
        engine.note('runs', **facts)
        ending = 'dropped'
        try:
            ending = self.run(name, headers, time.monotonic() + deadline)
        finally:
            engine.slots.release()
            engine.note('stops', id=name, ending=ending)

    def run(self, name, headers, until):
        """Run a request: its events, one after the other."""
        asked = self.engine.asked
        total = int(headers['x-token-usage'].split(',')[1])
        first = int(headers.get('last-event-id') or 0) + 1
        head = [
            ('X-Attempt-Id', name),
            ('X-Response-Seal', f'seal.{name}'),
            ('Content-Type', 'text/event-stream'),
        ]
        with self.engine.lock:
            framed = not self.engine.unframed
            self.engine.unframed -= not framed
        if framed:
            head.append(('Transfer-Encoding', 'chunked'))
        else:
            self.alive = False
            head.append(('Connection', 'close'))
            self.engine.note('answers without a length', id=name)
        time.sleep(0.03)
        self.start('200 OK', head)
        for number in range(first, total + 1):
            if time.monotonic() > until:
                self.alive = False
                return 'deadline'
            time.sleep(asked.event_ms / 1000)
            text = f'id: {number}\ndata: {text_of(name, number)}\n\n'.encode()
            if framed:
                text = b'%x\r\n%b\r\n' % (len(text), text)
            if self.left():
                self.alive = False
                return 'dropped'
            self.wfile.write(text)
        if framed:
            self.wfile.write(b'0\r\n\r\n')
        return 'whole'

    def left(self):
        """Tell whether the caller has closed its connection."""
        try:
            return not self.connection.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return False

    def start(self, status, headers):
        """Send a head."""
        lines = [f'HTTP/1.1 {status}']
        lines.extend(f'{name}: {text}' for name, text in headers)
        self.wfile.write('\r\n'.join([*lines, '', '']).encode())

    def plain(self, status, headers, body=b''):
        """Send an answer that is no stream."""
        self.start(status, [*headers, ('Content-Length', str(len(body)))])
        self.wfile.write(body)


class Server(socketserver.ThreadingTCPServer):
    """The listener."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_parts):
        """Ignore callers that leave."""


def main():
    """Serve until ended."""
    parser = argparse.ArgumentParser()
    for name in ('name', 'listen', 'store', 'service', 'zone', 'journal'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--event-ms', type=float, default=20)
    parser.add_argument('--drain-s', type=float, default=2.5)
    engine = Engine(parser.parse_args())
    handler = type('EngineConnection', (Connection,), {'engine': engine})
    server = Server((engine.host, engine.port), handler)
    engine.note('started')
    threading.Thread(target=engine.keep_beating, daemon=True).start()
    signal.signal(
        signal.SIGTERM,
        lambda *_parts: threading.Thread(target=engine.leave).start(),
    )
    signal.signal(signal.SIGUSR1, lambda *_parts: engine.lack_length())
    server.serve_forever()


if __name__ == '__main__':
    main()
