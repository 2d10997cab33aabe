"""Commands for configuration, planned stops and fleet state."""

import json
import pathlib
from typing import Any
from urllib.parse import quote

from bendlead_node.settings import explain_key, load_settings
from result import Err

from bendlead_cli._connection import Connection, Exit, connect, fail
from bendlead_cli._printing import Output, say, show, table


def apply(
    kind: str,
    file: str,
    *,
    version: int = 0,
    output: Output = Output.TEXT,
) -> None:
    """Write a configuration object from a file of JSON.

    With a version, only if the object is still at it.
    """
    text = pathlib.Path(file).read_text(encoding='utf-8')
    body = json.loads(text)
    if 'name' not in body:
        fail(Exit.USAGE, f'{file}: a {kind} needs a name')
    headers = {'If_Match': str(version)} if version else {}
    path = _object_path(kind, body['name'])
    show(connect().send('PUT', path, body, **headers), output)


def get(kind: str, name: str, *, output: Output = Output.TEXT) -> None:
    """Show a configuration object."""
    show(connect().send('GET', _object_path(kind, name)), output)


def delete(kind: str, name: str, *, output: Output = Output.TEXT) -> None:
    """Delete a configuration object."""
    show(connect().send('DELETE', _object_path(kind, name)), output)


def status(*, output: Output = Output.TEXT) -> None:
    """Show the fleet at a glance."""
    found = connect().send('GET', '/admin/v1/status')
    if output is Output.JSON:
        show(found, output)
        return
    say(f'configuration revision {found["revision"]}')
    rows = [('entry', 'hall', 'shards', 'revision', 'leaving')]
    rows += [_entry_row(entry) for entry in found['entries']]
    table(rows)
    rows = [('endpoint', 'hall', 'service', 'online', 'batch', 'leaving')]
    rows += [_endpoint_row(endpoint) for endpoint in found['endpoints']]
    table(rows)


def state(address: str, peer_key: str, *, output: Output = Output.JSON) -> None:
    """Dump the state of one process."""
    connection = Connection(address, '')
    found = connection.send('GET', '/debug/state', X_Bendlead_Peer=peer_key)
    show(found, output)


def stop_plan(endpoint: str, *, reason: str = 'planned stop') -> None:
    """Have an endpoint finish what runs and take no new work."""
    body = {'name': endpoint, 'endpoint': endpoint, 'reason': reason}
    show(
        connect().send('PUT', _object_path('stop', endpoint), body), Output.TEXT
    )


def stop_status(endpoint: str, *, output: Output = Output.TEXT) -> None:
    """Tell whether an endpoint may be stopped safely."""
    found = connect().send('GET', '/admin/v1/status')
    for row in found['endpoints']:
        if row['endpoint'] == endpoint:
            idle = not (row['online'] or row['batch'])
            safe = row.get('leaving', False) and idle
            show({**row, 'safe_to_stop': safe}, output)
            return
    fail(Exit.FAILED, f'{endpoint}: not seen by this entry')


def stop_cancel(endpoint: str) -> None:
    """Take a planned stop back; the endpoint serves after its restart."""
    show(connect().send('DELETE', _object_path('stop', endpoint)), Output.TEXT)


def settings_check(file: str) -> None:
    """Check a settings file and list everything that is wrong."""
    loaded = load_settings(file)
    if isinstance(loaded, Err):
        fail(Exit.USAGE, '\n'.join(loaded.err_value))
    say(f'{file}: right')


def settings_explain(key: str) -> None:
    """Explain a settings key, such as ledger.lease."""
    found = explain_key(key)
    if found is None:
        fail(Exit.USAGE, f'{key}: no such setting')
    show(found, Output.TEXT)


def _object_path(kind: str, name: str) -> str:
    return f'/admin/v1/objects/{quote(kind)}/{quote(name)}'


def _entry_row(entry: dict[str, Any]) -> tuple[Any, ...]:
    return (
        entry['node'],
        entry['data_hall'],
        len(entry['shards']),
        entry.get('revision', 0),
        entry.get('leaving', False),
    )


def _endpoint_row(endpoint: dict[str, Any]) -> tuple[Any, ...]:
    return (
        endpoint['endpoint'],
        endpoint['data_hall'],
        endpoint['service'],
        f'{endpoint["online"]}/{endpoint["capacity"]}',
        endpoint['batch'],
        endpoint.get('leaving', False),
    )
