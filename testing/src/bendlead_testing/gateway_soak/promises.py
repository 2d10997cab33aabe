"""Check what clients saw against the engines' journal."""

import math
import traceback
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from bendlead_testing.gateway_soak.answers import (
    DEADLY,
    DEADLY_PART_MARK,
    seal_of,
    text_of,
    without_versions,
)
from bendlead_testing.gateway_soak.budget_promises import (
    attempts,
    deadlines,
)
from bendlead_testing.gateway_soak.engine_journal import EngineJournal
from bendlead_testing.gateway_soak.owed_promises import (
    describe_missing,
    held_once,
    owed,
)
from bendlead_testing.gateway_soak.released_promises import released
from bendlead_testing.gateway_soak.sightings import (
    CONTACT_SECONDS,
    ENGINE_ENDED,
    RELEASED_SECONDS,
    ROUTE_SECONDS,
    Attempt,
    Sightings,
    calm,
)
from bendlead_testing.gateway_soak.teams import SoakTeam
from bendlead_testing.gateway_soak.version_promises import (
    one_version,
    resumed,
)

#: Bounds of the users' sheets (drain_ms, configuration_ms, cancel_ms), and a
#: second each for a busy test machine (s).
_DRAIN_SECONDS = 3.0
_CONFIG_SECONDS = 3.0
_CANCEL_SECONDS = 4.0
#: Bound of the sheets (loss_slack_ms) and the same again (s): what ends sooner
#: may have crossed the close of its connection.
_LOSS_SLACK_SECONDS = 0.4
#: Requests that may have no answer this long (s) after their route's time, as a
#: part of those that reach it, and how many always may.
_OVERDUE_SECONDS = 0.4
_OVERDUE_SHARE = 0.25
_OVERDUE_FEW = 3
_GONE_SECONDS = 1.5
#: Part of the abandoned runs that may go on, and how many always may.
_GONE_SHARE = 0.25
_GONE_FEW = 3
_PROMISES = frozenset((408, 421, 429, 503))
_MOST_FAILED_RUNS = 9
_MOST_IMPOSSIBLE_RUNS = 2
#: A request under which this many engines have ended reaches others this often
#: at most, once all may know it (s). Here links take connections for an engine
#: that is gone, so its end is known when it leaves the list, 1.5 s later.
_ENDS_UNTIL_KNOWN = 3
_PART_ENDS_UNTIL_KNOWN = 5
_KNOWN_SECONDS = CONTACT_SECONDS + 2.0
_LATE_RETRIES = 3
#: Served in the calm at the end, as a share of what was asked.
_RECOVERED_SHARE = 0.8
_LEAST_AFTER = 10
#: Disruptions in which an engine fails all it gets, and the most callers that
#: may lose a request to one such engine.
_FAILING = frozenset(('engine fail-fast', 'engine reset-all'))
_MOST_LOST = 10
#: Requests from which on a share says something, and what chance explains.
_LEAST_SENT = 60
_FAIR_SLACK = 0.1
#: Memory of the smallest VM supported (MB).
_MOST_MEMORY_MB = 160
_UNJUDGED = 'unjudged'


@dataclass(frozen=True)
class Breach:
    """Tell which promise was broken, and how."""

    promise: str
    detail: str


def check(seen: Sightings, journal: EngineJournal) -> list[Breach]:
    """Check every promise."""
    breaches = [
        breach
        for name, rule in _RULES.items()
        for breach in _judge(name, rule, seen, journal)
    ]
    breaches.extend(Breach('ends', one) for one in seen.unasked_ends)
    return breaches


def _judge(
    name: str, rule: '_Rule', seen: Sightings, journal: EngineJournal
) -> list[Breach]:
    try:
        return [Breach(name, detail) for detail in rule(seen, journal)]
    except Exception as error:
        # The others are checked all the same.
        traceback.print_exc()
        return [Breach(_UNJUDGED, f'check {name}: {error!r}')]


def _unjudged(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """No part of the soak died: what it did not do or see is not judged."""
    yield from seen.deaths


def _tracebacks(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """No process of ours prints a traceback."""
    for name, lines in seen.tracebacks.items():
        for line in lines:
            yield f'{name}: {line}'


def _mixed(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """A success is whole, sealed, and the request's own."""
    for one in seen.attempts:
        if not one.whole or one.status != 200:
            continue
        right = '\n'.join(
            text_of(one.request, number)
            for number in range(one.after + 1, one.total + 1)
        )
        if one.seal != seal_of(one.request):
            yield f'{one.request} at {one.entry}: seal {one.seal}'
        elif without_versions(one.text) != right:
            yield f'{one.request} at {one.entry}: text {one.text!r}'


def _out_of_order(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """What came of a stream before it broke is its beginning."""
    for one in seen.attempts:
        if one.whole or one.status != 200:
            continue
        text = without_versions(one.text)
        numbers = [line.rpartition('/')[2] for line in text.split('\n')]
        right = [
            str(one.after + number) for number in range(1, len(numbers) + 1)
        ]
        if one.text and numbers != right:
            yield f'{one.request} at {one.entry}: events {numbers}'


def _twice(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """What may run once runs once."""
    for one in seen.attempts:
        runs = len(journal.starts.get(one.request, ()))
        if not one.kind.repeatable and runs > 1:
            yield f'{one.request} ran {runs} times'


def _refused(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """A refusal that says not run is true, then and later."""
    for one in seen.attempts:
        promised = one.whole and one.status in _PROMISES
        if promised and not one.kind.repeatable:
            if one.request in journal.starts:
                yield f'{one.request} got {one.status} and ran'
    for job in seen.jobs.values():
        ran = [item for item in job.items if item in journal.starts]
        if job.only_refused and ran:
            yield f'job {job.job} was refused, {len(ran)} items ran'


def _unasked(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """Engines get only what clients sent, unaltered."""
    right = {one.request: (one.path, one.body) for one in seen.attempts}
    for job in seen.jobs.values():
        right.update(
            {item: (f'/jobs/{item}', job.bodies[item]) for item in job.items}
        )
    for line in journal.arrivals:
        if right.get(line['request']) != (line['path'], line['body']):
            yield f'{line["engine"]} got {line["request"]} {line["path"]}'


def _lost(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """What was read whole is answered, whatever is planned or silent."""
    passed_on = {line['request'] for line in journal.arrivals}
    passed_on.update(journal.starts)
    for one in seen.attempts:
        if one.whole or one.left or not one.ended:
            continue
        crossing = one.ended - one.sent <= _LOSS_SLACK_SECONDS
        if crossing and one.request not in passed_on:
            continue
        if one.ended - one.sent >= ROUTE_SECONDS:
            # Its route allows it no more time.
            continue
        since = one.sent - CONTACT_SECONDS
        if not calm(seen.troubles, since, one.ended, also_planned=False):
            continue
        if not _engine_ended_it(one.request, journal):
            took = one.ended - one.sent
            yield f'{one.request} at {one.entry} was cut off after {took:.2f} s'


def _engine_ended_it(request: str, journal: EngineJournal) -> bool:
    endings = {line['ending'] for line in journal.ends.get(request, ())}
    return bool(endings - {'done', 'dropped'})


def _unanswered(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """Calls of jobs and probes are answered too."""
    for one in seen.calls:
        took = one.ended - one.sent
        if one.answered or one.ended >= one.patient_until:
            continue
        if took <= _LOSS_SLACK_SECONDS or took >= ROUTE_SECONDS:
            continue
        since = one.sent - CONTACT_SECONDS
        if not calm(seen.troubles, since, one.ended, also_planned=False):
            continue
        if not _engine_ended_it(one.name, journal):
            yield f'{one.name} at {one.entry}: no answer for {took:.1f} s'


def _entry_in_touch(seen: Sightings, one: Attempt) -> bool:
    """Tell whether nothing was wrong, and its entry kept running for long."""
    since = one.sent - CONTACT_SECONDS
    near = [
        trouble
        for trouble in seen.troubles
        if not trouble.planned or trouble.target == one.entry
    ]
    ready = seen.ready_since.get(one.entry, math.inf)
    return ready < since and calm(near, since, one.ended)


def _overdue(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """Who reaches the time of a route is told before the client leaves."""
    reached = overdue = 0
    for one in seen.attempts:
        took = one.ended - one.sent
        if took < ROUTE_SECONDS:
            continue
        if _entry_in_touch(seen, one):
            reached += 1
            overdue += bool(one.left) and took > (
                ROUTE_SECONDS + _OVERDUE_SECONDS
            )
    if overdue > max(_OVERDUE_FEW, reached * _OVERDUE_SHARE):
        yield f'{overdue} of {reached} had no answer after their time'


def _drain(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """A leaving engine gets no new work after the bound."""
    for line in journal.arrivals:
        acknowledged = journal.draining.get(line['engine'])
        if acknowledged is None:
            continue
        late = line['at'] - acknowledged
        since = acknowledged - CONTACT_SECONDS
        if late <= _DRAIN_SECONDS:
            continue
        if calm(seen.troubles, since, line['at'], also_planned=False):
            yield f'{line["engine"]} got {line["request"]} {late:.1f} s late'


def _config(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """An accepted configuration is in force within its bound."""
    for probe in seen.probes:
        acknowledged = seen.versions[probe.version]
        later = seen.versions.get(probe.version + 2)
        since = acknowledged - CONTACT_SECONDS
        if not calm(seen.troubles, since, probe.sent, also_planned=False):
            continue
        if not probe.found and later is None:
            if probe.sent > acknowledged + _CONFIG_SECONDS:
                yield f'{probe.entry} lacks version {probe.version}'
        elif probe.found and later and probe.sent > later + _CONFIG_SECONDS:
            yield f'{probe.entry} still has version {probe.version}'


def _reverted(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """No process goes back to an older configuration."""
    highest: dict[tuple[str, int], int] = defaultdict(int)
    for probe in sorted(seen.probes, key=lambda one: one.sent):
        life = (probe.entry, probe.life)
        if not probe.found:
            continue
        # A route of version N is there in N and N + 1 alone.
        if probe.version + 1 < highest[life]:
            yield f'{probe.entry} went back to {probe.version}'
        highest[life] = max(highest[life], probe.version)


def _jobs(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """Each item of an accepted job ends once, with its own whole text."""
    for job in seen.jobs.values():
        yield from job.wrongs
        if not job.accepted:
            continue
        listed = [name for name, _state, _text in job.results.values()]
        if len(set(listed)) != len(listed):
            yield f'job {job.job}: an item stands twice'
        missing = len(job.missing)
        if missing and not job.end_answered:
            yield (
                f'job {job.job}: {missing} of {len(job.items)} missing, '
                + describe_missing(seen, journal, job)
            )
        for item, state, text in job.results.values():
            yield from _judge_item(job.items, item, state, text)
        for item in job.items:
            yield from _judge_poison(item, journal)


def _judge_item(
    items: dict[str, int], item: str, state: str, text: str
) -> Iterator[str]:
    if item not in items:
        yield f'{item} is of another job'
        return
    right = '\n'.join(
        text_of(item, number) for number in range(1, items[item] + 1)
    )
    wrong = without_versions(text) != right
    if state == 'completed' and (wrong or '-bad' in item):
        yield f'{item} completed with text {text[:60]!r}'
    if state != 'completed' and '-bad' not in item:
        yield f'{item} was given up'


def _judge_poison(item: str, journal: EngineJournal) -> Iterator[str]:
    runs = len(journal.starts.get(item, ()))
    if item.endswith('bad500') and runs > _MOST_FAILED_RUNS:
        yield f'{item} failed {runs} times'
    if item.endswith('bad422') and runs > _MOST_IMPOSSIBLE_RUNS:
        yield f'{item} was tried {runs} times'


def _ended_jobs(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """Nothing of an ended job starts after the bound."""
    for job in seen.jobs.values():
        for item in job.items if job.end_answered else ():
            for line in journal.starts.get(item, ()):
                late = line['at'] - job.end_answered
                if late > _CANCEL_SECONDS:
                    yield f'{item} ran {late:.1f} s after the end'


def _gone(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """What a client gave up does not keep engines at work."""
    left = working = 0
    for one in seen.attempts:
        starts = journal.starts.get(one.request)
        since = one.left - CONTACT_SECONDS
        until = one.left + _GONE_SECONDS
        if not one.left or not starts or starts[0]['at'] > one.left:
            continue
        if not calm(seen.troubles, since, until):
            continue
        left += 1
        ends = [line['at'] for line in journal.ends.get(one.request, ())]
        working += not ends or max(ends) > until
    if working > max(_GONE_FEW, left * _GONE_SHARE):
        yield f'{working} of {left} abandoned requests went on'


def _crashed(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """Few engines get a request under which three have ended."""
    yield from _sent_late(seen, journal, DEADLY, _ENDS_UNTIL_KNOWN)


def _crashed_by_part(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """Few engines get a part of prompts under which five have ended."""
    ends = _PART_ENDS_UNTIL_KNOWN
    yield from _sent_late(seen, journal, DEADLY_PART_MARK, ends)


def _sent_late(
    seen: Sightings, journal: EngineJournal, mark: str, until_known: int
) -> Iterator[str]:
    ended = sorted(
        one['at'] for one in journal.crashes if one['request'].endswith(mark)
    )
    if len(ended) < until_known:
        return
    known = ended[until_known - 1] + _KNOWN_SECONDS
    others = [one for one in seen.troubles if one.name != ENGINE_ENDED]
    late = 0
    for line in journal.arrivals:
        at = line['at']
        if line['request'].endswith(mark) and known < at < seen.deadly_until:
            late += calm(others, at - CONTACT_SECONDS, at)
    if late > _LATE_RETRIES:
        yield f'sent {late} times more, {len(ended)} engines ended in all'


def _recovered(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """After all is healed requests are served again."""
    after = _asked_in_calm(seen)
    served = sum(one.whole and one.status == 200 for one in after)
    if len(after) < _LEAST_AFTER or served < len(after) * _RECOVERED_SHARE:
        yield f'{served} of {len(after)} served after all was healed'


def _asked_in_calm(seen: Sightings) -> Sequence[Attempt]:
    """Give the requests after the last disruption, enough of them if possible.

    What crashes engines for ever is tried again at any time: where one ends
    shortly before the end, the calm before that is judged too.
    """
    # The end of a disruption holds the time it excuses already.
    ends = [one for one in seen.troubles if one.name == ENGINE_ENDED]
    latest = max(ends, key=lambda one: one.began, default=None)
    found = _asked(seen, seen.healed, math.inf)
    if latest is None or len(found) >= _LEAST_AFTER:
        return found
    others = [one.ended for one in seen.troubles if one is not latest]
    before = _asked(seen, max(others, default=0), latest.began)
    return [*before, *found]


def _asked(seen: Sightings, since: float, until: float) -> Sequence[Attempt]:
    """Give the requests sent and ended in a span of time."""
    # Those that are sent alike have a promise of their own.
    return [
        one
        for one in seen.attempts
        if since < one.sent < until
        and one.ended < until
        and not one.left
        and not one.alike
    ]


def _sound_refused(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """In the calm nobody is refused for crashes of engines before it."""
    # The end of a disruption holds the time that it excuses already.
    since = seen.healed - CONTACT_SECONDS + RELEASED_SECONDS
    refused = [
        one
        for one in seen.attempts
        if one.alike and one.sent > since and one.status == 503
    ]
    if refused:
        yield f'{len(refused)} requests that many callers send alike'


def _failing_engines(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """An engine that fails all it gets loses few callers their request."""
    for trouble in seen.troubles:
        if trouble.name not in _FAILING:
            continue
        others = [one for one in seen.troubles if one is not trouble]
        since = trouble.began - CONTACT_SECONDS
        if not calm(others, since, trouble.ended, also_planned=False):
            continue
        lost = [
            one.request
            for one in seen.attempts
            if not one.kind.repeatable
            and trouble.began < one.sent < trouble.ended
            and _engine_ended_it(one.request, journal)
        ]
        if len(lost) > _MOST_LOST:
            yield f'{trouble.name} at {trouble.target}: {len(lost)} lost'


def _fair(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """A team that sends its usual is served as well as a hot one."""
    shares: dict[SoakTeam, float] = {}
    hot = [one for one in seen.troubles if one.name == 'hot team']
    for team in SoakTeam:
        sent = [
            one
            for one in seen.attempts
            if one.team is team
            and not one.left
            and not calm(hot, one.sent, one.sent)
        ]
        if len(sent) < _LEAST_SENT:
            return
        served = sum(one.whole and one.status == 200 for one in sent)
        shares[team] = served / len(sent)
    if shares[SoakTeam.QUIET] < shares[SoakTeam.HOT] - _FAIR_SLACK:
        yield f'served {shares[SoakTeam.QUIET]:.2f} of quiet, ' + (
            f'{shares[SoakTeam.HOT]:.2f} of hot'
        )


def _memory(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """No process holds more than the smallest VM has."""
    for name, peak in seen.peaks.items():
        if peak > _MOST_MEMORY_MB:
            yield f'{name} held {peak:.0f} MB'


_Rule = Callable[[Sightings, EngineJournal], Iterator[str]]
_RULES: dict[str, _Rule] = {
    _UNJUDGED: _unjudged,
    'traceback': _tracebacks,
    'mixed': _mixed,
    'order': _out_of_order,
    'versions': one_version,
    'resumed': resumed,
    'twice': _twice,
    'attempts': attempts,
    'deadlines': deadlines,
    'refused': _refused,
    'unasked': _unasked,
    'lost': _lost,
    'unanswered': _unanswered,
    'overdue': _overdue,
    'drain': _drain,
    'config': _config,
    'reverted': _reverted,
    'jobs': _jobs,
    'ended jobs': _ended_jobs,
    'owed': owed,
    'held once': held_once,
    'gone': _gone,
    'crashed': _crashed,
    'crashed by part': _crashed_by_part,
    'sound refused': _sound_refused,
    'released': released,
    'recovered': _recovered,
    'failing engines': _failing_engines,
    'fair': _fair,
    'memory': _memory,
}
RULE_NAMES: Sequence[str] = tuple(_RULES)
