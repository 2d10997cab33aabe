"""Engines crash in turn while an item of a job runs."""

import base64
import http.client
import json
import pathlib
import sys
import threading
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))

import fleet as fleet_module  # noqa: E402

#: Engines that crash, one of six at a time, and how long each is down.
CRASHES = 4
DOWN_S = 0.8
FINISH_S = 18
#: As the rule says: nothing of the kind in the last seconds of the day.
FAILED_WITHIN_S = 20
#: Longest time that crashes are waited for.
PATIENCE_S = 45
CALM_S = 5
FINISHED_WITHIN_S = 3
SLOTS = 8
ITEMS = 10
EVENTS = 64


def hand_in(fleet):
    """Hand in a job; return its id and items."""
    job = uuid.uuid4().hex[:16]
    items = [uuid.uuid4().hex[:16] for _number in range(ITEMS)]
    body = {
        'items': [
            {
                'id': item,
                'path': '/notes/3/91c4',
                'headers': {
                    'X-Model': 'm',
                    'X-Token-Usage': f'350,{EVENTS}',
                    'X-Prompt-Prefix': f'9c2e41:100,{item[:8]}:250',
                },
                'body': base64.b64encode(item.encode() * 50).decode(),
                'tokens': 350 + EVENTS,
            }
            for item in items
        ]
    }
    headers = {
        'Host': 'shop.example', 'X-Attempt-Id': job,
        'Content-Type': 'application/json',
    }
    status, _headers, _body = fleet.call(
        fleet.entries[0]['clients'], 'POST', f'/notes/{job[:6]}', headers,
        json.dumps(body).encode(),
    )
    fleet.note(f'client: POST job={job} items={ITEMS} status={status}')
    if status != 202:
        raise fleet_module.CannotRunError('the job was not accepted')
    return job, items


def read(fleet, job, after):
    """Read the results from a position on."""
    headers = {'Host': 'shop.example', 'X-Wait-Ms': '1000'}
    status, _headers, body = fleet.call(
        fleet.entries[1]['clients'], 'GET',
        f'/-/lots/{job}?watch_after={after}', headers,
    )
    return json.loads(body)['results'] if status == 200 else []


def chat(fleet, until):
    """Ask for a stream now and then, as the day's traffic."""
    number = 0
    while time.monotonic() < until():
        number += 1
        request = uuid.uuid4().hex[:16]
        entry = fleet.entries[number % len(fleet.entries)]
        headers = {
            'Host': 'shop.example', 'X-Attempt-Id': request, 'X-Model': 'm',
            'X-Token-Usage': '450,39',
            'X-Prompt-Prefix': f'5c1e07a2:200,{request[:8]}:250',
            'X-Deadline-Ms': '5000',
        }
        try:
            status, _headers, body = fleet.call(
                entry['clients'], 'POST', '/swaps/2f', headers, b'x' * 1500, 6
            )
        except (OSError, http.client.HTTPException) as error:
            status, body = repr(error), b''
        count = body.count(b'\n\n')
        fleet.note(f'client: id={request} status={status} events={count}')
        time.sleep(0.5)


def runs_at(fleet, wanted):
    """Return the engine and since when it runs one of the items, if any."""
    running = {}
    for line in fleet.engine_lines():
        if line.get('id') not in wanted:
            continue
        if line['what'] == 'runs':
            running[line['id']] = (line['engine'], line['at'])
        elif line['what'] == 'stops':
            running.pop(line['id'], None)
    return running


def crash_in_turn(fleet, item, done):
    """Crash the engine that runs an item, wherever it runs, a few times.

    Return the times. One engine is down at a time.
    """
    until = time.monotonic() + PATIENCE_S
    times = []
    while len(times) < CRASHES and time.monotonic() < until and not done():
        engine, since = runs_at(fleet, {item}).get(item, ('', 0))
        spot = next(
            (one for one in fleet.engines if one.name == engine), None
        )
        alive = spot is not None and spot.process.poll() is None
        if alive and time.monotonic() - since > 0.4:
            times.append(time.monotonic())
            fleet.note(
                f'engine {engine} crashes (SIGKILL), number {len(times)}'
            )
            spot.crash()
            time.sleep(DOWN_S)
            spot.start()
            # It needs a moment to start again.
            time.sleep(0.4)
        time.sleep(0.1)
    return times


def excuse(fleet, items, results, crashes, now):
    """Return what the rule allows as a reason, or an empty string."""
    alive = {one.name for one in fleet.engines}
    open_runs = {}
    for line in fleet.engine_lines():
        run = (line['engine'], line.get('id'))
        if line['what'] == 'arrived' and run[1] in items:
            if now - line['at'] < CALM_S:
                return 'an engine had an item in the last seconds'
        if line['what'] in ('arrived', 'runs'):
            open_runs[run] = line['at']
        elif line['what'] in ('stops', 'not run'):
            open_runs.pop(run, None)
            if run[1] in items and now - line['at'] < CALM_S:
                return 'an engine had an item in the last seconds'
    held = [run for run in open_runs if run[0] in alive]
    if any(run[1] in items for run in held):
        return 'an engine has an item'
    if len(held) >= len(fleet.engines) * SLOTS / 2:
        return 'the engines are half full'
    if any(now - at < FINISHED_WITHIN_S for at in results.values()):
        return 'an item was finished in the last seconds'
    if any(now - at < FAILED_WITHIN_S for at in crashes):
        return 'the item failed at an engine in the last seconds'
    return ''


def case(fleet, trouble):
    """Crash engines, then leave all in peace until the day has ended."""
    traffic_ends = [time.monotonic() + 600]
    day_ends = [time.monotonic() + 600]
    chatting = threading.Thread(
        target=chat, args=(fleet, lambda: traffic_ends[0]), daemon=True
    )
    chatting.start()
    job, items = hand_in(fleet)
    results = {}

    def poll():
        while time.monotonic() < day_ends[0]:
            try:
                found = read(fleet, job, len(results))
            except (OSError, http.client.HTTPException):
                found = []
            for one in found:
                results.setdefault(one['id'], time.monotonic())
                fleet.note(f'client: item={one["id"]} {one["state"]}')
            time.sleep(0.4)

    polling = threading.Thread(target=poll, daemon=True)
    polling.start()
    item = items[0]
    crashes = []
    if trouble:
        crashes = crash_in_turn(fleet, item, lambda: item in results)
    else:
        time.sleep(8)
    fleet.note('operator: no more crashes')
    calm_since = time.monotonic()
    traffic_ends[0] = calm_since + 1
    chatting.join()
    fleet.note('client: the traffic has ended')
    # The last crash must lie further back than the rule asks.
    day_ends[0] = max(
        time.monotonic() + FINISH_S, calm_since + FAILED_WITHIN_S + 0.5
    )
    polling.join()
    fleet.note('finish_s has passed since the traffic ended')
    missing = [one for one in items if one not in results]
    reason = excuse(fleet, items, results, crashes, time.monotonic())
    if missing and reason:
        raise fleet_module.CannotRunError(f'the rule excuses it: {reason}')
    return [
        f'item {one} of the accepted job is neither completed nor given up; no '
        'engine had an item for 5 s, all engines stood idle'
        for one in missing
    ]


if __name__ == '__main__':
    fleet_module.run_case(
        case,
        pathlib.Path(__file__).resolve().parent,
        options=['--event-ms', '100'],
    )
