"""What teams use of their limits, as entries know it."""

from collections.abc import Mapping, Sequence
from typing import Any

from bendlead_cli._connection import Connection
from bendlead_cli._printing import Output, show, table

#: A team without a limit shows this in place of one.
_NO_LIMIT = '-'


def teams(addresses: list[str], *, output: Output = Output.TEXT) -> None:
    """Show what each team uses of its limit, over these entries.

    Addresses are the internal ones, IP:PORT. An entry knows what all entries
    that it hears let through; each of them tells what it let through itself.
    """
    told = [
        Connection(one, '').send('GET', '/debug/state').get('teams', {})
        for one in addresses
    ]
    found = gather(told)
    if output is Output.JSON:
        show(found, output)
        return
    rows = [('team', 'a second', 'at once', 'used at most', 'let through')]
    rows += [_row(name, one) for name, one in sorted(found.items())]
    table(rows)


def gather(told: Sequence[Mapping[str, Any]]) -> dict[str, dict[str, float]]:
    """Bring together what entries told of each team.

    All know the same limit and nearly the same level, so the highest counts;
    what they let through adds up.
    """
    found: dict[str, dict[str, float]] = {}
    for entry in told:
        for name, one in entry.items():
            known = found.setdefault(name, {**one, 'passed_here': 0})
            known['level'] = max(known['level'], one['level'])
            known['passed_here'] += one['passed_here']
    return found


def _row(name: str, one: Mapping[str, float]) -> tuple[Any, ...]:
    rate = one['rate'] or _NO_LIMIT
    return name, rate, one['burst'], one['level'], one['passed_here']
