"""The ledger: commits, store writes, acknowledgements, takeover, replay."""

import signal
import time
from collections.abc import Callable
from typing import Any

import gevent
from bendlead_ledger import (
    ChunkReader,
    FileWriter,
    GrantOrder,
    Owner,
    Shard,
    ShardId,
    ShardLog,
    job_id,
    open_shard,
)
from bendlead_schema.messages import (
    AcceptRequest,
    Acknowledged,
    GrantRun,
    ItemReport,
    ReportRun,
    RunGrant,
    SubmitJob,
)
from bendlead_schema.records import JobCancelled
from bendlead_schema.settings import LedgerSettings
from bendlead_store import HttpStore

from bendlead_testing.cluster import MODEL, Cluster
from bendlead_testing.daemons import Daemon, running_platform, wait_for
from bendlead_testing.workload import batch_lines

_TASKS = 64
_ITEMS = 4000
_TAKEOVERS = 6
_REPLAY_LENGTHS = (1_000, 10_000, 50_000)
_RECORDS_PER_COMMIT = 500


class CountingStore(HttpStore):
    """Count the writes and reads of one process."""

    def __init__(self, address: str) -> None:
        super().__init__(address, 5)
        self.writes = 0
        self.reads = 0

    def put(self, *arguments):
        """Count a write."""
        self.writes += 1
        return super().put(*arguments)

    def fetch(self, key):
        """Count a read."""
        self.reads += 1
        return super().fetch(key)


def measure(seconds: float) -> dict[str, Any]:
    """Take all figures in one run."""
    with running_platform() as platform:
        figures = {
            'round_trip_ms': _round_trip(platform),
            'one_shard': _commits(platform, 1, seconds / 8),
            'sixteen_shards': _commits(platform, 16, seconds / 8),
            'commit_alone': _alone(platform, seconds / 8),
            'batch': _batch(platform),
            'replay': [_replay(platform, one) for one in _REPLAY_LENGTHS],
        }
    return {
        **figures,
        'takeover_kill_s': _takeovers(Daemon.kill),
        'takeover_pause_s': _takeovers(Daemon.pause),
    }


def _round_trip(platform: Daemon) -> float:
    store = HttpStore(platform.address, 5)
    started = time.monotonic()
    for _call in range(100):
        store.fetch('none')
    return round((time.monotonic() - started) * 10, 3)


def _open(store: HttpStore, shard: int) -> Shard:
    return open_shard(
        store,
        ShardId(shard),
        Owner('bench', '127.0.0.1:1'),
        LedgerSettings(),
        ChunkReader(store),
        GrantOrder(),
        lambda _shard: None,
    ).unwrap()


def _commits(platform: Daemon, shards: int, seconds: float) -> dict[str, Any]:
    """Accept requests from many tasks as fast as they are acknowledged."""
    store = CountingStore(platform.address)
    opened = [_open(store, shards * 100 + at) for at in range(shards)]
    waits: list[float] = []
    until = time.monotonic() + seconds

    def accept(task: int) -> None:
        shard = opened[task % shards]
        number = 0
        while time.monotonic() < until:
            number += 1
            started = time.monotonic()
            shard.answer(_request(f'{task}-{number}'))
            waits.append(time.monotonic() - started)

    before = store.writes
    gevent.joinall([gevent.spawn(accept, task) for task in range(_TASKS)])
    waits.sort()
    for shard in opened:
        shard.close()
    return {
        'commits_per_second': round(len(waits) / seconds),
        'writes_per_1000': round((store.writes - before) / len(waits) * 1000),
        'acknowledge_p50_ms': round(waits[len(waits) // 2] * 1000, 2),
        'acknowledge_p99_ms': round(waits[int(len(waits) * 0.99)] * 1000, 2),
    }


def _alone(platform: Daemon, seconds: float) -> dict[str, Any]:
    """The first thin ledger: one record, one head update, one at a time."""
    store = CountingStore(platform.address)
    log = ShardLog(
        store,
        ShardId(4000),
        Owner('bench', ''),
        LedgerSettings(),
    )
    log.take_over()
    until = time.monotonic() + seconds
    count = 0
    while time.monotonic() < until:
        count += 1
        log.commit([JobCancelled(job=f'job-{count}', at=0)])
    return {
        'commits_per_second': round(count / seconds),
        'writes_per_1000': round(store.writes / count * 1000),
    }


def _batch(platform: Daemon) -> dict[str, Any]:
    """Store a file, run it as a job in leased runs, count the writes."""
    store = CountingStore(platform.address)
    shard = _open(store, 5000)
    writer = FileWriter(store, 'bench', frozenset((MODEL,)), 1_000_000)
    writer.feed(batch_lines(_ITEMS)).unwrap()
    writer.finish().unwrap()
    job = job_id('bench', 'bench', 1)
    shard.answer(_submitted(job, writer))
    endpoints = [
        gevent.spawn(_work, shard, job, f'endpoint-{at}') for at in range(16)
    ]
    started = time.monotonic()
    gevent.joinall(endpoints)
    took = time.monotonic() - started
    shard.close()
    return {
        'items': _ITEMS,
        'items_per_second': round(_ITEMS / took),
        'writes_per_1000_items': round(store.writes / _ITEMS * 1000, 2),
    }


def _work(shard: Shard, job: str, endpoint: str) -> None:
    command = GrantRun(
        endpoint=endpoint,
        limit=32,
        paths=['/v1/chat/completions'],
        models=[MODEL],
    )
    while True:
        grant = shard.answer(command)
        if not isinstance(grant, RunGrant):
            return
        reports = [
            ItemReport(position=item.position, status=200, body='{}')
            for item in grant.items
        ]
        report = ReportRun(
            run=grant.run,
            job=job,
            endpoint=endpoint,
            reports=reports,
        )
        reply = shard.answer(report)
        if not isinstance(reply, Acknowledged):
            raise TypeError(f'not acknowledged: {reply}')


def _replay(platform: Daemon, records: int) -> dict[str, Any]:
    """Take over a log of a length and count what that reads."""
    store = CountingStore(platform.address)
    shard = ShardId(6000 + records % 997)
    owner = Owner('bench', '')
    log = ShardLog(store, shard, owner, LedgerSettings(segments=1000))
    log.take_over()
    for start in range(0, records, _RECORDS_PER_COMMIT):
        log.commit(
            [
                JobCancelled(job=f'job-{start + at}', at=0)
                for at in range(_RECORDS_PER_COMMIT)
            ]
        )
    store.reads = 0
    started = time.monotonic()
    ShardLog(store, shard, owner, LedgerSettings()).take_over().unwrap()
    return {
        'records': records,
        'seconds': round(time.monotonic() - started, 4),
        'reads': store.reads,
    }


def _takeovers(fault: Callable[[Daemon], None]) -> dict[str, float]:
    """Time from the loss of an entry until others own all its shards."""
    seconds = []
    settings = {'heartbeat': 0.25, 'suspect_after': 1.5}
    with Cluster(entries=3, engines=1, settings=settings) as cluster:
        for number in range(_TAKEOVERS):
            victim = cluster.entries[number % 3]
            rest = [entry for entry in cluster.entries if entry is not victim]
            started = time.monotonic()
            fault(victim)
            wait_for(lambda rest=rest: _owned(cluster, rest) >= 4)
            seconds.append(time.monotonic() - started)
            _restore(victim)
            wait_for(lambda: _owned(cluster, cluster.entries) == 4)
            gevent.sleep(3.5)
    seconds.sort()
    return {
        'count': len(seconds),
        'p50': round(seconds[len(seconds) // 2], 2),
        'max': round(seconds[-1], 2),
    }


def _restore(victim: Daemon) -> None:
    if victim.process.poll() is None:
        victim.process.send_signal(signal.SIGCONT)
    else:
        victim.start()


def _owned(cluster: Cluster, entries: list[Daemon]) -> int:
    shards = {
        owned['shard']
        for entry in entries
        for owned in cluster.state(entry)['shards']
    }
    return len(shards)


def _submitted(job: str, writer: FileWriter) -> SubmitJob:
    return SubmitJob(
        job=job,
        team='bench',
        fingerprint='',
        input_file='bench',
        path='/v1/chat/completions',
        chunks=writer.chunks,
        item_count=writer.item_count,
        deadline=time.time() + 3600,
    )


def _request(name: str) -> AcceptRequest:
    return AcceptRequest(
        request=name,
        team='bench',
        key=name,
        fingerprint='',
        path='/v1/chat/completions',
        repeatable=True,
        body='{}',
        runner='bench/1',
        service='notes',
        model=MODEL,
        method='POST',
        stream=False,
        nonce=name,
    )
