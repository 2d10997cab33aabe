"""Operators' interface: configuration objects, fleet status, stops."""

from http import HTTPStatus

import msgspec
from bendlead_gateway.json_values import DECODE_ERRORS
from bendlead_schema.messages import (
    EndpointHeartbeat,
    EntryHeartbeat,
    VersionedKey,
)
from bendlead_store import ABSENT, FailureKind, ObjectStore, Version
from result import Err, Ok

from bendlead_node._common.config import (
    ConfigTable,
    config_key,
    kinds,
    parse_object,
)
from bendlead_node._common.web import (
    Answer,
    Call,
    CallError,
    Route,
    json_answer,
)
from bendlead_node._entry.files import done
from bendlead_node._entry.gate import Gate
from bendlead_node._entry.members import Members
from bendlead_node._entry.policy import check_policy
from bendlead_node._entry.relay import Relay

_BODY_BYTES = 900_000
_OBJECT = '/admin/v1/objects/<kind>/<name>'


class Accepted(msgspec.Struct):
    """Tell an operator the version at which a change was accepted."""

    key: str
    version: int


class FleetStatus(msgspec.Struct):
    """Show the fleet as one entry sees it."""

    revision: int
    digest: str
    entries: list[EntryHeartbeat]
    endpoints: list[EndpointHeartbeat]


class AdminApi:
    """Let operators read and change configuration."""

    def __init__(
        self,
        store: ObjectStore,
        config: ConfigTable,
        relay: Relay,
        gate: Gate,
        members: Members,
    ) -> None:
        self._store = store
        self._config = config
        self._relay = relay
        self._gate = gate
        self._members = members

    def routes(self) -> list[Route]:
        """List the paths that operators use."""
        return [
            Route('PUT', _OBJECT, self.apply),
            Route('GET', _OBJECT, self.get),
            Route('DELETE', _OBJECT, self.delete),
            Route('GET', '/admin/v1/objects/<kind>', self.list_objects),
            Route('GET', '/admin/v1/status', self.status),
        ]

    def apply(self, call: Call) -> Answer:
        """Check and write an object; written means accepted."""
        self._allow(call)
        kind, name = self._named(call)
        body = call.body(_BODY_BYTES)
        _check(kind, name, body)
        key = config_key(kind, name)
        expected = self._expected(call, key)
        version = self._written(key, body, expected)
        change = VersionedKey(key=key, version=version, body=body.decode())
        self._relay.learn([change])
        return json_answer(Accepted(key, version))

    def get(self, call: Call) -> Answer:
        """Show an object as the store has it."""
        self._gate.operator(call)
        kind, name = self._named(call)
        found = done(self._store.fetch(config_key(kind, name)))
        if found is None:
            raise _missing(kind, name)
        headers = {
            'Content-Type': 'application/json',
            'ETag': str(found.version),
        }
        return Answer(HTTPStatus.OK, found.body, headers)

    def delete(self, call: Call) -> Answer:
        """Delete an object; its version goes on rising."""
        self._gate.operator(call)
        kind, name = self._named(call)
        key = config_key(kind, name)
        found = done(self._store.fetch(key))
        if found is None:
            raise _missing(kind, name)
        version = done(self._store.delete(key, found.version))
        change = VersionedKey(key=key, version=version, deleted=True)
        self._relay.learn([change])
        return json_answer(Accepted(key, version))

    def list_objects(self, call: Call) -> Answer:
        """List the objects of a kind that are in force here."""
        self._gate.operator(call)
        prefix = config_key(call.fields['kind'], '')
        return json_answer(
            [
                held
                for held in self._config.above({})
                if held.key.startswith(prefix) and not held.deleted
            ]
        )

    def status(self, call: Call) -> Answer:
        """Show the fleet and the configuration in force on it."""
        self._gate.operator(call)
        peers = self._members.endpoints()
        return json_answer(
            FleetStatus(
                self._config.revision,
                self._config.digest,
                self._members.entries(),
                [peer.heartbeat for peer in peers],
            ),
        )

    def _allow(self, call: Call) -> None:
        # The first team of a deployment has nobody to authorise it.
        if self._config.teams() or not self._relay.ready:
            self._gate.operator(call)

    def _named(self, call: Call) -> tuple[str, str]:
        kind = call.fields['kind']
        if kind not in kinds():
            raise CallError(
                HTTPStatus.NOT_FOUND,
                'unknown_kind',
                f'{kind!r} is not one of {", ".join(kinds())}',
            )
        return kind, call.fields['name']

    def _expected(self, call: Call, key: str) -> Version:
        asked = call.header('If-Match')
        if asked:
            return Version(int(asked))
        found = done(self._store.fetch(key))
        return found.version if found else ABSENT

    def _written(self, key: str, body: bytes, expected: Version) -> Version:
        written = self._store.put(key, body, expected)
        if isinstance(written, Ok):
            return written.ok_value
        if written.err_value.kind in {
            FailureKind.CONFLICT,
            FailureKind.UNKNOWN,
        }:
            return self._read_back(key, body, expected, written)
        return done(written)

    def _read_back(
        self,
        key: str,
        body: bytes,
        expected: Version,
        written: Err,
    ) -> Version:
        """Tell a write whose reply was lost from another operator's."""
        found = done(self._store.fetch(key))
        if found and found.version > expected and found.body == body:
            return found.version
        if written.err_value.kind is FailureKind.UNKNOWN:
            return done(written)
        present = found.body.decode() if found else 'deleted'
        raise CallError(
            HTTPStatus.CONFLICT,
            'conflict',
            f'{key} changed since version {expected}; it is now: {present}',
        )


def _check(kind: str, name: str, body: bytes) -> None:
    try:
        found = parse_object(kind, body)
    except DECODE_ERRORS as error:
        raise CallError(
            HTTPStatus.BAD_REQUEST,
            'invalid_object',
            f'{kind} {name}: {error}',
        ) from error
    if getattr(found, 'name', name) != name:
        raise CallError(
            HTTPStatus.BAD_REQUEST,
            'invalid_object',
            f'{kind} {name}: its name field says otherwise',
        )
    problems = check_policy(found) if kind == 'policy' else []
    if problems:
        raise CallError(
            HTTPStatus.BAD_REQUEST,
            'invalid_policy',
            '; '.join(problems),
        )


def _missing(kind: str, name: str) -> CallError:
    return CallError(HTTPStatus.NOT_FOUND, 'not_found', f'no {kind} {name}')
