"""Failover of object service calls to a peer.

The object service may refuse, reset or ignore the calls of one process for
seconds while it serves all others. A peer then makes the calls for it, so that
an owner keeps its shards and no item has to run again.
"""

import base64
import random
from collections.abc import Callable, Sequence

import gevent
import msgspec
from bendlead_schema.gateway import StoreAnswer, StoreCall, StoreOperation
from bendlead_store import (
    ChangeBatch,
    Connectivity,
    Entry,
    Failure,
    FailureKind,
    FollowedStore,
    Listing,
    Version,
    clock,
)
from result import Err, Result

from bendlead_gateway._fleet.peer_call import NotConnectedError, call_peer
from bendlead_gateway._fleet.store_calls import (
    STORE_PATH,
    Outcome,
    decode_outcome,
    make_call,
)
from bendlead_gateway._log import Log
from bendlead_gateway.json_values import DECODE_ERRORS
from bendlead_gateway.types import PeerRecord

#: Timeout of own calls while a peer can make them instead. A slow service
#: responds within some tenths of a second.
_DIRECT_TIMEOUT_SECONDS = 0.6
_PEER_TIMEOUT_SECONDS = 1.6
#: Pause after a peer failed too: the service is probably down for all, and
#: each call is billed.
_PEER_BACKOFF_SECONDS = 0.3
#: Between two checks of whether the service answers this process again.
_PROBE_INTERVAL_SECONDS = 0.5
#: How long the service counts as reachable after a call through a peer.
_REACHABLE_SECONDS = 1.5
_FAILOVER_KINDS = frozenset(
    (FailureKind.NOT_DONE, FailureKind.LIMITED, FailureKind.UNKNOWN)
)
_CALL_ERRORS = (OSError, *DECODE_ERRORS)
_ANSWER_DECODER = msgspec.json.Decoder(StoreAnswer)


class PeerCaller:
    """Make calls of the object service through peers."""

    def __init__(self) -> None:
        #: Returns the peers that the object service answers.
        self.peers: Callable[[], Sequence[PeerRecord]] = tuple
        self._backoff_until = 0.0

    def call(self, call: StoreCall) -> Outcome | None:
        """Make a call through a peer; None if no peer reaches the service."""
        if clock.uptime() < self._backoff_until:
            return None
        peers = self.peers()
        if not peers:
            return None
        outcome = _call_peer(random.choice(peers), call)
        if not _needs_failover(outcome):
            return outcome
        self._backoff_until = clock.uptime() + _PEER_BACKOFF_SECONDS
        unknown = outcome.err_value.kind is FailureKind.UNKNOWN
        return outcome if unknown else None


class FailoverStore:
    """Object service client that fails over to peers.

    Listing and following a prefix is always done directly.
    """

    def __init__(self, direct: FollowedStore, log: Log) -> None:
        self.direct = direct
        self.peer_caller = PeerCaller()
        self._log = log
        self._unreachable_since = 0.0
        self._last_success_at = 0.0
        self._probed_at = 0.0
        self._relayed_calls = 0

    @property
    def calls(self) -> int:
        """Return the number of calls that this process made itself."""
        return self.direct.calls

    @property
    def connectivity(self) -> Connectivity:
        """Return when direct calls last succeeded and failed."""
        return self.direct.connectivity

    @property
    def last_success_at(self) -> float:
        """Return when a call last succeeded (uptime, s), directly or not."""
        return self._last_success_at

    @property
    def uses_peers(self) -> bool:
        """Return whether calls reach the service through peers only."""
        if not self._unreachable_since:
            return False
        return clock.uptime() - self._last_success_at < _REACHABLE_SECONDS

    def fetch(self, key: str) -> Result[Entry | None, Failure]:
        """Read one entry, or None if the key does not exist."""
        return self._call(StoreCall(operation=StoreOperation.fetch, key=key))

    def put(
        self, key: str, body: bytes, expected: Version
    ) -> Result[Version, Failure]:
        """Write a value if the key is still at the expected version."""
        return self._call(
            StoreCall(
                operation=StoreOperation.put,
                key=key,
                body=base64.b64encode(body).decode(),
                expected=int(expected),
            )
        )

    def put_status(self, key: str, body: bytes) -> Result[Version, Failure]:
        """Replace the status of an object whose specification others own."""
        return self._call(
            StoreCall(
                operation=StoreOperation.put_status,
                key=key,
                body=base64.b64encode(body).decode(),
            )
        )

    def delete(self, key: str, expected: Version) -> Result[Version, Failure]:
        """Delete a key if it is still at the expected version."""
        return self._call(
            StoreCall(
                operation=StoreOperation.delete,
                key=key,
                expected=int(expected),
            )
        )

    def list_entries(self, prefix: str) -> Result[Listing, Failure]:
        """Read all entries below a prefix, with bodies."""
        return self.direct.list_entries(prefix)

    def follow(
        self, prefix: str, after: Version, timeout: float
    ) -> Result[ChangeBatch, Failure]:
        """Wait up to timeout seconds for changes after a revision."""
        return self.direct.follow(prefix, after, timeout)

    def use_address(self, address: str) -> None:
        """Use another address from now on."""
        self.direct.use_address(address)

    def _call(self, call: StoreCall) -> Outcome:
        if self._unreachable_since:
            self._probe(call.key)
            relayed = self._call_via_peer(call)
            if relayed is not None:
                return relayed
        direct = self._call_directly(call)
        if not _needs_failover(direct):
            self._last_success_at = clock.uptime()
            self._mark_reachable()
            return direct
        unknown = direct.err_value.kind is FailureKind.UNKNOWN
        self._mark_unreachable(direct.err_value)
        if unknown:
            # Perhaps only one connection failed.
            gevent.spawn(self._check, call.key)
        if unknown and call.operation is not StoreOperation.fetch:
            # The write may still take effect; the caller resolves that.
            return direct
        relayed = self._call_via_peer(call)
        return direct if relayed is None else relayed

    def _call_via_peer(self, call: StoreCall) -> Outcome | None:
        outcome = self.peer_caller.call(call)
        if outcome is not None and not _needs_failover(outcome):
            self._last_success_at = clock.uptime()
            self._relayed_calls += 1
        return outcome

    def _call_directly(self, call: StoreCall) -> Outcome:
        if not self.peer_caller.peers():
            return make_call(self.direct, call)
        with gevent.Timeout(_DIRECT_TIMEOUT_SECONDS, exception=False):
            return make_call(self.direct, call)
        self.connectivity.failed_at = clock.uptime()
        return _failed(FailureKind.UNKNOWN, call, 'object service', 'timed out')

    def _probe(self, key: str) -> None:
        """Check at intervals whether the object service answers directly."""
        now = clock.uptime()
        if now - self._probed_at > _PROBE_INTERVAL_SECONDS:
            self._probed_at = now
            gevent.spawn(self._check, key)

    def _check(self, key: str) -> None:
        if not _needs_failover(self.direct.fetch(key)):
            self._mark_reachable()

    def _mark_unreachable(self, failure: Failure) -> None:
        if not self._unreachable_since:
            self._unreachable_since = clock.uptime()
            self._probed_at = self._unreachable_since
            self._log.event('store-turns-away', reason=failure)

    def _mark_reachable(self) -> None:
        if not self._unreachable_since:
            return
        seconds = clock.uptime() - self._unreachable_since
        self._log.event(
            'store-answers-again',
            away=round(seconds, 3),
            passed=self._relayed_calls,
        )
        self._unreachable_since = 0.0
        self._relayed_calls = 0


def _call_peer(peer: PeerRecord, call: StoreCall) -> Outcome:
    try:
        body = call_peer(
            peer.address,
            'POST',
            STORE_PATH,
            msgspec.json.encode(call),
            _PEER_TIMEOUT_SECONDS,
        )
        return decode_outcome(call, _ANSWER_DECODER.decode(body), peer.node)
    except NotConnectedError as error:
        return _failed(FailureKind.NOT_DONE, call, peer.node, error)
    except _CALL_ERRORS as error:
        return _failed(FailureKind.UNKNOWN, call, peer.node, error)


def _needs_failover(outcome: Outcome) -> bool:
    return (
        isinstance(outcome, Err) and outcome.err_value.kind in _FAILOVER_KINDS
    )


def _failed(
    kind: FailureKind, call: StoreCall, peer: str, reason: object
) -> Err[Failure]:
    step = f'{call.operation} {call.key}'
    return Err(Failure(kind, step, peer, str(reason)))
