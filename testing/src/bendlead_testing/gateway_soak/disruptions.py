"""The disruptions of the soak: each begins, lasts, and is healed."""

import random
import signal
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

import gevent
from gevent.event import Event

from bendlead_testing.gateway_soak.deployment import Deployment, Process
from bendlead_testing.gateway_soak.engine_process import (
    END_TROUBLES,
    HARD_TROUBLES,
    EngineTrouble,
)
from bendlead_testing.gateway_soak.links import LinkMode
from bendlead_testing.platform_store import Trouble as StoreTrouble

Heal = Callable[[], None]
_TERM_SECONDS = 9.0
#: How long an engine that flaps is down, and up (s).
_FLAP_SECONDS = (0.4, 1.0)


@dataclass(frozen=True)
class Disruption:
    """Say what is done to what; ``planned`` work is no excuse for a cut."""

    begin: Callable[[Deployment, str, random.Random], Heal]
    targets: Callable[[Deployment], Sequence[str]]
    planned: bool = False


def _nothing() -> None:
    """Heal nothing: it has passed by itself."""


def _entries(fleet: Deployment) -> Sequence[str]:
    return [one.name for one in fleet.entries]


def _owners(fleet: Deployment) -> Sequence[str]:
    return [one.name for one in fleet.owners]


def _nodes(fleet: Deployment) -> Sequence[str]:
    return list(fleet.spots)


def _engines(fleet: Deployment) -> Sequence[str]:
    return [one.name for one in fleet.engines]


def _store(_fleet: Deployment) -> Sequence[str]:
    return ['store']


def _process(fleet: Deployment, name: str) -> Process:
    if name in fleet.nodes:
        return fleet.nodes[name]
    return next(one.process for one in fleet.engines if one.name == name)


def _kill(fleet: Deployment, name: str, _chance: random.Random) -> Heal:
    process = _process(fleet, name)
    process.end()
    return process.start


def _pause(fleet: Deployment, name: str, _chance: random.Random) -> Heal:
    process = _process(fleet, name)
    process.signal(signal.SIGSTOP)
    return lambda: process.signal(signal.SIGCONT)


def _stop(fleet: Deployment, name: str, _chance: random.Random) -> Heal:
    """Stop in a planned way and start again once the process is gone."""
    process = _process(fleet, name)
    life = process.stop()

    def start_again() -> None:
        with gevent.Timeout(_TERM_SECONDS, False):
            while process.running and process.starts == life:
                gevent.sleep(0.05)
        # Two stops may overlap: the other one may have started it already.
        if process.starts == life:
            process.end()
            process.start()

    return start_again


def _release(fleet: Deployment, name: str, chance: random.Random) -> Heal:
    """Replace an engine by one of another version in a planned way."""
    fleet.release(name)
    return _stop(fleet, name, chance)


def _swap(fleet: Deployment, name: str, chance: random.Random) -> Heal:
    """Replace an engine by one of another version at the same address."""
    fleet.release(name)
    return _kill(fleet, name, chance)


def _reload(fleet: Deployment, name: str, _chance: random.Random) -> Heal:
    fleet.nodes[name].signal(signal.SIGHUP)
    return _nothing


def _step_clock(fleet: Deployment, name: str, _chance: random.Random) -> Heal:
    process = fleet.nodes[name]
    starts = process.starts
    process.signal(signal.SIGUSR2)

    def step_back() -> None:
        # A process that started meanwhile has the true time.
        if process.starts == starts:
            process.signal(signal.SIGUSR2)

    return step_back


def _link(mode: LinkMode, pattern: str) -> Callable[..., Heal]:
    def begin(fleet: Deployment, name: str, _chance: random.Random) -> Heal:
        links = pattern.format(name)
        fleet.turn(links, mode)
        return lambda: fleet.turn(links, LinkMode.PASS)

    return begin


def _delay(pattern: str) -> Callable[..., Heal]:
    def begin(fleet: Deployment, name: str, chance: random.Random) -> Heal:
        links = pattern.format(name)
        fleet.turn(links, LinkMode.PASS, chance.uniform(0.02, 0.2))
        return lambda: fleet.turn(links, LinkMode.PASS)

    return begin


def _store_trouble(trouble: StoreTrouble) -> Callable[..., Heal]:
    def begin(fleet: Deployment, name: str, _chance: random.Random) -> Heal:
        door = fleet.store if name == 'store' else fleet.doors[name]
        door.trouble = trouble

        def heal() -> None:
            door.trouble = StoreTrouble.NONE

        return heal

    return begin


def _forget(fleet: Deployment, _name: str, _chance: random.Random) -> Heal:
    fleet.store.forget_history()
    return _nothing


def _engine_trouble(trouble: EngineTrouble) -> Callable[..., Heal]:
    def begin(fleet: Deployment, name: str, _chance: random.Random) -> Heal:
        engine = next(one for one in fleet.engines if one.name == name)
        fleet.trouble(engine, trouble.value)
        return lambda: fleet.trouble(engine, EngineTrouble.NONE.value)

    return begin


def _heat(fleet: Deployment, _name: str, _chance: random.Random) -> Heal:
    fleet.hot = True

    def cool() -> None:
        fleet.hot = False

    return cool


def _flap(fleet: Deployment, name: str, chance: random.Random) -> Heal:
    """Have an engine end and start again in turns."""
    process = _process(fleet, name)
    ended = Event()
    flapping = gevent.spawn(_end_in_turns, process, chance, ended)

    def rest() -> None:
        # Killed while it starts a life, it would leave that one behind.
        ended.set()
        flapping.join()
        process.start()

    return rest


def _end_in_turns(
    process: Process, chance: random.Random, ended: Event
) -> None:
    while not ended.is_set():
        process.end()
        ended.wait(chance.uniform(*_FLAP_SECONDS))
        process.start()
        ended.wait(chance.uniform(*_FLAP_SECONDS))


def _all_disruptions() -> dict[str, Disruption]:
    found = {
        'kill': Disruption(_kill, _nodes),
        'kill engine': Disruption(_kill, _engines),
        'pause': Disruption(_pause, _nodes),
        'pause engine': Disruption(_pause, _engines),
        'stop': Disruption(_stop, _nodes, planned=True),
        'stop engine': Disruption(_stop, _engines, planned=True),
        'reload': Disruption(_reload, _nodes, planned=True),
        'step clock': Disruption(_step_clock, _nodes),
        'delay': Disruption(_delay('{}>*'), _nodes),
        'store forgets': Disruption(_forget, _store),
    }
    for mode in LinkMode:
        if mode not in {LinkMode.PASS, LinkMode.CUT_NEW}:
            kind = mode.value
            found[f'{kind} from'] = Disruption(_link(mode, '{}>*'), _nodes)
            found[f'{kind} to engine'] = Disruption(
                _link(mode, '*>{}'), _engines
            )
            found[f'{kind} to owner'] = Disruption(_link(mode, '*>{}'), _owners)
            found[f'{kind} to store'] = Disruption(
                _link(mode, '{}>store'), _nodes
            )
            found[f'{kind} to entry'] = Disruption(
                _link(mode, 'client>{}'), _entries
            )
    for trouble in StoreTrouble:
        if trouble is not StoreTrouble.NONE:
            kind = trouble.value
            begin = _store_trouble(trouble)
            found[f'store {kind}'] = Disruption(begin, _store)
            found[f'store {kind} for one'] = Disruption(begin, _nodes)
    for bad in EngineTrouble:
        if bad not in {EngineTrouble.NONE, *HARD_TROUBLES, *END_TROUBLES}:
            found[f'engine {bad.value}'] = Disruption(
                _engine_trouble(bad), _engines
            )
    return found


DISRUPTIONS: Mapping[str, Disruption] = MappingProxyType(_all_disruptions())


def _hard_disruptions() -> dict[str, Disruption]:
    found = {
        'hot team': Disruption(_heat, _store),
        'flap engine': Disruption(_flap, _engines),
    }
    for bad in HARD_TROUBLES:
        found[f'engine {bad.value}'] = Disruption(
            _engine_trouble(bad), _engines
        )
    return found


#: What comes besides where load is hard; seeds of other runs draw none.
HARD_DISRUPTIONS: Mapping[str, Disruption] = MappingProxyType(
    _hard_disruptions()
)
#: What comes besides where engines are of several versions.
VERSION_DISRUPTIONS: Mapping[str, Disruption] = MappingProxyType(
    {
        'release engine': Disruption(_release, _engines, planned=True),
        'kill entry': Disruption(_kill, _entries),
        'reset entry': Disruption(_link(LinkMode.RESET, 'client>{}'), _entries),
    }
)
#: What comes besides where ends of answers are tried.
END_DISRUPTIONS: Mapping[str, Disruption] = MappingProxyType(
    {
        'kill engine': Disruption(_kill, _engines),
        'kill entry': Disruption(_kill, _entries),
        **{
            f'engine {bad.value}': Disruption(_engine_trouble(bad), _engines)
            for bad in END_TROUBLES
        },
    }
)
#: What comes besides where a release is played that an entry does not follow.
RELEASE_DISRUPTIONS: Mapping[str, Disruption] = MappingProxyType(
    {
        'swap engine': Disruption(_swap, _engines),
        'cut-new from': Disruption(_link(LinkMode.CUT_NEW, '{}>*'), _nodes),
    }
)
EVERY_DISRUPTION: Mapping[str, Disruption] = MappingProxyType(
    DISRUPTIONS
    | HARD_DISRUPTIONS
    | VERSION_DISRUPTIONS
    | END_DISRUPTIONS
    | RELEASE_DISRUPTIONS
)
