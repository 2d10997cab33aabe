"""Tell the system's own processes from strangers."""

import hmac
from http import HTTPStatus
from typing import Any

import msgspec

from bendlead_node._common.limits import MAX_MESSAGE_BYTES
from bendlead_node._common.telemetry import Metrics
from bendlead_node._common.upstream import PEER_HEADER
from bendlead_node._common.web import Call, CallError


class PeerGate:
    """Let in only processes that know the deployment's peer key."""

    def __init__(self, key: str, metrics: Metrics) -> None:
        self._key = key
        self._metrics = metrics

    def read(self, call: Call, kind: Any) -> Any:
        """Read a message of a known peer."""
        self.check(call)
        return msgspec.json.decode(call.body(MAX_MESSAGE_BYTES), type=kind)

    def check(self, call: Call) -> None:
        """Refuse a call of an unknown peer, and count it."""
        if not hmac.compare_digest(call.header(PEER_HEADER), self._key):
            self._metrics.refused_peers.inc()
            raise CallError(
                HTTPStatus.FORBIDDEN,
                'unknown_peer',
                'the peer key does not match',
            )
