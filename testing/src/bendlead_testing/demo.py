"""Serve a chat and a batch from real processes while an entry is replaced."""

import json
import sys
import time

from bendlead_testing.cluster import Cluster
from bendlead_testing.engine import expected_text
from bendlead_testing.workload import (
    batch_lines,
    client,
    stream_text,
    submit,
    tally,
    wait_finished,
)

_ITEMS = 1000
_TOKENS = 8
_PROMPT = 'A card for Mrs. Orr, who likes peonies'
_JOB_SECONDS = 45


def main() -> None:
    """Run the demo and print one JSON line."""
    with Cluster(entries=2, engines=2, embedded=True) as cluster:
        caller = client(cluster)
        text = stream_text(caller, _PROMPT, _TOKENS)
        online_ok = text == expected_text(_PROMPT, _TOKENS)
        job = submit(caller, batch_lines(_ITEMS, _TOKENS))
        sys.stderr.write(f'submitted {job}; replacing entry-1 meanwhile\n')
        _wait_half(cluster, job)
        cluster.entries[1].kill()
        time.sleep(0.5)
        cluster.entries[1].start()
        status = wait_finished(caller, job, _JOB_SECONDS)
        sys.stderr.write(f'{job} is {status}\n')
        text = stream_text(caller, _PROMPT, _TOKENS)
        online_ok = online_ok and text == expected_text(_PROMPT, _TOKENS)
        counted = tally(caller, job, _ITEMS, _TOKENS)
    outcome = {
        'online_ok': online_ok,
        'batch_items': _ITEMS,
        'batch_completed': counted.completed - counted.wrong,
        'duplicates': counted.duplicates,
        'lost': counted.lost,
    }
    sys.stdout.write(f'{json.dumps(outcome)}\n')
    whole = online_ok and outcome['batch_completed'] == _ITEMS
    sys.exit(0 if whole and not counted.duplicates else 1)


def _wait_half(cluster: Cluster, job: str) -> None:
    caller = client(cluster)
    until = time.monotonic() + _JOB_SECONDS
    while time.monotonic() < until:
        counts = caller.batches.retrieve(job).request_counts
        if counts.completed >= _ITEMS / 4:
            return
        time.sleep(0.05)


if __name__ == '__main__':
    main()
