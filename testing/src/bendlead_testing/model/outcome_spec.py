"""Grants, runs, results, cancels and at-most-once requests.

One item and one at-most-once request, two runners that may be lost or
partitioned at any time, and a ledger whose commits are atomic (that they are
is the matter of the ledger specification).
"""

import enum
from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

_RUNNERS = (0, 1)
_MAX_GRANTS = 3
_MAX_SENDS = 2


class Mutation(enum.Enum):
    """Name a rule that is taken away."""

    NONE = 'none'
    RECORD_AFTER_CANCEL = 'record after cancel'
    LAST_RESULT_WINS = 'a later result replaces the first'
    RERUN_AFTER_START = 'rerun after about-to-start'
    RUN_WITHOUT_MARK = 'run before the mark is durable'
    NOT_RUN_AFTER_SEND = 'say not run after the engine got a byte'


class State(NamedTuple):
    """What the ledger holds, what runs, and what callers were told."""

    # the item
    granted: tuple[bool, bool] = (False, False)
    running: tuple[bool, bool] = (False, False)
    grants: int = 0
    results: tuple[int, ...] = ()
    cancelled: bool = False
    after_cancel: bool = False
    # the request: nonces 0 and 1 are the attempts of two entries
    mark: int = -1
    asked: tuple[bool, bool] = (False, False)
    may_run: tuple[bool, bool] = (False, False)
    sent: tuple[bool, bool] = (False, False)
    executed: int = 0
    answer: str = ''
    told_not_run: bool = False


Step = tuple[str, State]


class OutcomeSpec:
    """Generate every step of one item and one request."""

    def __init__(self, mutation: Mutation) -> None:
        self._mutation = mutation

    def protocol(self) -> Protocol:
        """Give the specification to the checker."""
        return Protocol(
            name=f'outcomes, mutation: {self._mutation.value}',
            candidate=False,
            fields=State._fields,
            initial=tuple(State()),
            transitions=self._steps,
            invariants={
                'one result for each item': _one_result,
                'nothing recorded after a cancel': _none_after_cancel,
                'at most once means at most once': _at_most_once,
                'not run means not run': _not_run,
            },
        )

    def _steps(self, fields: tuple[Any, ...]) -> list[tuple[str, tuple]]:
        state = State(*fields)
        steps = list(self._item_steps(state))
        for entry in _RUNNERS:
            steps.extend(self._request_steps(state, entry))
        return [(label, tuple(after)) for label, after in steps]

    def _item_steps(self, state: State) -> Iterator[Step]:
        if not state.cancelled:
            yield 'cancel', state._replace(cancelled=True)
        for runner in _RUNNERS:
            if self._may_grant(state, runner):
                yield (
                    f'grant to {runner}',
                    state._replace(
                        granted=_set(state.granted, runner, True),
                        running=_set(state.running, runner, True),
                        grants=state.grants + 1,
                    ),
                )
            if state.granted[runner]:
                # The lease lapses while the runner may well go on.
                lapsed = _set(state.granted, runner, False)
                yield (
                    f'lease of {runner} lapses',
                    state._replace(granted=lapsed),
                )
            if state.running[runner]:
                yield f'{runner} is lost', _stopped(state, runner)
                yield f'{runner} reports', self._report(state, runner)

    def _may_grant(self, state: State, runner: int) -> bool:
        return (
            not any(state.granted)
            and not state.running[runner]
            and not state.results
            and not state.cancelled
            and state.grants < _MAX_GRANTS
        )

    def _report(self, state: State, runner: int) -> State:
        after = _stopped(state, runner)
        if (
            state.cancelled
            and self._mutation is not Mutation.RECORD_AFTER_CANCEL
        ):
            return after
        if state.results and self._mutation is not Mutation.LAST_RESULT_WINS:
            return after
        return after._replace(
            results=(*state.results, runner),
            after_cancel=state.after_cancel or state.cancelled,
        )

    def _request_steps(self, state: State, entry: int) -> Iterator[Step]:
        if not state.asked[entry]:
            yield f'entry {entry} asks to start', self._ask(state, entry)
        if state.may_run[entry] and not state.sent[entry]:
            yield f'entry {entry} sends', self._send(state, entry)
            # Refused before the engine got a byte: the mark is released.
            refused = state._replace(
                may_run=_set(state.may_run, entry, False),
                mark=-1 if state.mark == entry else state.mark,
                told_not_run=True,
            )
            if not state.answer:
                yield f'entry {entry} is refused', refused
        if state.sent[entry] and not state.answer:
            yield f'entry {entry} records', state._replace(answer='done')
            if self._mutation is Mutation.NOT_RUN_AFTER_SEND:
                said = state._replace(told_not_run=True, answer='refused')
                yield f'entry {entry} says not run', said
        if state.mark == entry and not state.answer:
            yield f'entry {entry} is lost', self._recover(state, entry)

    def _ask(self, state: State, entry: int) -> State:
        asked = state._replace(asked=_set(state.asked, entry, True))
        early = self._mutation is Mutation.RUN_WITHOUT_MARK
        if state.mark < 0 and not state.answer:
            asked = asked._replace(mark=entry)
        elif not early:
            return asked
        return asked._replace(may_run=_set(state.may_run, entry, True))

    def _send(self, state: State, entry: int) -> State:
        return state._replace(
            sent=_set(state.sent, entry, True),
            executed=state.executed + 1,
            # A resend of the caller after a refusal is a new request.
            told_not_run=False,
        )

    def _recover(self, state: State, entry: int) -> State:
        """Settle a request whose entry was lost after the mark."""
        if self._mutation is Mutation.RERUN_AFTER_START:
            return state._replace(
                executed=min(_MAX_SENDS, state.executed + 1),
                answer='rerun',
            )
        return state._replace(answer='unknown')


def _stopped(state: State, runner: int) -> State:
    return state._replace(
        running=_set(state.running, runner, False),
        granted=_set(state.granted, runner, False),
    )


def _set(flags: tuple[bool, bool], at: int, flag: bool) -> tuple[bool, bool]:
    return (flag, flags[1]) if at == 0 else (flags[0], flag)


def _one_result(fields: dict[str, Any]) -> bool:
    return len(fields['results']) <= 1


def _none_after_cancel(fields: dict[str, Any]) -> bool:
    return not fields['after_cancel']


def _at_most_once(fields: dict[str, Any]) -> bool:
    return fields['executed'] <= 1


def _not_run(fields: dict[str, Any]) -> bool:
    return not (fields['told_not_run'] and fields['executed'])
