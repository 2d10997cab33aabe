"""Estimate what a perfect scheduler could earn on each day of a site file.

A flow of requests instead of single ones: the scheduler knows all loads at
once, starts online requests first, and gives what is left to the items that
are due first. What no scheduler could help is taken off: processes that are
down, jobs that come while the store is down, requests on engines that crash.
Prices are left out. It is an estimate, not a proof: loads vary about their
means, and a disruption that strikes by lot is taken at its share.
"""

import argparse
import bisect
import json
import pathlib
import sys
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

_STEP = 0.1
_WINDOW = 2.0
_WORST_WINDOWS = 2
_MS = 1000
#: A process of ours serves this long (s) after its machine is back.
_START_SECONDS = 0.5
_ROW = '{:10} {:>6} {:>8} {:>8} {:>8} {:>9}'


@dataclass(frozen=True)
class Work:
    """Hold one kind of request: worth, place-seconds, and what is due when."""

    name: str
    batch: bool
    resumable: bool
    worth: float
    late_worth: float
    seconds: float
    due: float


@dataclass
class Flow:
    """Count the worth owed and earned in each step of a day."""

    owed: list[float]
    earned: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start with nothing earned."""
        self.earned = [0.0] * len(self.owed)

    @property
    def whole(self) -> float:
        """Give the share of the worth that was earned."""
        return sum(self.earned) / sum(self.owed)

    @property
    def worst(self) -> float:
        """Give the mean share of the two worst windows."""
        size = round(_WINDOW / _STEP)
        shares = []
        for at in range(0, len(self.owed) - size + 1, size):
            owed = sum(self.owed[at : at + size])
            if owed:
                shares.append(sum(self.earned[at : at + size]) / owed)
        return sum(sorted(shares)[:_WORST_WINDOWS]) / _WORST_WINDOWS


class Site:
    """Read traffic, engines and goals of a site file."""

    def __init__(self, text: str) -> None:
        self._whole = tomllib.loads(text)
        llm = self._whole['services'][0]['llm']
        self._pace = llm['step_ms'] * llm['stride'] / _MS
        self._share = self._whole.get('thin', 1.0)
        servers = self._whole['services'][0]['servers']
        engines = sum(one['count'] for one in servers)
        self.places = (
            engines * self._whole['services'][0]['slots'] * self._share
        )
        self.length = self._whole['length_s']
        self.goal: Mapping[str, float] = self._whole['goal']
        self.days: Sequence[Mapping[str, Any]] = self._whole['day']
        self.works = {
            one['name']: self._work(one) for one in self._whole['classes']
        }

    def arrivals(self, name: str, at: float) -> float:
        """Give the requests a second of a kind at a time."""
        rate = 0.0
        for one in self._whole['traffic']:
            mix = one['mix']
            if name not in mix:
                continue
            part = mix[name] / sum(mix.values())
            rate += one['per_s'] * part * _shape(one['shape'], at)
        items = self._items(name)
        return rate * self._share * items

    def _items(self, name: str) -> float:
        for one in self._whole['classes']:
            if one['name'] == name and 'lot' in one:
                return one['lot']['items']['mean']
        return 1.0

    def _work(self, found: Mapping[str, Any]) -> Work:
        pieces = found['stream']['pieces']['mean']
        lot = found.get('lot')
        due = lot['run_aim_ms'] if lot else found['aim_ms']
        return Work(
            found['name'],
            lot is not None,
            found['stream']['resume'],
            found['worth'],
            found['late_worth'],
            pieces * self._pace,
            due / _MS,
        )


def _shape(shape: Mapping[str, Any], at: float) -> float:
    if shape['kind'] != 'steps':
        return 1.0
    starts = [start for start, _factor in shape['steps']]
    found = bisect.bisect_right(starts, at) - 1
    return shape['steps'][max(found, 0)][1]


class Day:
    """Play one day as a flow."""

    def __init__(self, site: Site, day: Mapping[str, Any]) -> None:
        self._site = site
        self._events = [*day.get('plan', ()), *day.get('faults', ())]
        self._closing = day.get('closing')
        self._steps = round(site.length / _STEP)

    def play(self) -> Flow:
        """Give what is owed and what could be earned."""
        owed = [self._owed(number * _STEP) for number in range(self._steps)]
        flow = Flow(owed)
        waiting: list[list[float]] = []
        for number in range(self._steps):
            self._step(flow, number, waiting)
        return flow

    def _owed(self, at: float) -> float:
        return sum(
            self._site.arrivals(work.name, at) * work.worth * _STEP
            for work in self._site.works.values()
        )

    def _step(
        self, flow: Flow, number: int, waiting: list[list[float]]
    ) -> None:
        at = number * _STEP
        room = self._places(at) * _STEP
        for work in self._site.works.values():
            come = self._site.arrivals(work.name, at) * _STEP
            if work.batch:
                worth = work.late_worth if self._store_down(at) else work.worth
                waiting.append([at + work.due, come, number, worth])
                continue
            served = min(come, room / work.seconds)
            room -= served * work.seconds
            broken = self._broken(work, at) * served
            flow.earned[number] += (served - broken) * work.worth
            flow.earned[number] += (come - served) * work.late_worth
        self._run_items(flow, at, room, waiting)

    def _run_items(
        self, flow: Flow, at: float, room: float, waiting: list[list[float]]
    ) -> None:
        work = next(one for one in self._site.works.values() if one.batch)
        while waiting and room > 0:
            due, items, number, worth = waiting[0]
            run = min(items, room / work.seconds)
            room -= run * work.seconds
            earned = worth if at <= due else work.late_worth
            flow.earned[int(number)] += run * earned
            waiting[0][1] -= run
            if waiting[0][1] > 0:
                return
            waiting.pop(0)

    def _places(self, at: float) -> float:
        if self._all_down(at):
            return 0
        places = self._site.places
        for event in self._events:
            places *= 1 - self._lost_share(event, at)
        return places

    def _lost_share(self, event: Mapping[str, Any], at: float) -> float:
        since = at - event['at']
        share = event.get('share', 0.15)
        if event['kind'] == 'srv_crash':
            gone = 'gone' in event.get('how', '')
            lasts = self._site.length if gone else event.get('for_s', 5.0)
            return share if 0 <= since < lasts else 0
        if event['kind'] == 'scale_in':
            return share if since >= event.get('x', 2.0) else 0
        return 0

    def _broken(self, work: Work, at: float) -> float:
        """Give the share of online requests that a crash cuts off."""
        if work.resumable:
            return 0
        return sum(
            event.get('share', 0.15)
            for event in self._events
            if event['kind'] == 'srv_crash'
            and 0 <= event['at'] - at < work.seconds
        )

    def _store_down(self, at: float) -> bool:
        return any(
            event['kind'] == 'platform_down'
            and 'nodes' not in event.get('how', '')
            and event['at'] <= at < event['at'] + event.get('for_s', 5.0)
            for event in self._events
        )

    def _all_down(self, at: float) -> bool:
        """Tell whether all processes are down, by a herd's kill in the day."""
        return any(
            event['kind'] == 'herd_kill'
            and event.get('how') == 'power'
            and event.get('share', 0.6) >= 1
            and event['at']
            <= at
            < event['at'] + event.get('for_s', 0) + _START_SECONDS
            for event in self._events
        )


def measured(path: pathlib.Path) -> dict[str, dict[str, float]]:
    """Read the parts of each day of a score's journal entry."""
    found = json.loads(path.read_text(encoding='utf-8'))
    return {
        day['name']: {name: value for name, _weight, value in day['parts']}
        for day in found['days']
    }


def main() -> None:
    """Print the estimate for each day, beside a score if one is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('site', type=pathlib.Path)
    parser.add_argument('--score', type=pathlib.Path, help='a journal entry')
    asked = parser.parse_args()
    site = Site(asked.site.read_text(encoding='utf-8'))
    scored = measured(asked.score) if asked.score else {}
    heads = ('day', 'load', 'whole', 'scored', 'windows', 'scored')
    sys.stdout.write(f'{_ROW.format(*heads)}\n')
    for day in site.days:
        flow = Day(site, day).play()
        parts = scored.get(day['name'], {})
        cells = (
            day['name'],
            f'{_load(site):.2f}',
            f'{flow.whole:.3f}',
            _shown(parts, 'whole day'),
            f'{flow.worst:.3f}',
            _shown(parts, 'worst windows'),
        )
        sys.stdout.write(f'{_ROW.format(*cells)}\n')


def _shown(parts: Mapping[str, float], name: str) -> str:
    return f'{parts[name]:.3f}' if name in parts else '-'


def _load(site: Site) -> float:
    """Give the part of all places that the traffic takes on average."""
    steps = round(site.length / _STEP)
    taken = sum(
        site.arrivals(work.name, number * _STEP) * work.seconds
        for number in range(steps)
        for work in site.works.values()
    )
    return taken / steps / site.places


if __name__ == '__main__':
    main()
