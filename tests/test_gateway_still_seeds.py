"""Many streams at engines that stand still now and then, by seed."""

import random

import gevent
from parameterized import parameterized

from tests.gateway_standins import configuration, engine, route
from tests.still_cases import ATTEMPTS, TIMEOUT_MS, Answer, StillEngineCase

_SEEDS = 8
_ENGINES = 3
_STREAMS = 40
_TRIES = 4
_RETRY_SECONDS = 0.4
_EVENT_SECONDS = 0.05
#: Bounds of a standstill and of the time until the next (s).
_STILL = (0.7, 1.4)
_MOVING = (0.3, 1.5)


class SeedTest(StillEngineCase):
    """No stream that has begun is cut, whatever the seed.

    Each seed has a route, a service and engines of its own.
    """

    @parameterized.expand([(attempts,) for attempts in ATTEMPTS])
    def test_no_stream_is_cut(self, attempts):
        self.patience = TIMEOUT_MS / 1000
        self.begin_seeds(attempts)
        tasks = [
            gevent.spawn(self.stream, seed, attempts)
            for seed in range(_SEEDS)
            for _stream in range(_STREAMS)
        ]
        gevent.joinall(tasks)
        answers = [task.value for task in tasks]
        wrong = [
            self.describe_seeded(answer)
            for answer in answers
            if answer.status != 503 or self.log.of(answer.request)
        ]
        self.assertEqual([], [found for found in wrong if found])
        self.assertEqual([], self.log.overlaps)
        served = sum(answer.status == 200 for answer in answers)
        self.assertGreater(served, len(answers) / 2)

    def describe_seeded(self, answer):
        """Return what is wrong with an answer, if anything.

        One that has reached its deadline may end there, with what it has.
        """
        if answer.ended and answer.status == 200:
            return self.describe(answer)
        if answer.seconds < self.patience:
            return self.describe(answer)
        received = answer.numbers
        if received != list(range(1, len(received) + 1)):
            return f'{answer.request}: received {received} at its deadline'
        return self.describe_runs(answer)

    def begin_seeds(self, attempts):
        """Start the engines of all seeds, which stand still at random."""
        routes = []
        for seed in range(_SEEDS):
            draw = random.Random(seed)
            routes.append(
                route(
                    'streaming',
                    name=f'r-{seed}',
                    path_prefix=f'/seed-{seed}/{attempts}/',
                    service=f's{seed}',
                    max_attempts=attempts,
                    resumable=True,
                    timeout_ms=TIMEOUT_MS,
                )
            )
            for _engine in range(_ENGINES):
                self.make_engine()
                added = self.engines[-1]
                added.event_seconds = _EVENT_SECONDS
                listed = engine(added.address, service=f's{seed}')
                name = f'i-{len(self.engines)}'
                self.store.set('servers', name, listed)
                gevent.spawn(self.stand_still_at_random, added, draw)
        services = [{'name': f's{seed}'} for seed in range(_SEEDS)]
        config = {**configuration(1, *routes), 'services': services}
        self.start_configured(config, len(self.engines))

    def stand_still_at_random(self, still, draw):
        """Make an engine stand still again and again."""
        while True:
            gevent.sleep(draw.uniform(*_MOVING))
            seconds = draw.uniform(*_STILL)
            still.stand_still(seconds)
            gevent.sleep(seconds)

    def stream(self, seed, attempts) -> Answer:
        """Request one stream, again if it is refused."""
        for _try in range(_TRIES):
            name = f'{seed}-{next(self.numbers)}'
            answer = self.request(f'seed-{seed}', attempts, name)
            if answer.status != 503:
                return answer
            gevent.sleep(_RETRY_SECONDS)
        return answer
