"""A stand-in for the platform's object service, with its faults."""

import bendlead_testing.patched  # noqa: F401, I001

import argparse
import random
import time
import urllib.parse
from collections import Counter
from http import HTTPStatus

import gevent
import msgspec
from bendlead_node._common.web import (
    Answer,
    Call,
    CallError,
    Handler,
    Route,
    WebApp,
    WebServer,
    json_answer,
)
from bendlead_store import (
    ABSENT,
    EmbeddedStore,
    FailureKind,
    ObjectStore,
    Version,
)
from bendlead_store._http import VERSION_HEADER, WireEntry, WireMachine
from result import Err

_BODY_BYTES = 1_100_000
_VALUE_BYTES = 1_000_000


class Faults(msgspec.Struct):
    """Say how the service misbehaves."""

    outage: bool = False
    delay: float = 0
    lose_replies: float = 0
    writes_per_second: float = 0
    machines: list[WireMachine] = []


class Platform:
    """Serve an embedded store as the platform would."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._faults = Faults()
        self._calls: Counter[str] = Counter()
        self._writes: list[float] = []

    def routes(self) -> list[Route]:
        """List the paths of the service."""
        return [
            Route('GET', '/objects', self._counted('list', self.list_keys)),
            Route('GET', '/watch', self._counted('watch', self.watch)),
            Route('GET', '/machines', self._counted('list', self.machines)),
            Route(
                'GET', '/objects/<path:key>', self._counted('read', self.read)
            ),
            Route(
                'POST',
                '/objects/<path:key>',
                self._counted('write', self.write),
            ),
            Route(
                'DELETE',
                '/objects/<path:key>',
                self._counted('write', self.delete),
            ),
            Route('GET', '/stats', self._stats),
            Route('POST', '/faults', self._set_faults),
        ]

    def read(self, call: Call) -> Answer:
        """Give one value and its version."""
        found = self._store.fetch(call.fields['key']).unwrap()
        if found is None:
            raise CallError(HTTPStatus.NOT_FOUND, 'absent', 'no such key')
        return Answer(
            HTTPStatus.OK,
            found.body,
            {VERSION_HEADER: str(found.version)},
        )

    def write(self, call: Call) -> Answer:
        """Write one value under its condition."""
        self._limit_writes()
        body = call.body(_BODY_BYTES)
        if len(body) > _VALUE_BYTES:
            raise CallError(HTTPStatus.BAD_REQUEST, 'too_large', 'over 1 MB')
        written = self._store.put(call.fields['key'], body, _expected(call))
        return self._written(written)

    def delete(self, call: Call) -> Answer:
        """Delete one key under its condition."""
        self._limit_writes()
        deleted = self._store.delete(call.fields['key'], _expected(call))
        return self._written(deleted)

    def list_keys(self, call: Call) -> Answer:
        """List a page of keys."""
        asked = _query(call)
        listed = self._store.list_keys(
            asked.get('prefix', ''),
            asked.get('after', ''),
            int(asked.get('limit', '1000')),
        ).unwrap()
        return json_answer([WireEntry(one.key, one.version) for one in listed])

    def watch(self, call: Call) -> Answer:
        """Wait for changes after a revision."""
        asked = _query(call)
        changes = self._store.watch(
            asked.get('prefix', ''),
            Version(int(asked.get('after', '0'))),
            float(asked.get('timeout', '0')),
        ).unwrap()
        if self._faults.outage:
            raise _away()
        return json_answer(
            [
                WireEntry(one.key, one.version, one.deleted, one.body)
                for one in changes
            ]
        )

    def machines(self, _call: Call) -> Answer:
        """Give the lagging list of VMs."""
        return json_answer(self._faults.machines)

    def _counted(self, kind: str, handler: Handler) -> Handler:
        def counted(call: Call) -> Answer:
            self._calls[kind] += 1
            if self._faults.outage:
                raise _away()
            gevent.sleep(self._faults.delay)
            answer = handler(call)
            if random.random() < self._faults.lose_replies:
                # The effect stands; the caller never hears of it.
                raise ConnectionError('reply lost')
            return answer

        return counted

    def _limit_writes(self) -> None:
        limit = self._faults.writes_per_second
        if not limit:
            return
        now = time.monotonic()
        self._writes = [at for at in self._writes if at > now - 1]
        if len(self._writes) >= limit:
            raise CallError(
                HTTPStatus.TOO_MANY_REQUESTS,
                'limited',
                'too many writes',
                retry_after=1,
            )
        self._writes.append(now)

    def _written(self, written) -> Answer:
        if isinstance(written, Err):
            status = HTTPStatus.SERVICE_UNAVAILABLE
            if written.err_value.kind is FailureKind.CONFLICT:
                status = HTTPStatus.PRECONDITION_FAILED
            raise CallError(status, 'conflict', str(written.err_value))
        version = str(written.ok_value)
        return json_answer({}, headers={VERSION_HEADER: version})

    def _stats(self, _call: Call) -> Answer:
        return json_answer(dict(self._calls))

    def _set_faults(self, call: Call) -> Answer:
        body = call.body(_BODY_BYTES)
        self._faults = msgspec.json.decode(body, type=Faults)
        return json_answer({})


def _away() -> CallError:
    return CallError(HTTPStatus.SERVICE_UNAVAILABLE, 'outage', 'away')


def _expected(call: Call) -> Version:
    if call.header('If-None-Match'):
        return ABSENT
    return Version(int(call.header('If-Match')))


def _query(call: Call) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(call.query))


def main() -> None:
    """Serve until ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('port', type=int)
    parser.add_argument('--path', default=':memory:')
    asked = parser.parse_args()
    platform = Platform(EmbeddedStore(asked.path))
    server = WebServer('127.0.0.1', asked.port, WebApp(platform.routes()))
    server.start()
    gevent.get_hub().join()


if __name__ == '__main__':
    main()
