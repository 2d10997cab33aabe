"""Truncated results of items whose engine crashed and started again unseen.

Engines answer items without a length or chunks: the stream ends with its
connection. The link to one engine is cut for a second, and behind the cut the
engine crashes and starts again.
"""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins2'))

from engines import Engine, configuration, route  # noqa: E402
from fleet import Fleet, call, encode_job, free_port, run_case  # noqa: E402
from link import Link  # noqa: E402

JOB = '2f41e09b52d6a3f8'
ITEMS = 30
EVENTS = 40


class UnframedEngine(Engine):
    """Streams whose end is the end of their connection."""

    async def run(self, run, request, marks, writer):
        """Stream the events behind Last-Event-Id, then close."""
        _item, after = self.runs[run]
        head = ['HTTP/1.1 200 OK', *(f'{name}: {text}' for name, text in marks)]
        head += ['X-Response-Seal: s', 'Content-Type: text/event-stream']
        head += ['Connection: close', '', '']
        await asyncio.sleep(self.first)
        writer.write('\r\n'.join(head).encode())
        for number in range((after or 0) + 1, EVENTS + 1):
            writer.write(f'id: {number}\ndata: r{run}.{number}\n\n'.encode())
            await writer.drain()
            await asyncio.sleep(0.15)
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
        fleet.engines.append(engine)
    try:
        for link in links:
            await link.start()
        await fleet.start(configuration(3, route('batch')))
        await asyncio.sleep(2)
        await submit(fleet, record)
        await asyncio.sleep(2.0)
        if trouble:
            await crash_behind_cut(links[0], fleet.engines[0], record)
        texts = await read_all(fleet, record)
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
    await engine.start()
    await asyncio.sleep(0.3)
    link.heal()
    record.note('healed', link=link.address)


async def submit(fleet, record):
    """Submit the job until it is accepted."""
    items = [
        (
            f'{number:02x}d2907c14da6f38',
            f'/jobs/{number}',
            {'X-Model': 'm', 'X-Token-Usage': f'250,{EVENTS}'},
            b'body',
            250 + EVENTS,
        )
        for number in range(ITEMS)
    ]

    async def once():
        status, _headers, _body = await call(
            fleet.entries[0].clients, 'POST', '/jobs/2f41e0',
            [('X-Attempt-Id', JOB)], encode_job(items),
        )
        record.note('submitted', status=status)
        return status == 202

    await fleet.wait_for(once, 15, 'a 202')


async def read_all(fleet, record):
    """Read until all items are listed; return the texts of completed ones."""
    texts = []
    position = 0

    async def once():
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
            text = result['text'].replace('\n', ',')
            record.note(
                'result', item=result['id'], state=result['state'], text=text
            )
            if result['state'] == 'completed':
                texts.append((result['id'], result['text']))
        position = shown['next_token']
        return position == ITEMS

    await fleet.wait_for(once, 60, 'all results')
    return texts


run_case(main, FOLDER)
