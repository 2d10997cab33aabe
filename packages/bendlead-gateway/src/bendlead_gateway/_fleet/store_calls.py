"""Put calls of the object service into messages between peers, and back."""

import base64

import msgspec
from bendlead_schema.gateway import StoreAnswer, StoreCall, StoreOperation
from bendlead_store import (
    Entry,
    Failure,
    FailureKind,
    FollowedStore,
    Version,
)
from result import Err, Ok, Result

STORE_PATH = '/peer/store'
_CALL = msgspec.json.Decoder(StoreCall)

#: What a call gave: the value that was read, the version that was written, or
#: nothing where the key is absent.
Outcome = Result[Entry | Version | None, Failure]


def answer_call(store: FollowedStore, body: bytes) -> bytes:
    """Make a call for a peer; the object service answers it or nobody."""
    outcome = perform(store, _CALL.decode(body))
    return msgspec.json.encode(write_outcome(outcome))


def perform(store: FollowedStore, call: StoreCall) -> Outcome:
    """Make a call of the object service."""
    expected = Version(call.expected)
    if call.operation is StoreOperation.fetch:
        return store.fetch(call.key)
    if call.operation is StoreOperation.delete:
        return store.delete(call.key, expected)
    body = base64.b64decode(call.body, validate=True)
    if call.operation is StoreOperation.put_status:
        return store.put_status(call.key, body)
    return store.put(call.key, body, expected)


def write_outcome(outcome: Outcome) -> StoreAnswer:
    """Tell a peer what its call gave."""
    if isinstance(outcome, Err):
        failure = outcome.err_value
        return StoreAnswer(
            failure=failure.kind.value,
            detail=failure.detail,
            retry_after=failure.retry_after,
        )
    given = outcome.ok_value
    if isinstance(given, Entry):
        body = base64.b64encode(given.body).decode()
        return StoreAnswer(version=int(given.version), found=True, body=body)
    return StoreAnswer(version=int(given or 0))


def read_outcome(call: StoreCall, answer: StoreAnswer, peer: str) -> Outcome:
    """Read what a call by way of a peer gave; raise ValueError if it can't."""
    if answer.failure:
        kind = FailureKind(answer.failure)
        return Err(
            Failure(
                kind,
                f'{call.operation} {call.key}',
                peer,
                answer.detail,
                answer.retry_after,
            )
        )
    version = Version(answer.version)
    if call.operation is not StoreOperation.fetch:
        return Ok(version)
    if not answer.found:
        return Ok(None)
    body = base64.b64decode(answer.body, validate=True)
    return Ok(Entry(call.key, version, body))
