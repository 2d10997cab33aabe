"""Choose an endpoint for a request."""

import random
from collections.abc import Collection

from bendlead_store import clock

from bendlead_node._entry.members import EndpointPeer, Members

_SLOW_START_SECONDS = 5.0
_EJECT_AFTER = 3
_EJECT_SECONDS = 5.0
_FULL_SECONDS = 0.25
_AWAY_SECONDS = 1.0
_FAR_PENALTY = 1.0


class Router:
    """Pick the less loaded of two random endpoints of a service."""

    def __init__(self, members: Members) -> None:
        self._members = members

    def pick(
        self,
        service: str,
        model: str,
        avoid: Collection[str],
    ) -> EndpointPeer | None:
        """Pick an endpoint that is not leaving, ejected or to be avoided."""
        now = clock.uptime()
        able = [
            peer
            for peer in self._members.endpoints()
            if _serves(peer, service, model) and not peer.heartbeat.leaving
        ]
        fresh = [peer for peer in able if peer.heartbeat.endpoint not in avoid]
        healthy = [peer for peer in fresh if peer.ejected_until < now]
        candidates = healthy or fresh
        if not candidates:
            return None
        pair = random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=_load)

    def succeeded(self, peer: EndpointPeer) -> None:
        """Note that an endpoint answered."""
        peer.failures = 0

    def refused(self, peer: EndpointPeer) -> None:
        """Pass over an endpoint that is full until it is likely not to be."""
        again = clock.uptime() + _FULL_SECONDS
        peer.ejected_until = max(peer.ejected_until, again)

    def away(self, peer: EndpointPeer) -> None:
        """Pass over an endpoint whose engine has ended until it may be back."""
        again = clock.uptime() + _AWAY_SECONDS
        peer.ejected_until = max(peer.ejected_until, again)

    def failed(self, peer: EndpointPeer) -> None:
        """Note a failure; eject an endpoint that fails again and again."""
        peer.failures += 1
        if peer.failures >= _EJECT_AFTER:
            peer.ejected_until = clock.uptime() + _EJECT_SECONDS


def _serves(peer: EndpointPeer, service: str, model: str) -> bool:
    heartbeat = peer.heartbeat
    if heartbeat.service != service:
        return False
    return not model or model in heartbeat.models


def _load(peer: EndpointPeer) -> float:
    heartbeat = peer.heartbeat
    # The report lags; what this entry has out itself is exact.
    running = max(heartbeat.online, peer.sent) + heartbeat.waiting
    age = clock.uptime() - peer.first_heard
    warmth = min(1.0, 0.1 + age / _SLOW_START_SECONDS)
    return (running + _FAR_PENALTY) / (heartbeat.capacity * warmth)
