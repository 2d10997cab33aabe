"""Texts of items joined from runs that did not continue one another.

A release begins: the first of twelve engines has been replaced. Two of the
others crash while they run items of a job, and are back within three seconds;
the new engine is full meanwhile. Later the store machine that holds the job is
killed.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins2'))

from engines import Engine, configuration, route  # noqa: E402
from fleet import Fleet, call, encode_job, free_port, run_case  # noqa: E402

#: Whether the disruption comes; all else is the same without it.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
JOB = '7c41e09b52d6a3f8'
ITEMS = 77
OTHER_JOBS = 10
#: Events of each item; every third one is short.
EVENTS = [60 if number % 3 else 24 for number in range(ITEMS)]


async def main(record, trouble):
    """Play the case; return what broke the rule, empty if nothing did."""
    fleet = Fleet(record)
    old = [
        Engine(fleet, f'old{number}', f'127.0.3.{number}:{free_port()}')
        for number in range(1, 12)
    ]
    new = Engine(fleet, 'new', f'127.0.3.12:{free_port()}', version='v2')
    fleet.engines = old
    try:
        await fleet.start(configuration(3, route('batch')))
        await asyncio.sleep(3)
        return await play(fleet, record, trouble, old, new)
    finally:
        await new.stop()
        await fleet.stop()


async def play(fleet, record, trouble, old, new):
    """Submit a job, bring about the disruptions, and read all results."""
    entry = fleet.entries[0]
    items = [
        (
            f'{number:02x}b2907c14da6f38',
            f'/jobs/{number}',
            {'X-Model': 'm', 'X-Token-Usage': f'250,{EVENTS[number]}'},
            b'body',
            250 + EVENTS[number],
        )
        for number in range(ITEMS)
    ]

    async def submit():
        status, _headers, _body = await call(
            entry.clients, 'POST', '/jobs/7c41e0',
            [('X-Attempt-Id', JOB)], encode_job(items),
        )
        record.note('submitted', status=status)
        return status == 202

    await fleet.wait_for(submit, 15, 'a 202')
    others = asyncio.ensure_future(submit_others(fleet, record))
    await asyncio.sleep(1.0)
    # Other callers have taken its slots.
    new.full = True
    await new.start()
    if trouble:
        await asyncio.gather(old[0].crash(2.4), old[1].crash(2.4))
        await asyncio.sleep(1.5)
        new.full = False
        await asyncio.sleep(2.0)
        kill_holder(fleet, record)
    else:
        new.full = False
    texts = await read_all(fleet, record)
    await others
    for engine in (*old, new):
        record.note('refused', engine=engine.name, requests=engine.refused)
    runs = {}
    for engine in (*old, new):
        runs.update(engine.runs)
    broken = [fault for item, text in texts for fault in find_faults(item, text, runs)]
    for fault in broken:
        record.note('broken', fault=fault)
    return '; '.join(broken[:3])


async def submit_others(fleet, record):
    """Submit small jobs of other clients, some three a second."""
    await asyncio.sleep(3.5)
    for number in range(OTHER_JOBS):
        name = f'9f41e09b52d6a3{number:02x}'
        item = (
            f'f{number:03x}907c14da6f38',
            f'/jobs/other/{number}',
            {'X-Model': 'm', 'X-Token-Usage': '250,3'},
            b'body',
            253,
        )
        status, _headers, _body = await call(
            fleet.entries[number % 2].clients, 'POST', f'/jobs/o{number}',
            [('X-Attempt-Id', name)], encode_job([item]), seconds=2,
        )
        record.note('submitted', job=name, status=status)
        await asyncio.sleep(0.35)


def kill_holder(fleet, record):
    """Kill the store machine's process that last wrote under a condition."""
    heads = [
        shown
        for (kind, name), shown in fleet.store._objects.items()
        if kind == 'ledger' and name.endswith('.head')
    ]
    latest = max(heads, key=lambda head: head['metadata']['revision'])
    holder = latest['specification']['owner']
    for owner in fleet.owners:
        if owner.name == holder:
            owner.signal(signal.SIGKILL)
            record.note('killed', owner=holder)


async def read_all(fleet, record):
    """Read until all items are listed; return the texts of completed ones."""
    texts = []
    position = 0

    async def read():
        nonlocal position
        status, _headers, body = await call(
            fleet.entries[1].clients, 'GET',
            f'/-/lots/{JOB}?watch_after={position}', [('X-Wait-Ms', '1000')],
        )
        if status != 200:
            record.note('read', status=status)
            return False
        shown = json.loads(body)
        for result in shown['results']:
            record.note('result', at=position, **result)
            if result['state'] == 'completed':
                texts.append((result['id'], result['text']))
        position = shown['next_token']
        return position == ITEMS

    await fleet.wait_for(read, 60, 'all results')
    return texts


def find_faults(item, text, runs):
    """Return where a text breaks ORDER."""
    faults = []
    previous = None
    for line in text.split('\n'):
        run, number = (int(part) for part in line[1:].split('.'))
        if previous is not None:
            if number != previous[1] + 1:
                faults.append(f'event {number} behind event {previous[1]}')
            elif run != previous[0] and runs[run][1] != previous[1]:
                faults.append(
                    f'item {runs[run][0]}: behind event {previous[1]} of run '
                    f'{previous[0]} the text goes on with run {run}, which was '
                    f'requested with Last-Event-Id {runs[run][1]}'
                )
        previous = (run, number)
    return faults


run_case(main, FOLDER, TROUBLE)
