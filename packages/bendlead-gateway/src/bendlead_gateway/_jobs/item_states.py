"""States of the items that an owner holds, and why an item stays in one."""

import enum


class ItemState(enum.Enum):
    """What an unrecorded item of an open job does; each is in one state."""

    WAITING = 'waiting'
    PAUSED = 'paused'
    RUNNING = 'running'
    RECORDING = 'recording'

    # Members are equal only to themselves; that of Enum is slow.
    __hash__ = object.__hash__


class ItemReason(enum.Enum):
    """Why an item is in its state; the value is a label of a metric."""

    #: Waiting: no round has looked at it yet.
    NEW = 'new'
    #: Its run ended without a failure of its own, as one that was stopped.
    RUN_ENDED = 'run_ended'
    #: There are no scheduling rounds.
    NO_ROUND = 'no_round'
    #: An item before it on the same route found no slot.
    ROUTE_FULL = 'route_full'
    NO_SLOT = 'no_slot'
    #: The free slots are those that items of young jobs leave free.
    HEADROOM = 'headroom'
    NO_ENGINE = 'no_engine'
    #: Engines with free slots have had a trial of one of its parts.
    AVOIDED_ENGINES = 'avoided_engines'
    #: It has events, and engines of their version have no free slot.
    VERSION_FULL = 'version_full'
    HELD_BACK = 'held_back'
    #: Another item of this round tries one of its parts.
    PART_TAKEN = 'part_taken'
    #: The configuration, which may not be current, has no route for it.
    NO_ROUTE = 'no_route'
    #: Its job is in the log, and its items are not held here.
    JOB_NOT_HELD = 'job_not_held'

    #: Paused: a run failed a moment ago.
    RETRY = 'retry'
    #: Starting or running it raised an unforeseen error.
    ERROR = 'error'
    NOT_CONFIRMED = 'not_confirmed'
    CLAIM_REFUSED = 'claim_refused'
    ENGINE_REFUSED = 'engine_refused'
    #: Engines crashed under it.
    CRASHES = 'crashes'
    #: Another item tries one of its parts.
    PART_IN_TRIAL = 'part_in_trial'
    #: One of its parts pauses until the next trial.
    PART_PAUSED = 'part_paused'

    #: Running: what its run waits for.
    OWNERSHIP = 'ownership'
    CLAIM = 'claim'
    CONNECT = 'connect'
    HEAD = 'head'
    EVENTS = 'events'

    #: Recording: its commit has not begun, is under way, or ended without it.
    TO_COMMIT = 'to_commit'
    COMMIT = 'commit'
    COMMIT_FAILED = 'commit_failed'

    __hash__ = object.__hash__


PAUSES = frozenset(
    (
        ItemReason.RETRY,
        ItemReason.ERROR,
        ItemReason.NOT_CONFIRMED,
        ItemReason.CLAIM_REFUSED,
        ItemReason.ENGINE_REFUSED,
        ItemReason.CRASHES,
        ItemReason.PART_IN_TRIAL,
        ItemReason.PART_PAUSED,
    )
)
#: What a run waits for before an engine can have got the item.
UNSENT = frozenset((ItemReason.OWNERSHIP, ItemReason.CLAIM))
