"""The operator raises a limit while clients keep their connections."""

import copy
import http.client
import pathlib
import sys
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))

import fleet as fleet_module  # noqa: E402

#: Bounds of the deployment.
CONFIGURATION_S = 2.0
DENIED_MOST = 5
OLD_BODY_BYTES = 65_536
NEW_BODY_BYTES = 4_194_304
REQUEST_BYTES = 100_000
CONNECTIONS = 12
#: Sent every so often on each connection, well within `idle_ms`.
PAUSE_S = 1.0


def ask(fleet, connection, number, size):
    """Send one request on a kept connection; return the status."""
    request = uuid.uuid4().hex[:16]
    headers = {
        'Host': 'shop.example', 'X-Attempt-Id': request, 'X-Model': 'm',
        'X-Token-Usage': '450,5',
        'X-Prompt-Prefix': f'5c1e07a2:200,{request[:8]}:250',
        'X-Deadline-Ms': '5000',
    }
    try:
        connection.request('POST', '/swaps/2f', b'x' * size, headers)
        answer = connection.getresponse()
        body = answer.read()
        status = answer.status
    except (OSError, http.client.HTTPException) as error:
        status, body = repr(error), b''
    fleet.note(
        f'client: id={request} connection={number} bytes={size} '
        f'status={status} events={body.count(bytes((10, 10)))}'
    )
    return status


def case(fleet, trouble):
    """Change the limit, wait until it must be in force, then use it."""
    first = copy.deepcopy(fleet_module.CONFIG)
    first['version'] = 8
    first['limits']['body_bytes'] = OLD_BODY_BYTES
    second = copy.deepcopy(first)
    second['version'] = 9
    second['limits']['body_bytes'] = NEW_BODY_BYTES
    fleet.store.put('config', 'main', first if trouble else second)
    fleet.note('operator: the first configuration is acknowledged')
    time.sleep(CONFIGURATION_S + 1)
    connections = []
    for number in range(CONNECTIONS):
        entry = fleet.entries[number % len(fleet.entries)]
        connection = http.client.HTTPConnection(
            '127.0.0.1', entry['clients'], timeout=6
        )
        connections.append(connection)
        if ask(fleet, connection, number, 1500) != 200:
            raise fleet_module.CannotRunError('a small request failed')
    if trouble:
        fleet.store.put('config', 'main', second)
        fleet.note('operator: body_bytes is raised, acknowledged')
    until = time.monotonic() + CONFIGURATION_S + 2
    while time.monotonic() < until:
        for number, connection in enumerate(connections):
            ask(fleet, connection, number, 1500)
        time.sleep(PAUSE_S)
    denied = [
        status
        for number, connection in enumerate(connections)
        if (status := ask(fleet, connection, number, REQUEST_BYTES)) != 200
    ]
    if len(denied) <= DENIED_MOST:
        return []
    return [
        f'{len(denied)} of {CONNECTIONS} requests of {REQUEST_BYTES} bytes, '
        f'sent more than {CONFIGURATION_S + 2} s after version 9 was '
        f'acknowledged, which allows {NEW_BODY_BYTES}, got {set(denied)}'
    ]


if __name__ == '__main__':
    fleet_module.run_case(
        case,
        pathlib.Path(__file__).resolve().parent,
        options=['--event-ms', '20'],
    )
