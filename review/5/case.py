"""Truncated results of items whose engine crashed and started again unseen.

One answer each of three of six engines has neither a length nor chunks: the
stream ends with its connection. The link to one of these engines is cut for a
second, and behind the cut the engine crashes and starts again.
"""

import asyncio
import json
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins2'))

from engines import Engine, configuration, route  # noqa: E402
from fleet import (  # noqa: E402
    CannotRunError,
    Fleet,
    call,
    encode_job,
    free_port,
    run_case,
)
from link import Link  # noqa: E402

#: Whether the disruption comes; all else is the same without it.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
JOB = '2f41e09b52d6a3f8'
ITEMS = 30
EVENTS = 40
#: Jobs of short items before, whose answers all have chunks.
EARLIER_JOBS = 2
EARLIER_ITEMS = 180
EARLIER_EVENTS = 2
#: Least number of them at an engine with one answer without a length.
LEAST_EARLIER = 33


class UnframedEngine(Engine):
    """One answer, once told so, ends with its connection alone."""

    odd = False

    async def run(self, run, request, marks, writer):
        """Stream the events behind Last-Event-Id."""
        if not self.odd:
            return await super().run(run, request, marks, writer)
        self.odd = False
        item, after = self.runs[run]
        self._fleet.record.note('unframed', run=run, item=item)
        head = ['HTTP/1.1 200 OK', *(f'{name}: {text}' for name, text in marks)]
        head += ['X-Response-Seal: s', 'Content-Type: text/event-stream']
        head += ['Connection: close', '', '']
        await asyncio.sleep(self.first)
        writer.write('\r\n'.join(head).encode())
        for number in range((after or 0) + 1, EVENTS + 1):
            writer.write(f'id: {number}\ndata: r{run}.{number}\n\n'.encode())
            await writer.drain()
            await asyncio.sleep(self.pace[0])
        return False


async def main(record, trouble):
    """Play the case; return what broke the rule, empty if nothing did."""
    fleet = Fleet(record)
    links = []
    for number in range(1, 7):
        own = f'127.0.3.{number}:{free_port()}'
        link = Link(f'127.0.4.{number}:{free_port()}', own)
        links.append(link)
        engine = UnframedEngine(fleet, f'e{number}', own)
        engine.announce(link.address)
        engine.pace = (0.15, 0.15)
        fleet.engines.append(engine)
    try:
        for link in links:
            await link.start()
        await fleet.start(configuration(3, route('batch')))
        await asyncio.sleep(2)
        for number in range(EARLIER_JOBS):
            name = f'1f41e09b52d6a3{number:02x}'
            await submit(fleet, record, name, EARLIER_ITEMS, EARLIER_EVENTS)
            await read_all(fleet, record, name, EARLIER_ITEMS)
        for engine in fleet.engines[:3]:
            record.note('earlier', engine=engine.name, runs=len(engine.runs))
            if len(engine.runs) < LEAST_EARLIER:
                raise CannotRunError('too few earlier answers at an engine')
            engine.odd = True
        await submit(fleet, record, JOB, ITEMS, EVENTS)
        await asyncio.sleep(2.0)
        if trouble:
            await crash_behind_cut(links[0], fleet.engines[0], record)
        texts = await read_all(fleet, record, JOB, ITEMS)
    finally:
        await fleet.stop()
        for link in links:
            await link.stop()
    broken = []
    for item, text in texts:
        numbers = [int(line.partition('.')[2]) for line in text.split('\n')]
        if numbers != list(range(1, EVENTS + 1)):
            fault = (
                f'item {item} is completed with {len(numbers)} of {EVENTS} '
                'events'
            )
            record.note('broken', fault=fault)
            broken.append(fault)
    return '; '.join(broken[:3])


async def crash_behind_cut(link, engine, record):
    """Cut the link; the engine crashes behind it and starts again."""
    link.cut()
    record.note('cut', link=link.address)
    await asyncio.sleep(0.2)
    record.note('engine-crashes', engine=engine.name)
    await engine.end_process()
    await asyncio.sleep(0.5)
    await engine.listen()
    await asyncio.sleep(0.3)
    link.heal()
    engine.register()
    record.note('healed', link=link.address)


async def submit(fleet, record, job, count, events):
    """Submit a job until it is accepted."""
    items = [
        (
            f'{number:02x}{job[-4:]}7c14da6f38',
            f'/jobs/{job}/{number}',
            {'X-Model': 'm', 'X-Token-Usage': f'250,{events}'},
            b'body',
            250 + events,
        )
        for number in range(count)
    ]

    async def once():
        status, _headers, _body = await call(
            fleet.entries[0].clients, 'POST', f'/jobs/{job}',
            [('X-Attempt-Id', job)], encode_job(items),
        )
        record.note('submitted', status=status)
        return status == 202

    await fleet.wait_for(once, 15, 'a 202')


async def read_all(fleet, record, job, count):
    """Read until all items are listed; return the texts of completed ones."""
    texts = []
    position = 0

    async def once():
        nonlocal position
        status, _headers, body = await call(
            fleet.entries[1].clients, 'GET',
            f'/-/lots/{job}?watch_after={position}', [('X-Wait-Ms', '1000')],
        )
        if status != 200:
            record.note('read', status=status)
            return False
        shown = json.loads(body)
        for result in shown['results']:
            text = result['text'].replace('\n', ',')
            record.note(
                'result', item=result['id'], state=result['state'], text=text
            )
            if result['state'] == 'completed':
                texts.append((result['id'], result['text']))
        position = shown['next_token']
        return position == count

    await fleet.wait_for(once, 60, 'all results')
    return texts


run_case(main, FOLDER, TROUBLE)
