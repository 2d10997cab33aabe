"""The faults the system must bear, each with what heals it."""

import random
from collections.abc import Callable, Mapping
from types import MappingProxyType

from bendlead_testing.cluster import Cluster
from bendlead_testing.daemons import Daemon

Heal = Callable[[], None]
Fault = Callable[[Cluster, random.Random], Heal]


def _killed(daemon: Daemon) -> Heal:
    daemon.kill()
    return daemon.start


def _paused(daemon: Daemon) -> Heal:
    daemon.pause()
    return daemon.resume


def entry_killed(cluster: Cluster, chance: random.Random) -> Heal:
    """Lose an entry, perhaps right after it acknowledged something."""
    return _killed(chance.choice(cluster.entries))


def entry_paused(cluster: Cluster, chance: random.Random) -> Heal:
    """Freeze an entry past the time others take over."""
    return _paused(chance.choice(cluster.entries))


def endpoint_killed(cluster: Cluster, chance: random.Random) -> Heal:
    """Lose an endpoint process with items in flight."""
    return _killed(chance.choice(cluster.endpoints[: len(cluster.engines)]))


def endpoint_paused(cluster: Cluster, chance: random.Random) -> Heal:
    """Freeze an endpoint process until its leases lapse."""
    return _paused(chance.choice(cluster.endpoints[: len(cluster.engines)]))


def engine_killed(cluster: Cluster, chance: random.Random) -> Heal:
    """Lose an engine under its endpoint process."""
    return _killed(chance.choice(cluster.engines))


def store_away(cluster: Cluster, _chance: random.Random) -> Heal:
    """Take the platform's store away."""
    cluster.faults(outage=True)
    return cluster.faults


def store_slow(cluster: Cluster, _chance: random.Random) -> Heal:
    """Make every call to the store slow."""
    cluster.faults(delay=0.4)
    return cluster.faults


def store_limited(cluster: Cluster, _chance: random.Random) -> Heal:
    """Let the store refuse most writes."""
    cluster.faults(writes_per_second=3)
    return cluster.faults


def replies_lost(cluster: Cluster, _chance: random.Random) -> Heal:
    """Lose some replies of the store after their effect."""
    cluster.faults(lose_replies=0.3)
    return cluster.faults


def entry_cut_off(cluster: Cluster, chance: random.Random) -> Heal:
    """Part one entry from the store, its writes perhaps landing late."""
    at = chance.randrange(len(cluster.entries))
    cluster.store_link(at, 'partition')
    return lambda: cluster.store_link(at, 'pass')


def entry_loses_replies(cluster: Cluster, chance: random.Random) -> Heal:
    """Cut each reply of the store to one entry."""
    at = chance.randrange(len(cluster.entries))
    cluster.store_link(at, 'lose-replies')
    return lambda: cluster.store_link(at, 'pass')


FAULTS: Mapping[str, Fault] = MappingProxyType(
    {
        fault.__name__: fault
        for fault in (
            entry_killed,
            entry_paused,
            endpoint_killed,
            endpoint_paused,
            engine_killed,
            store_away,
            store_slow,
            store_limited,
            replies_lost,
            entry_cut_off,
            entry_loses_replies,
        )
    }
)
