"""A stand-in for the platform's metadata store, after PROTOCOL.md.

Objects by kind and name, one counter of revisions, conditional writes, lists
and held watches. It never fails unless a case tells it to.
"""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

PAGE = 500


class Store:
    """Objects, their history, and the calls of the operator."""

    def __init__(self):
        self.lock = threading.Condition()
        self.objects = {}
        self.history = []
        self.revision = 10

    def write(self, kind, name, part, value):
        """Write one part of an object; must hold the lock."""
        before = self.objects.get((kind, name))
        if before is not None and before[part] == value:
            return before
        self.revision += 1
        made = dict(before or {'specification': None, 'status': None})
        made[part] = value
        created = before['metadata']['created'] if before else self.revision
        made['metadata'] = {
            'name': name,
            'revision': self.revision,
            'created': created,
            'finalizers': [],
            'deleting': False,
        }
        self.objects[kind, name] = made
        self.history.append((self.revision, kind, made, False))
        self.lock.notify_all()
        return made

    def remove(self, kind, name):
        """Remove an object; must hold the lock."""
        gone = self.objects.pop((kind, name), None)
        if gone is not None:
            self.revision += 1
            shown = dict(gone)
            shown['metadata'] = {**gone['metadata'], 'revision': self.revision}
            self.history.append((self.revision, kind, shown, True))
            self.lock.notify_all()
        return gone

    def put(self, kind, name, value):
        """Write as the operator does."""
        with self.lock:
            return self.write(kind, name, 'specification', value)

    def get(self, kind, name):
        """Return an object, if it exists."""
        with self.lock:
            return self.objects.get((kind, name))

    def names(self, kind):
        """List the names of a kind."""
        with self.lock:
            return [name for found, name in self.objects if found == kind]

    def drop_lapsed(self, seconds):
        """Remove servers without a write for three heartbeats; runs forever."""
        seen = {}
        while True:
            time.sleep(0.2)
            now = time.monotonic()
            with self.lock:
                for kind, name in list(self.objects):
                    if kind != 'servers':
                        continue
                    found = self.objects[kind, name]
                    told = found['specification'].get('sequence')
                    if seen.get(name, (None, 0))[0] != told:
                        seen[name] = (told, now)
                    elif now - seen[name][1] > seconds:
                        self.remove(kind, name)


class Handler(BaseHTTPRequestHandler):
    """Answer one call."""

    protocol_version = 'HTTP/1.1'
    store = None
    #: Called with (client address, method, path); may return a status to
    #: answer at once, or 'silent' to say nothing.
    trouble = staticmethod(lambda *_asked: None)

    def log_message(self, *_parts):
        """Write no log."""

    def _answer(self, status, shown=None):
        body = b'' if shown is None else json.dumps(shown).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _body(self):
        length = int(self.headers.get('Content-Length') or 0)
        return json.loads(self.rfile.read(length)) if length else None

    def _handle(self):
        sent = self._body()
        parts = urlsplit(self.path)
        names = [unquote(n) for n in parts.path.split('/')[3:]]
        query = {n: v[0] for n, v in parse_qs(parts.query).items()}
        trouble = self.trouble(self.client_address, self.command, self.path)
        if trouble:
            self._answer(trouble)
            return
        if self.command == 'GET' and len(names) == 1:
            if 'watch' in query:
                self._watch(names[0], query)
            else:
                self._list(names[0], query.get('watch_after', ''))
            return
        with self.store.lock:
            status, shown = self._change(names, query, sent)
        self._answer(status, shown)

    do_GET = do_PUT = do_POST = do_DELETE = _handle

    def _change(self, names, query, sent):
        kind = names[0]
        if self.command == 'POST':
            name = sent['metadata']['name']
            found = self.store.objects.get((kind, name))
            if found is not None:
                return 409, found
            made = self.store.write(
                kind, name, 'specification', sent['specification']
            )
            return 200, made
        found = self.store.objects.get((kind, names[1]))
        if found is None:
            return 404, None
        if self.command == 'GET':
            return 200, found
        if self.command == 'DELETE':
            expected = int(query.get('revision', 0))
            if expected not in (0, found['metadata']['revision']):
                return 409, found
            return 200, self.store.remove(kind, names[1])
        expected = (sent.get('metadata') or {}).get('revision', 0)
        if expected not in (0, found['metadata']['revision']):
            return 409, found
        part = 'status' if names[2:] == ['status'] else 'specification'
        return 200, self.store.write(kind, names[1], part, sent[part])

    def _list(self, kind, after):
        with self.store.lock:
            found = sorted(
                (
                    (name, made)
                    for (of, name), made in self.store.objects.items()
                    if of == kind and name > after
                ),
                key=lambda pair: pair[0],
            )
            as_of = self.store.revision
        items = [made for _name, made in found[:PAGE]]
        more = len(found) > PAGE
        self._answer(200, {'items': items, 'has_more': more, 'as_of': as_of})

    def _watch(self, kind, query):
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        with self.store.lock:
            while True:
                events = [
                    {'removed': removed, 'object': made}
                    for revision, of, made, removed in self.store.history
                    if of == kind and revision > since
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                self.store.lock.wait(left)
            as_of = self.store.revision
        self._answer(200, {'events': events, 'as_of': as_of})


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_parts):
        """Ignore callers that leave."""


def serve(store, port, trouble=None):
    """Serve a store on a loopback port, in threads."""
    fields = {'store': store}
    if trouble:
        fields['trouble'] = staticmethod(trouble)
    handler = type('StoreHandler', (Handler,), fields)
    server = _Server(('127.0.0.1', port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
