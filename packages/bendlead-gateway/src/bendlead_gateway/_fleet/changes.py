"""Encode reports to a peer in another data hall as changes to the previous one.

Reports are compared field by field, so fields added to ``NodeReport`` or
``ToldLoad`` are covered without changes here. Numbers are sent as differences,
mappings as the entries that differ, and all other fields in full. Names are
sent once per link and then referred to by index.

Each side acknowledges the number of the last report that it received. If that
is not the number sent last (a response was lost, a process restarted, or both
sides asked at once), the next report is sent in full.
"""

import random
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import msgspec
from bendlead_schema.gateway import NodeReport, ReportChange, ToldLoad
from msgspec import UNSET, Struct, field

from bendlead_gateway.json_values import DECODE_ERRORS

#: Upper bound of the random first number, which tells incarnations apart.
_FIRST_NUMBER_BOUND = 1_000_000
#: Names sent on a link before it starts over with a full report, so that names
#: of removed engines do not accumulate.
_MAX_NAMES = 8192
#: An age is not sent again while the moment it stands for moves by less.
_AGE_TOLERANCE_MS = 30
_MS_PER_SECOND = 1000
_TOLD = 'told'
_ANSWERED = 'answered_ms'
_FAILED = 'failed_ms'

_DECODE_ERRORS = (LookupError, TypeError, *DECODE_ERRORS)

#: Fields of a report, or of a relayed load, by name.
Fields = dict[str, Any]


class ReportGapError(Exception):
    """A change is based on a report that was not the last one received."""


class UnreadableChangeError(ValueError):
    """A change refers to an unknown name or is malformed."""


class _AgeTracker:
    """Track ages that grow with time, so that only jumps are sent."""

    def __init__(self) -> None:
        self._sent: dict[str, tuple[int, float]] = {}

    def replace(self, fields: Fields, now: float) -> None:
        """Replace ages by those last sent where the peer can derive them."""
        current = {name: fields[name] for name in (_ANSWERED, _FAILED)}
        derived = {name: self.current(name, now) for name in current}
        same = (
            _is_close(current[_FAILED], derived[_FAILED])
            and (current[_ANSWERED] < 0) == (derived[_ANSWERED] < 0)
            and _has_recovered(current) == _has_recovered(derived)
        )
        for name, age in current.items():
            sent = self._sent.get(name, (-1, now))
            if not same:
                # An unchanged age would be left out of the change.
                sent = (age + int(age >= 0 and age == sent[0]), now)
            self._sent[name] = sent
            fields[name] = sent[0]

    def store(self, fields: Mapping[str, Any], now: float) -> None:
        """Store the ages contained in a received change."""
        for name in (_ANSWERED, _FAILED):
            if name in fields:
                self._sent[name] = (fields[name], now)

    def current(self, name: str, now: float) -> int:
        """Return an age as of now in milliseconds; -1 if it never was."""
        age, at = self._sent.get(name, (-1, now))
        return age if age < 0 else age + round((now - at) * _MS_PER_SECOND)


def _is_close(current: int, derived: int) -> bool:
    if current < 0 or derived < 0:
        return current == derived
    return abs(current - derived) <= _AGE_TOLERANCE_MS


def _has_recovered(ages: Mapping[str, int]) -> bool:
    """Return whether the service has answered since its last failure."""
    return 0 <= ages[_ANSWERED] < ages[_FAILED]


class ChangeWriter:
    """Encode each report as its differences from the previous one."""

    def __init__(self) -> None:
        self._number = random.randrange(_FIRST_NUMBER_BOUND)
        self._needs_full = False
        self._restart()

    @property
    def must_resend_full(self) -> bool:
        """Whether the peer has acknowledged another report than the last."""
        return self._needs_full

    def confirm(self, number: int) -> bool:
        """Process the peer's acknowledgement; return whether it is current."""
        self._confirmed = number == self._number and bool(self._names)
        self._needs_full = not self._confirmed
        return self._confirmed

    def write(
        self, report: NodeReport, received: int, now: float
    ) -> ReportChange:
        """Encode a report, with the number of the last one received."""
        if not self._confirmed or len(self._names) > _MAX_NAMES:
            self._restart()
        base = self._number if self._confirmed else 0
        self._number += 1
        self._needs_full = False
        # Unconfirmed until the peer acknowledges it.
        self._confirmed = False
        names_before = len(self._names)
        fields = msgspec.to_builtins(report)
        relayed = [self._relayed_changes(load) for load in fields.pop(_TOLD)]
        self._ages.replace(fields, now)
        changes = list(self._diff_fields(self._fields, fields))
        self._fields = fields
        return ReportChange(
            node=report.node,
            number=self._number,
            base=base or UNSET,
            holds=received or UNSET,
            names=list(self._names)[names_before:] or UNSET,
            changes=changes or UNSET,
            told=relayed or UNSET,
        )

    def _restart(self) -> None:
        self._confirmed = False
        self._names: dict[str, int] = {}
        self._fields: Fields = {}
        self._nodes: dict[str, Fields] = {}
        self._ages = _AgeTracker()

    def _relayed_changes(self, fields: Fields) -> list[Any]:
        node = fields.pop('node')
        age = fields.pop('age_ms')
        changes = self._diff_fields(self._nodes.get(node, {}), fields)
        self._nodes[node] = fields
        return [self._index_of(node), age, *changes]

    def _diff_fields(self, previous: Fields, latest: Fields) -> Iterator[Any]:
        for name, content in latest.items():
            before = previous.get(name)
            if content != before or name not in previous:
                yield self._index_of(name)
                yield self._diff_value(before, content)

    def _diff_value(self, before: Any, content: Any) -> Any:
        if isinstance(content, dict):
            return list(self._diff_mapping(before or {}, content))
        if _is_number(content):
            return content - (before or 0)
        return content

    def _diff_mapping(self, previous: Fields, latest: Fields) -> Iterator[Any]:
        for name, content in latest.items():
            if previous.get(name) != content:
                yield self._index_of(name)
                yield content
        for name in previous.keys() - latest.keys():
            yield self._index_of(name)
            yield None

    def _index_of(self, name: str) -> int:
        return self._names.setdefault(name, len(self._names))


class ChangeReader:
    """Decode changes into full reports."""

    def __init__(self) -> None:
        self._restart()

    @property
    def last_number(self) -> int:
        """Number of the last report received; 0 if the next must be full."""
        return self._number

    def read(self, change: ReportChange, now: float) -> NodeReport:
        """Decode a report.

        Raises ReportGapError or UnreadableChangeError; then the next
        report must be full.
        """
        if change.base and change.base != self._number:
            last = self._number
            self._restart()
            raise ReportGapError(
                f'change is based on report {change.base}, last received {last}'
            )
        if not change.base:
            self._restart()
        try:
            report = self._read(change, now)
        except _DECODE_ERRORS as error:
            self._restart()
            raise UnreadableChangeError(str(error)) from error
        self._number = change.number
        return report

    def _read(self, change: ReportChange, now: float) -> NodeReport:
        self._names.extend(change.names)
        changed = self._apply_changes(
            self._fields, change.changes, _REPORT_TYPES
        )
        self._ages.store(changed, now)
        fields = {'node': change.node, **self._fields}
        for name in (_ANSWERED, _FAILED):
            fields[name] = self._ages.current(name, now)
        fields[_TOLD] = [self._read_relayed(load) for load in change.told]
        return msgspec.convert(fields, NodeReport)

    def _restart(self) -> None:
        self._number = 0
        self._names: list[str] = []
        self._fields: Fields = {}
        self._nodes: dict[str, Fields] = {}
        self._ages = _AgeTracker()

    def _read_relayed(self, relayed: Sequence[Any]) -> Fields:
        index, age, *changes = relayed
        node = self._name_at(index)
        known = self._nodes.setdefault(node, {})
        self._apply_changes(known, changes, _RELAYED_TYPES)
        return {**known, 'node': node, 'age_ms': age}

    def _apply_changes(
        self, known: Fields, changes: Sequence[Any], types: Mapping[str, type]
    ) -> Fields:
        """Update the fields known to this version and return these."""
        changed: Fields = {}
        for index, difference in _pairs(changes):
            name = self._name_at(index)
            expected = types.get(name)
            if expected is dict:
                changed[name] = self._merge_mapping(
                    known.get(name, {}), difference
                )
            elif expected is int:
                changed[name] = known.get(name, 0) + difference
            elif expected is not None:
                changed[name] = difference
        known.update(changed)
        return changed

    def _merge_mapping(self, known: Fields, entries: Sequence[Any]) -> Fields:
        # Copied, since earlier reports may still refer to the mapping.
        merged = dict(known)
        for index, content in _pairs(entries):
            if content is None:
                merged.pop(self._name_at(index), None)
            else:
                merged[self._name_at(index)] = content
        return merged

    def _name_at(self, index: int) -> str:
        if index < 0:
            raise LookupError(f'invalid name index {index}')
        return self._names[index]


class ChangeCodec(Struct):
    """Codecs for both directions of the reports exchanged with a peer."""

    writer: ChangeWriter = field(default_factory=ChangeWriter)
    reader: ChangeReader = field(default_factory=ChangeReader)


def _pairs(flat: Sequence[Any]) -> Iterator[tuple[Any, Any]]:
    return zip(flat[::2], flat[1::2], strict=True)


def _is_number(content: Any) -> bool:
    return isinstance(content, int) and not isinstance(content, bool)


def _field_types(example: Struct) -> dict[str, type]:
    """Return the type of each field, taken from an example."""
    plain = msgspec.to_builtins(example)
    return {name: type(content) for name, content in plain.items()}


_REPORT_TYPES = _field_types(NodeReport(node='', sound=True, leaving=False))
_RELAYED_TYPES = _field_types(ToldLoad(node='', age_ms=0))
