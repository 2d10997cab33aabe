"""Fetch a newer configuration from a peer.

The object service may reject some processes while it serves others. A change
such as the removal of an API key must take effect in all of them.
"""

import gevent
import msgspec
from bendlead_store import Failure, FailureKind, clock
from result import Err, Ok, Result

from bendlead_gateway._fleet.catalog import ConfigurationHolder
from bendlead_gateway._fleet.peer_call import call_peer
from bendlead_gateway._fleet.watcher import Watcher
from bendlead_gateway._log import Log
from bendlead_gateway.json_values import DECODE_ERRORS
from bendlead_gateway.types import Configuration, PeerRecord

CONFIGURATION_PATH = '/peer/configuration'
#: A healthy watch reports a change within 0.15 s; beyond this delay it may have
#: stalled.
_MAX_DELAY_SECONDS = 0.6
#: Twice the transfer time of the largest configuration (1 MB) at 15 Mbit/s.
_RESPONSE_TIMEOUT_SECONDS = 1.2
_DECODER = msgspec.json.Decoder(Configuration)


class PeerConfigurationFetcher:
    """Fetch configurations that the object service has not sent yet."""

    def __init__(
        self, configuration: ConfigurationHolder, watch: Watcher, log: Log
    ) -> None:
        self._configuration = configuration
        self._watch = watch
        self._log = log
        self._behind_since = 0.0
        self._fetching = False

    def on_peer_version(self, peer: PeerRecord, version: int) -> None:
        """Fetch a peer's newer configuration if the watch is stale or late."""
        if version <= self._configuration.version:
            return
        now = clock.uptime()
        if not self._behind_since:
            self._behind_since = now
        overdue = now - self._behind_since > _MAX_DELAY_SECONDS
        if self._fetching or (self._watch.current and not overdue):
            return
        self._fetching = True
        gevent.spawn(self._fetch, peer, version)

    def _fetch(self, peer: PeerRecord, version: int) -> None:
        try:
            fetched = _request(peer)
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
        self._configuration.activate(fetched.ok_value, peer.node)


def _request(peer: PeerRecord) -> Result[Configuration, Failure]:
    try:
        body = call_peer(
            peer.address,
            'GET',
            CONFIGURATION_PATH,
            b'',
            _RESPONSE_TIMEOUT_SECONDS,
        )
    except OSError as error:
        return _failed(FailureKind.UNKNOWN, peer, str(error))
    try:
        return Ok(_DECODER.decode(body))
    except DECODE_ERRORS as error:
        return _failed(FailureKind.REFUSED, peer, str(error))


def _failed(kind: FailureKind, peer: PeerRecord, detail: str) -> Err[Failure]:
    return Err(Failure(kind, 'fetch configuration', peer.node, detail))
