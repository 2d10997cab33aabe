"""Requests under which engines ended, as processes know them."""

from collections.abc import Mapping, Sequence

from bendlead_cli._connection import Connection
from bendlead_cli._printing import Output, show, table


def suspects(addresses: list[str], *, output: Output = Output.TEXT) -> None:
    """Show the digests of requests under which engines ended.

    Addresses are the internal ones of gateway processes, IP:PORT. What a digest
    stands for is on the lines of the requests that have it; from the third end
    on a request is kept from engines.
    """
    told = [
        Connection(one, '').send('GET', '/debug/state').get('suspects', {})
        for one in addresses
    ]
    found = most_ends(told)
    if output is Output.JSON:
        show(found, output)
        return
    rows = [('digest', 'engines ended'), *found.items()]
    table(rows)


def most_ends(told: Sequence[Mapping[str, int]]) -> dict[str, int]:
    """Give the most ends that any process knows of, the most first."""
    found: dict[str, int] = {}
    for known in told:
        for digest, ends in known.items():
            found[digest] = max(ends, found.get(digest, 0))
    ranked = sorted(found.items(), key=_ends, reverse=True)
    return {digest: ends for digest, ends in ranked if ends}


def _ends(one: tuple[str, int]) -> int:
    return one[1]
