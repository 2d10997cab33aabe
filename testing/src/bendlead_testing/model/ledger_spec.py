"""The fenced head of one shard, between two processes that both want it.

A write may land late, its reply may be lost, a process may pause anywhere
(another simply moves first) or crash. What is specified is what
`bendlead_ledger._log` does; a mutation takes one rule away.
"""

import enum
from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

_PROCESSES = ('A', 'B')
_MAX_EPOCH = 3
_MAX_SENDS = 2
_MAX_RECORDS = 1
_MAX_WRITES = 3
_MAX_FLYING = 2


class Mutation(enum.Enum):
    """Name a rule that is taken away."""

    NONE = 'none'
    NO_EPOCH_CHECK = 'no epoch check'
    ACKNOWLEDGE_EARLY = 'acknowledge before commit'
    NO_COMMIT_ID = 'retry without commit id'
    REUSED_POSITION = 'trim then reuse'
    HASTY_REFUSAL = 'refuse after a lost reply'


class Head(NamedTuple):
    """The one mutable object."""

    version: int = 0
    epoch: int = 0
    owner: str = ''
    commit: str = ''
    fenced: str = ''
    tail: tuple[str, ...] = ()
    folded: tuple[str, ...] = ()

    @property
    def log(self) -> tuple[str, ...]:
        """Everything committed, in order."""
        return self.folded + self.tail


class Write(NamedTuple):
    """A conditional update on its way to the store."""

    sender: str
    expected: int
    head: Head
    record: str = ''


class Process(NamedTuple):
    """What one process remembers."""

    head: Head | None = None
    write: Write | None = None
    sends: int = 0
    uncertain: bool = False
    conflicted: bool = False
    made: int = 0
    commits: int = 0


class State(NamedTuple):
    """The store, the processes, the network, and what callers were told."""

    head: Head
    processes: tuple[Process, Process]
    flying: tuple[Write, ...]
    acknowledged: frozenset[str]
    refused: frozenset[str]


Step = tuple[str, State]


class LedgerSpec:
    """Generate every step the ledger may take."""

    def __init__(self, mutation: Mutation) -> None:
        self._mutation = mutation

    def protocol(self) -> Protocol:
        """Give the specification to the checker."""
        start = State(
            Head(),
            (Process(), Process()),
            (),
            frozenset(),
            frozenset(),
        )
        return Protocol(
            name=f'ledger, mutation: {self._mutation.value}',
            candidate=False,
            fields=State._fields,
            initial=tuple(start),
            transitions=self._steps,
            invariants={
                'acknowledged records are in the log': _acknowledged_kept,
                'refused records are not in the log': _refused_absent,
                'no record is in the log twice': _no_doubles,
            },
        )

    def _steps(self, fields: tuple[Any, ...]) -> list[tuple[str, tuple]]:
        state = State(*fields)
        steps = list(self._network_steps(state))
        for at in range(len(_PROCESSES)):
            steps.extend(self._process_steps(state, at))
        return [(label, tuple(after)) for label, after in steps]

    def _network_steps(self, state: State) -> Iterator[Step]:
        for write in state.flying:
            flying = _without(state.flying, write)
            name = f'{write.sender} {write.head.commit}'
            lost = state._replace(flying=flying)
            yield f'lose request {name}', self._unsure(lost, write)
            landed, succeeded = self._land(lost, write)
            if succeeded:
                yield f'land {name}, lose reply', self._unsure(landed, write)
                yield f'land {name}', self._succeed(landed, write)
            else:
                yield f'conflict {name}', self._conflict(lost, write)

    def _process_steps(self, state: State, at: int) -> Iterator[Step]:
        process = state.processes[at]
        name = _PROCESSES[at]
        may_send = len(state.flying) < _MAX_FLYING
        if process.write is None:
            if may_send and process.commits < _MAX_WRITES:
                yield from self._idle_steps(state, at, process)
        else:
            yield from self._waiting_steps(state, at, process)
        if process.head is not None or process.write is not None:
            gone = Process(made=process.made, commits=process.commits)
            yield f'{name} crashes', _with(state, at, gone)

    def _idle_steps(
        self,
        state: State,
        at: int,
        process: Process,
    ) -> Iterator[Step]:
        name = _PROCESSES[at]
        if process.head is None:
            if state.head.epoch < _MAX_EPOCH:
                yield f'{name} claims', self._claim(state, at, process)
            return
        if process.made < _MAX_RECORDS:
            yield f'{name} commits', self._commit(state, at, process)
        if process.head.tail:
            folded = process.head._replace(tail=(), folded=process.head.log)
            yield f'{name} folds', self._send(state, at, process, folded)

    def _waiting_steps(
        self,
        state: State,
        at: int,
        process: Process,
    ) -> Iterator[Step]:
        name = _PROCESSES[at]
        if process.conflicted:
            yield f'{name} settles', self._settle(state, at, process)
        elif self._may_resend(state, process):
            resent = process._replace(sends=process.sends + 1, uncertain=True)
            flying = tuple(sorted((*state.flying, process.write)))
            after = _with(state, at, resent)._replace(flying=flying)
            yield f'{name} resends', after

    def _may_resend(self, state: State, process: Process) -> bool:
        again = process.uncertain and process.sends < _MAX_SENDS
        return again and len(state.flying) < _MAX_FLYING

    def _claim(self, state: State, at: int, process: Process) -> State:
        claim = state.head._replace(
            epoch=state.head.epoch + 1,
            owner=_PROCESSES[at],
            fenced=state.head.commit,
        )
        return self._send(state, at, process, claim)

    def _commit(self, state: State, at: int, process: Process) -> State:
        record = f'{_PROCESSES[at]}{process.made}'
        process = process._replace(made=process.made + 1)
        following = process.head._replace(tail=(*process.head.tail, record))
        sent = self._send(state, at, process, following, record)
        if self._mutation is Mutation.ACKNOWLEDGE_EARLY:
            return _acknowledge(sent, record)
        return sent

    def _send(
        self,
        state: State,
        at: int,
        process: Process,
        head: Head,
        record: str = '',
    ) -> State:
        commit = f'{_PROCESSES[at]}#{process.commits}'
        base = process.head or state.head
        write = Write(
            _PROCESSES[at],
            self._position(base),
            head._replace(commit=commit),
            record,
        )
        sending = process._replace(
            write=write,
            sends=1,
            uncertain=False,
            conflicted=False,
            commits=process.commits + 1,
        )
        flying = tuple(sorted((*state.flying, write)))
        return _with(state, at, sending)._replace(flying=flying)

    def _position(self, head: Head) -> int:
        if self._mutation is Mutation.REUSED_POSITION:
            # A log position, which trimming makes free again.
            return len(head.tail)
        return head.version

    def _land(self, state: State, write: Write) -> tuple[State, bool]:
        if self._position(state.head) != write.expected:
            return state, False
        version = state.head.version + 1
        return state._replace(head=write.head._replace(version=version)), True

    def _unsure(self, state: State, write: Write) -> State:
        at = _PROCESSES.index(write.sender)
        process = state.processes[at]
        if process.write != write:
            return state
        return _with(state, at, process._replace(uncertain=True))

    def _succeed(self, state: State, write: Write) -> State:
        at = _PROCESSES.index(write.sender)
        if state.processes[at].write != write:
            return state
        return _adopt(state, at, state.head)

    def _conflict(self, state: State, write: Write) -> State:
        at = _PROCESSES.index(write.sender)
        process = state.processes[at]
        if process.write != write:
            return state
        return _with(state, at, process._replace(conflicted=True))

    def _settle(self, state: State, at: int, process: Process) -> State:
        present = state.head
        write = process.write
        if self._mutation is Mutation.NO_EPOCH_CHECK:
            following = write.head._replace(version=present.version)
            stale = process._replace(head=present)
            return self._send(state, at, stale, following, write.record)
        if self._mutation is Mutation.NO_COMMIT_ID:
            return self._settle_without_id(state, at, process)
        if present.commit == write.head.commit:
            return _adopt(state, at, present)
        told = state
        if write.record:
            told = self._tell(state, process, present)
        gone = Process(made=process.made, commits=process.commits)
        return _with(told, at, gone)

    def _settle_without_id(
        self,
        state: State,
        at: int,
        process: Process,
    ) -> State:
        present = state.head
        mine = present.owner == _PROCESSES[at]
        if not mine or not process.write.record:
            gone = Process(made=process.made, commits=process.commits)
            return _with(state, at, gone)
        record = process.write.record
        again = present._replace(tail=(*present.tail, record))
        fresh = process._replace(head=present)
        return self._send(state, at, fresh, again, record)

    def _tell(self, state: State, process: Process, present: Head) -> State:
        write = process.write
        if present.fenced == write.head.commit:
            return _acknowledge(state, write.record)
        hasty = self._mutation is Mutation.HASTY_REFUSAL
        if process.uncertain and not hasty:
            return state
        return state._replace(refused=state.refused | {write.record})


def _with(state: State, at: int, process: Process) -> State:
    processes = list(state.processes)
    processes[at] = process
    return state._replace(processes=tuple(processes))


def _adopt(state: State, at: int, head: Head) -> State:
    process = state.processes[at]
    record = process.write.record
    owner = Process(head=head, made=process.made, commits=process.commits)
    adopted = _with(state, at, owner)
    return _acknowledge(adopted, record) if record else adopted


def _acknowledge(state: State, record: str) -> State:
    return state._replace(acknowledged=state.acknowledged | {record})


def _without(flying: tuple[Write, ...], write: Write) -> tuple[Write, ...]:
    rest = list(flying)
    rest.remove(write)
    return tuple(rest)


def _acknowledged_kept(fields: dict[str, Any]) -> bool:
    return fields['acknowledged'] <= set(fields['head'].log)


def _refused_absent(fields: dict[str, Any]) -> bool:
    return not fields['refused'] & set(fields['head'].log)


def _no_doubles(fields: dict[str, Any]) -> bool:
    log = fields['head'].log
    return len(log) == len(set(log))
