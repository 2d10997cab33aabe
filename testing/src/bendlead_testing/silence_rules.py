"""Rules for silent engines that ``SilenceReplay`` compares."""

from collections.abc import Callable

from bendlead_gateway._scheduling.silence import (
    Reaction,
    Silence,
    first_check,
)
from msgspec import Struct
from msgspec.structs import asdict, replace

#: Just enough for a first event before the client leaves.
_LATE_SECONDS = 1.75


class Facts(Struct, frozen=True):
    """What is known of a silent engine.

    Only some rules use more than what the gateway's rule is told.
    """

    silence: Silence
    #: Whether another engine is sending, or idle, whatever its load.
    sound_elsewhere: bool


Rule = Callable[[Facts], Reaction]


class Policy(Struct, frozen=True):
    """A rule, and what its entries do beside it."""

    rule: Rule
    #: Whether a begun stream ends if no engine takes it at once.
    cuts_at_once: bool = False
    #: Whether silent engines are probed; failed connects count at any rate.
    probes: bool = True
    #: Whether a reconnected stream stays at its engine, and uses no run.
    stays: bool = False
    #: Whether slots of silent engines count as free.
    silent_slots: bool = False
    #: Whether a resumed stream may be moved again before its head.
    watches_heads: bool = False
    #: Whether entries know each other's load without a delay.
    exact_counts: bool = False


def production(facts: Facts) -> Reaction:
    """Apply the rule of the gateway."""
    return facts.silence.reaction


def give_up_early(facts: Facts) -> Reaction:
    """Move at the first check wherever another engine is listed."""
    silence = facts.silence
    early = silence.seconds >= first_check(silence.gap_target)
    return Reaction.MOVE if early else Reaction.WAIT


def wait(_facts: Facts) -> Reaction:
    """Wait until the client leaves."""
    return Reaction.WAIT


def move_to_queue(facts: Facts) -> Reaction:
    """Move without a free slot once no sound engine would stand still."""
    silence = facts.silence
    slot = silence.slot_elsewhere or (
        facts.sound_elsewhere and silence.seconds >= silence.longest_standstill
    )
    return replace(silence, slot_elsewhere=slot).reaction


def ignore_connects(facts: Facts) -> Reaction:
    """Treat engines that accept no connections like silent ones."""
    return replace(facts.silence, unreachable=False).reaction


def reconnect_early(facts: Facts) -> Reaction:
    """Continue at the same engine from the first check on.

    This comes before a move, as it uses no run.
    """
    silence = facts.silence
    active = min(silence.seconds, silence.active_seconds)
    if active >= first_check(silence.gap_target):
        return Reaction.RECONNECT
    return silence.reaction


def reconnect_lost(facts: Facts) -> Reaction:
    """Continue at the same engine only if it sends on other connections."""
    silence = facts.silence
    reaction = silence.reaction
    lost = silence.active_seconds >= first_check(silence.gap_target)
    if reaction is Reaction.RECONNECT and not lost:
        return Reaction.WAIT
    return reaction


def reconnect_late(facts: Facts) -> Reaction:
    """Continue at the same engine later if it is silent on all connections."""
    early = facts.silence.seconds < _LATE_SECONDS
    return reconnect_lost(facts) if early else facts.silence.reaction


def reconnect_with_run(facts: Facts) -> Reaction:
    """Continue at any engine, if it must wait there, where a run is left."""
    silence = facts.silence
    reaction = silence.reaction
    late = silence.seconds >= silence.longest_standstill
    if reaction is Reaction.WAIT and late and not silence.others_silent:
        return Reaction.RECONNECT
    return reaction


def reconnect_all_silent(facts: Facts) -> Reaction:
    """Continue at the same engine also if all engines are silent."""
    return replace(facts.silence, others_silent=False).reaction


def with_bound(seconds: float) -> Rule:
    """Return the rule with another bound on how long engines stand still."""

    class BoundedSilence(Silence):
        @property
        def longest_standstill(self) -> float:
            """Return the other bound."""
            return max(seconds, first_check(self.gap_target))

    def bounded(facts: Facts) -> Reaction:
        return BoundedSilence(**asdict(facts.silence)).reaction

    return bounded


POLICIES = {
    'former rule': Policy(give_up_early, cuts_at_once=True),
    'module': Policy(production),
    'bound 1.0': Policy(with_bound(1.0)),
    'bound 1.25': Policy(with_bound(1.25)),
    'bound 1.75': Policy(with_bound(1.75)),
    'wait': Policy(wait),
    'queue': Policy(move_to_queue),
    'no connects': Policy(ignore_connects),
    'failed connects': Policy(production, probes=False),
    'reconnect early': Policy(reconnect_early),
    'reconnect lost': Policy(reconnect_lost),
    'reconnect with run': Policy(reconnect_with_run),
    'stay with run': Policy(reconnect_with_run, stays=True),
    'reconnect late': Policy(reconnect_late),
    'reconnect all silent': Policy(reconnect_all_silent),
    'silent slots': Policy(production, silent_slots=True),
    'watch heads': Policy(production, watches_heads=True),
    'exact counts': Policy(production, exact_counts=True),
}
