"""Stand-in of a model engine that streams events, on a loopback address."""

import asyncio
import itertools
import random

from fleet import HALL, SERVICE, Server, encode_answer

#: An engine that crashed leaves the list after three heartbeats.
LAPSE_SECONDS = 3.6
_RUNS = itertools.count(1)


class Engine(Server):
    """Runs each request as a stream of numbered events.

    The text of an event is ``rRUN.NUMBER``, so that it tells its run.
    """

    def __init__(self, fleet, name, address, **told):
        super().__init__(address)
        self._fleet = fleet
        self._base = name
        self._life = 0
        self.name = ''
        self._told = {
            'service': SERVICE,
            'address': address,
            'zone': HALL,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'warmup_left_ms': 0,
            'sequence': 1,
            **told,
        }
        #: Whether the slots and the queue are taken by other callers.
        self.full = False
        #: Seconds between two events, drawn for each run.
        self.pace = (0.12, 0.24)
        #: Seconds until the first event.
        self.first = 0.05
        self._busy = 0
        #: Requests refused because it was full.
        self.refused = 0
        #: By number of the run: item and Last-Event-Id.
        self.runs = {}
        self._random = random.Random(name)

    async def start(self):
        """Begin a new incarnation with a new id."""
        await self.listen()
        self.register()

    async def listen(self):
        """Begin a new life that the store does not know yet."""
        self._life += 1
        self.name = f'i-{self._base}-{self._life}'
        await super().start()

    def register(self):
        """Tell the store of this life."""
        self._fleet.store.set('servers', self.name, dict(self._told))
        self._fleet.record.note('engine-up', engine=self.name, **self._told)

    def announce(self, address):
        """Tell the store another address, as that of a link."""
        self._told['address'] = address

    async def crash(self, seconds):
        """Crash, and come back after some seconds."""
        self._fleet.record.note('engine-crashes', engine=self.name)
        await self.end_process()
        await asyncio.sleep(seconds)
        await self.start()

    async def end_process(self):
        """End as a process does; the entry lapses some seconds later."""
        name = self.name
        await self.stop(reset=False)

        async def lapse():
            await asyncio.sleep(LAPSE_SECONDS)
            self._fleet.store.remove('servers', name)

        self._lapsing = asyncio.ensure_future(lapse())

    async def serve(self, request, writer):
        item = request.find('x-attempt-id', '')
        marks = [('X-Attempt-Id', item)]
        if request.find('x-expect-instance', self.name) != self.name:
            return await self._answer(
                writer, 421, [*marks, ('X-Not-Executed', '1')]
            )
        if self.full or self._busy >= self._told['slots']:
            self.refused += 1
            return await self._answer(
                writer, 503, [*marks, ('X-Not-Executed', '1')]
            )
        after = request.find('last-event-id')
        run = next(_RUNS)
        self.runs[run] = (item, None if after is None else int(after))
        self._fleet.record.note(
            'run', run=run, item=item, engine=self.name, after=after
        )
        self._busy += 1
        try:
            return await self.run(run, request, marks, writer)
        finally:
            self._busy -= 1
            self._fleet.record.note('run-ends', run=run, item=item)

    async def run(self, run, request, marks, writer):
        """Stream the events behind Last-Event-Id."""
        _item, after = self.runs[run]
        total = int(request.find('x-token-usage', '0,5').split(',')[1])
        pace = self._random.uniform(*self.pace)
        head = ['HTTP/1.1 200 OK', *(f'{name}: {text}' for name, text in marks)]
        head += ['X-Response-Seal: s', 'Content-Type: text/event-stream']
        head += ['Transfer-Encoding: chunked', '', '']
        await asyncio.sleep(self.first)
        writer.write('\r\n'.join(head).encode())
        for number in range((after or 0) + 1, total + 1):
            event = f'id: {number}\ndata: r{run}.{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pace)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    async def _answer(self, writer, status, headers):
        writer.write(encode_answer(status, headers))
        await writer.drain()
        return True


def route(kind, **changed):
    """Return a route of the operator's configuration."""
    return {
        'name': 'r-jobs',
        'host': 'jobs.example',
        'path_prefix': '/jobs/',
        'kind': kind,
        'timeout_ms': 15000,
        'target_latency_ms': 400,
        'priority': 2,
        'service': SERVICE,
        'max_attempts': 3,
        'resumable': True,
        'gap_target_ms': 200,
        'run_target_ms': 18000,
        'retention_s': 60,
        'max_queued_tokens': 1400000,
        'session_affinity': True,
        **changed,
    }


def configuration(version, *routes):
    """Return a whole configuration."""
    return {
        'version': version,
        'routes': list(routes),
        'services': [
            {
                'name': SERVICE,
                'health_path': '/health',
                'connection_limit': 290,
            }
        ],
        'limits': {
            'header_bytes': 16384,
            'body_bytes': 4194304,
            'header_ms': 3000,
            'idle_ms': 15000,
        },
    }
