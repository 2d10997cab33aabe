"""Requests that were running when engines crashed."""

from collections.abc import Mapping, Sequence

from bendlead_cli._connection import Connection
from bendlead_cli._printing import Output, show, table


def suspects(addresses: list[str], *, output: Output = Output.TEXT) -> None:
    """Show the digests of requests running when engines crashed.

    Addresses are the internal ones of gateway processes, IP:PORT. The log
    lines of a request have its digest. From the third crash on, a request is
    in quarantine: it is sent to no engine. Batch items (item-) only pause.
    """
    reports = [
        Connection(address, '').send('GET', '/debug/state').get('suspects', {})
        for address in addresses
    ]
    merged = max_crashes(reports)
    if output is Output.JSON:
        show(merged, output)
        return
    rows = [('digest', 'engines ended'), *merged.items()]
    table(rows)


def max_crashes(reports: Sequence[Mapping[str, int]]) -> dict[str, int]:
    """Return the highest crash count of each digest, highest first."""
    merged: dict[str, int] = {}
    for report in reports:
        for digest, crashes in report.items():
            merged[digest] = max(crashes, merged.get(digest, 0))
    ranked = sorted(merged.items(), key=_crash_count, reverse=True)
    return {digest: crashes for digest, crashes in ranked if crashes}


def _crash_count(entry: tuple[str, int]) -> int:
    return entry[1]
