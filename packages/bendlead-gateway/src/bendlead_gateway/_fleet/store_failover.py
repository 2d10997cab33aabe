"""Reach the object service by way of a peer where it turns this process away.

Load pattern: the object service refuses, resets or ignores the calls of one
process for seconds and serves all others. The holder of a shard could accept no
job and record no result meanwhile, and whoever replaced it would run its items
again. A peer makes its calls instead, and it goes on as before.
"""

import base64
import random
from collections.abc import Callable, Sequence

import gevent
import msgspec
from bendlead_schema.gateway import StoreAnswer, StoreCall, StoreOperation
from bendlead_store import (
    Contact,
    Entry,
    Failure,
    FailureKind,
    FollowedStore,
    Following,
    Listing,
    Version,
    clock,
)
from result import Err, Result

from bendlead_gateway._fleet.peer_call import NotConnectedError, call_peer
from bendlead_gateway._fleet.store_calls import (
    STORE_PATH,
    Outcome,
    perform,
    read_outcome,
)
from bendlead_gateway._log import Log
from bendlead_gateway.types import PeerRecord

#: While a peer can call instead, silence is taken for being turned away after
#: this long (s). A slow service answers within some tenths of a second.
_SILENT_SECONDS = 0.6
#: A peer waits this long (s) at most for the service.
_ANSWER_SECONDS = 1.6
#: Peers are not asked again for this long (s) after one was turned away too:
#: the service is away for all, and each call is paid for.
_REST_SECONDS = 0.3
#: Seconds between two looks whether the service answers this process again.
_PROBE_SECONDS = 0.5
#: What is reached by peers is taken as reached for this long (s) after a call.
_REACHED_SECONDS = 1.5
_TURNED_AWAY = frozenset(
    (FailureKind.NOT_DONE, FailureKind.LIMITED, FailureKind.UNKNOWN)
)
_ANSWER = msgspec.json.Decoder(StoreAnswer)


class PeerRoute:
    """Have peers make calls of the object service."""

    def __init__(self) -> None:
        #: Lists the peers that the object service answers.
        self.peers: Callable[[], Sequence[PeerRecord]] = tuple
        self._rests_until = 0.0

    def make(self, call: StoreCall) -> Outcome | None:
        """Have a peer call; nothing where none has reached the service."""
        if clock.uptime() < self._rests_until:
            return None
        peers = self.peers()
        if not peers:
            return None
        outcome = _ask(random.choice(peers), call)
        if not _is_turned_away(outcome):
            return outcome
        self._rests_until = clock.uptime() + _REST_SECONDS
        unclear = outcome.err_value.kind is FailureKind.UNKNOWN
        return outcome if unclear else None


class FailoverStore:
    """Call the object service, or have a peer call it.

    Prefixes are listed and followed by this process alone.
    """

    def __init__(self, direct: FollowedStore, log: Log) -> None:
        self.direct = direct
        self.route = PeerRoute()
        self._log = log
        self._turned_away_at = 0.0
        self._reached_at = 0.0
        self._probed_at = 0.0
        self._passed = 0

    @property
    def calls(self) -> int:
        """Count the calls that this process made itself."""
        return self.direct.calls

    @property
    def contact(self) -> Contact:
        """Tell when the object service answered this process itself."""
        return self.direct.contact

    @property
    def reached_at(self) -> float:
        """Tell when a call reached the object service last (s), either way."""
        return self._reached_at

    @property
    def by_peer(self) -> bool:
        """Tell whether calls reach the object service by way of peers now."""
        if not self._turned_away_at:
            return False
        return clock.uptime() - self._reached_at < _REACHED_SECONDS

    def fetch(self, key: str) -> Result[Entry | None, Failure]:
        """Read one value, or nothing where the key is absent."""
        return self._make(StoreCall(operation=StoreOperation.fetch, key=key))

    def put(
        self, key: str, body: bytes, expected: Version
    ) -> Result[Version, Failure]:
        """Write a value if the key is still at the expected version."""
        return self._make(
            StoreCall(
                operation=StoreOperation.put,
                key=key,
                body=base64.b64encode(body).decode(),
                expected=int(expected),
            )
        )

    def put_status(self, key: str, body: bytes) -> Result[Version, Failure]:
        """Replace the status of an object that others specify."""
        return self._make(
            StoreCall(
                operation=StoreOperation.put_status,
                key=key,
                body=base64.b64encode(body).decode(),
            )
        )

    def delete(self, key: str, expected: Version) -> Result[Version, Failure]:
        """Delete a key if it is still at the expected version."""
        return self._make(
            StoreCall(
                operation=StoreOperation.delete,
                key=key,
                expected=int(expected),
            )
        )

    def list_entries(self, prefix: str) -> Result[Listing, Failure]:
        """Read every entry under a prefix, with bodies."""
        return self.direct.list_entries(prefix)

    def follow(
        self, prefix: str, after: Version, timeout: float
    ) -> Result[Following, Failure]:
        """Wait up to timeout seconds for changes after a revision."""
        return self.direct.follow(prefix, after, timeout)

    def move(self, address: str) -> None:
        """Call another address from now on."""
        self.direct.move(address)

    def _make(self, call: StoreCall) -> Outcome:
        if self._turned_away_at:
            self._probe(call.key)
            passed = self._pass(call)
            if passed is not None:
                return passed
        made = self._call_directly(call)
        if not _is_turned_away(made):
            self._reached_at = clock.uptime()
            self._return()
            return made
        unclear = made.err_value.kind is FailureKind.UNKNOWN
        self._turn_away(made.err_value)
        if unclear:
            # It may have been one connection alone.
            gevent.spawn(self._look, call.key)
        if unclear and call.operation is not StoreOperation.fetch:
            # It may still take effect: whoever wrote settles that.
            return made
        passed = self._pass(call)
        return made if passed is None else passed

    def _pass(self, call: StoreCall) -> Outcome | None:
        outcome = self.route.make(call)
        if outcome is not None and not _is_turned_away(outcome):
            self._reached_at = clock.uptime()
            self._passed += 1
        return outcome

    def _call_directly(self, call: StoreCall) -> Outcome:
        if not self.route.peers():
            return perform(self.direct, call)
        with gevent.Timeout(_SILENT_SECONDS, exception=False):
            return perform(self.direct, call)
        self.contact.failed_at = clock.uptime()
        return _failed(FailureKind.UNKNOWN, call, 'object service', 'silent')

    def _probe(self, key: str) -> None:
        """Look now and then whether the object service answers us again."""
        now = clock.uptime()
        if now - self._probed_at > _PROBE_SECONDS:
            self._probed_at = now
            gevent.spawn(self._look, key)

    def _look(self, key: str) -> None:
        if not _is_turned_away(self.direct.fetch(key)):
            self._return()

    def _turn_away(self, failure: Failure) -> None:
        if not self._turned_away_at:
            self._turned_away_at = clock.uptime()
            self._probed_at = self._turned_away_at
            self._log.event('store-turns-away', reason=failure)

    def _return(self) -> None:
        if not self._turned_away_at:
            return
        away = clock.uptime() - self._turned_away_at
        self._log.event(
            'store-answers-again', away=round(away, 3), passed=self._passed
        )
        self._turned_away_at = 0.0
        self._passed = 0


def _ask(peer: PeerRecord, call: StoreCall) -> Outcome:
    try:
        body = call_peer(
            peer.address,
            'POST',
            STORE_PATH,
            msgspec.json.encode(call),
            _ANSWER_SECONDS,
        )
        return read_outcome(call, _ANSWER.decode(body), peer.node)
    except NotConnectedError as error:
        return _failed(FailureKind.NOT_DONE, call, peer.node, error)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        return _failed(FailureKind.UNKNOWN, call, peer.node, error)


def _is_turned_away(outcome: Outcome) -> bool:
    return isinstance(outcome, Err) and outcome.err_value.kind in _TURNED_AWAY


def _failed(
    kind: FailureKind, call: StoreCall, peer: str, reason: object
) -> Err[Failure]:
    step = f'{call.operation} {call.key}'
    return Err(Failure(kind, step, peer, str(reason)))
