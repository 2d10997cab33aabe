"""Use of rate limits and shares by teams."""

from collections.abc import Mapping, Sequence
from typing import Any

from bendlead_cli._connection import Connection
from bendlead_cli._printing import Output, show, table

#: Placeholder for a team without a limit.
_NO_LIMIT = '-'
_HEADER = (
    'team',
    'a second',
    'at once',
    'used at most',
    'let through',
    'had a second',
    'share',
    'waiting',
    'no place',
)
#: Counts of one entry each; they are added up.
_SUMMED_FIELDS = ('passed_here', 'waiting', 'no_place')
#: Values that entries know nearly alike; the highest is shown.
_SHARE_FIELDS = ('had', 'share')


def teams(addresses: list[str], *, output: Output = Output.TEXT) -> None:
    """Show what each team uses of its limit and share, over these entries.

    Addresses are the internal ones, IP:PORT. An entry knows the use of all
    entries that it receives reports from. Requests let through, waiting and
    without a place are added up over the given entries.
    """
    reports = [
        Connection(address, '').send('GET', '/debug/state').get('teams', {})
        for address in addresses
    ]
    merged = merge_reports(reports)
    if output is Output.JSON:
        show(merged, output)
        return
    rows = [_HEADER]
    rows += [_team_row(name, usage) for name, usage in sorted(merged.items())]
    table(rows)


def merge_reports(
    reports: Sequence[Mapping[str, Any]],
) -> dict[str, dict[str, float]]:
    """Merge the usage of each team that entries report.

    All entries know the same limit and nearly the same level and share, so the
    highest is used. Counts of admitted, queued and rejected requests are
    added up.
    """
    merged: dict[str, dict[str, float]] = {}
    for report in reports:
        for name, usage in report.items():
            total = merged.setdefault(
                name, {**usage, **dict.fromkeys(_SUMMED_FIELDS, 0)}
            )
            total['level'] = max(total['level'], usage['level'])
            for summed_field in _SUMMED_FIELDS:
                total[summed_field] += usage.get(summed_field, 0)
            for share_field in _SHARE_FIELDS:
                if share_field in usage:
                    total[share_field] = max(
                        total.get(share_field, 0), usage[share_field]
                    )
    return merged


def _team_row(name: str, usage: Mapping[str, float]) -> tuple[Any, ...]:
    rate = usage['rate'] or _NO_LIMIT
    shares = (usage.get('had', 0), usage.get('share', _NO_LIMIT))
    queued = (usage['waiting'], usage['no_place'])
    used = (usage['burst'], usage['level'], usage['passed_here'])
    return name, rate, *used, *shares, *queued
