"""Take a newer configuration from a peer.

Load pattern: the object service turns some processes away for seconds, while
it serves the others and the operator. What it tells the others holds for all:
a key that was taken away opens nothing, wherever its holder calls.
"""

import gevent
import msgspec
from bendlead_store import Failure, FailureKind, clock
from result import Err, Ok, Result

from bendlead_gateway._fleet.catalog import ConfigurationHolder
from bendlead_gateway._fleet.peer_call import call_peer
from bendlead_gateway._fleet.watcher import Watcher
from bendlead_gateway._log import Log
from bendlead_gateway.types import Configuration, PeerRecord

CONFIGURATION_PATH = '/peer/configuration'
#: A watch that is well tells of a change within its gathering time, 0.15 s.
#: One that has not done so for this long (s) may have fallen silent.
_BEHIND_SECONDS = 0.6
#: The largest value that the object service holds, 1 MB, takes a process of
#: 15 Mbit/s half of this (s).
_ANSWER_SECONDS = 1.2
_DECODER = msgspec.json.Decoder(Configuration)


class PassedOnConfiguration:
    """Fetch what a peer has and the object service does not tell here."""

    def __init__(
        self, holder: ConfigurationHolder, watch: Watcher, log: Log
    ) -> None:
        self._holder = holder
        self._watch = watch
        self._log = log
        self._behind_since = 0.0
        self._fetching = False

    def hear(self, peer: PeerRecord, version: int) -> None:
        """Take the version that a peer has in force."""
        if version <= self._holder.version:
            return
        now = clock.uptime()
        if not self._behind_since:
            self._behind_since = now
        late = now - self._behind_since > _BEHIND_SECONDS
        if self._fetching or (self._watch.current and not late):
            return
        self._fetching = True
        gevent.spawn(self._fetch, peer, version)

    def _fetch(self, peer: PeerRecord, version: int) -> None:
        try:
            fetched = _ask(peer)
        finally:
            self._fetching = False
        if isinstance(fetched, Err):
            self._log.event(
                'config-not-passed-on',
                peer=peer.node,
                version=version,
                reason=fetched.err_value,
            )
            return
        self._behind_since = 0
        self._holder.take(fetched.ok_value, peer.node)


def _ask(peer: PeerRecord) -> Result[Configuration, Failure]:
    try:
        body = call_peer(
            peer.address, 'GET', CONFIGURATION_PATH, b'', _ANSWER_SECONDS
        )
    except OSError as error:
        return _failed(FailureKind.UNKNOWN, peer, str(error))
    try:
        return Ok(_DECODER.decode(body))
    except msgspec.MsgspecError as error:
        return _failed(FailureKind.REFUSED, peer, str(error))


def _failed(kind: FailureKind, peer: PeerRecord, detail: str) -> Err[Failure]:
    return Err(Failure(kind, 'fetch configuration', peer.node, detail))
