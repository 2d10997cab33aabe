"""Messages by which a peer makes a call of the object service."""

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
_CALL_DECODER = msgspec.json.Decoder(StoreCall)

#: The entry that was read, the version that was written, or None if the key
#: does not exist.
Outcome = Result[Entry | Version | None, Failure]


def answer_call(store: FollowedStore, body: bytes) -> bytes:
    """Make a call for a peer directly, without failover to another one."""
    outcome = make_call(store, _CALL_DECODER.decode(body))
    return msgspec.json.encode(encode_outcome(outcome))


def make_call(store: FollowedStore, call: StoreCall) -> Outcome:
    """Make a call of the object service.

    Raises ValueError if the body is not valid base64.
    """
    expected = Version(call.expected)
    if call.operation is StoreOperation.fetch:
        return store.fetch(call.key)
    if call.operation is StoreOperation.delete:
        return store.delete(call.key, expected)
    body = base64.b64decode(call.body, validate=True)
    if call.operation is StoreOperation.put_status:
        return store.put_status(call.key, body)
    return store.put(call.key, body, expected)


def encode_outcome(outcome: Outcome) -> StoreAnswer:
    """Convert an outcome to a message."""
    if isinstance(outcome, Err):
        failure = outcome.err_value
        return StoreAnswer(
            failure=failure.kind.value,
            detail=failure.detail,
            retry_after=failure.retry_after,
        )
    success = outcome.ok_value
    if isinstance(success, Entry):
        body = base64.b64encode(success.body).decode()
        return StoreAnswer(version=int(success.version), found=True, body=body)
    return StoreAnswer(version=int(success or 0))


def decode_outcome(call: StoreCall, answer: StoreAnswer, peer: str) -> Outcome:
    """Convert a peer's message to an outcome.

    Raises ValueError if the failure kind or the body is invalid.
    """
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
