"""Entry point of the bendlead command and its subcommands."""

import json
import sys

import defopt

from bendlead_cli import _fleet, _jobs
from bendlead_cli._connection import connect
from bendlead_cli._engines import engines
from bendlead_cli._explain import explain
from bendlead_cli._late import late
from bendlead_cli._printing import Output, say, show
from bendlead_cli._suspects import suspects
from bendlead_cli._teams import teams

_DATA_FIELD = b'data: '
_DONE = b'[DONE]'


def chat(prompt: str, *, model: str, tokens: int = 256) -> None:
    """Send one chat message and show the answer as it comes."""
    body = {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
        'stream': True,
    }
    for line in connect().lines('POST', '/v1/chat/completions', body):
        payload = line.strip().removeprefix(_DATA_FIELD)
        if line.startswith(_DATA_FIELD) and payload != _DONE:
            choices = json.loads(payload).get('choices', ())
            for choice in choices:
                sys.stdout.write(choice['delta'].get('content') or '')
                sys.stdout.flush()
    say('')


def load(
    *,
    model: str,
    rate: float,
    seconds: float = 10,
    burst: float = 0,
    gap: float = 0,
    tokens: int = 32,
    output: Output = Output.TEXT,
) -> None:
    """Send open-loop load (requests a second) and report latencies in ms."""
    # Only this command needs gevent, so the others start without it.
    from gevent import monkey  # noqa: PLC0415

    monkey.patch_all()

    from bendlead_cli.load import LoadPlan, OpenLoop  # noqa: PLC0415

    connection = connect()
    plan = LoadPlan(
        rate=rate,
        seconds=seconds,
        burst_seconds=burst,
        gap_seconds=gap,
        tokens=tokens,
    )
    loop = OpenLoop(connection.entry, connection.key, model)
    show(loop.run(plan).summary(), output)


def main() -> None:
    """Parse the command line and run the subcommand."""
    defopt.run(
        {
            'chat': chat,
            'explain': explain,
            'late': late,
            'load': load,
            'job': {
                'submit': _jobs.submit,
                'status': _jobs.status,
                'list': _jobs.listing,
                'watch': _jobs.watch,
                'cancel': _jobs.cancel,
                'results': _jobs.results,
            },
            'apply': _fleet.apply,
            'get': _fleet.get,
            'delete': _fleet.delete,
            'status': _fleet.status,
            'state': _fleet.state,
            'engines': engines,
            'suspects': suspects,
            'teams': teams,
            'stop': {
                'plan': _fleet.stop_plan,
                'status': _fleet.stop_status,
                'cancel': _fleet.stop_cancel,
            },
            'settings': {
                'check': _fleet.settings_check,
                'explain': _fleet.settings_explain,
            },
        },
        no_negated_flags=True,
    )
