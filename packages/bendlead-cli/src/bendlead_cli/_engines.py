"""Health states of engines and the evidence for them."""

from collections.abc import Mapping, Sequence
from typing import Any

from bendlead_cli._connection import Connection
from bendlead_cli._printing import Output, show, table

#: Placeholder of an empty cell.
_EMPTY = '-'
#: From healthy to ejected. Where processes differ, the last of them is shown.
_HEALTH_STATES = ('trusted', 'doubted', 'on-trial', 'left-alone')


def engines(addresses: list[str], *, output: Output = Output.TEXT) -> None:
    """Show engines under suspicion: standing, evidence, and who tries them.

    Addresses are the internal ones of gateway processes, IP:PORT. An engine
    that is not listed is trusted by all of them.
    """
    states = {
        address: Connection(address, '')
        .send('GET', '/debug/state')
        .get('engine_health', {})
        for address in addresses
    }
    merged = merge_states(states)
    if output is Output.JSON:
        show(merged, output)
        return
    rows: list[tuple[Any, ...]] = [
        ('engine', 'standing', 'seen by', 'score', 'good', 'tries', 'evidence')
    ]
    for name, engine in sorted(merged.items()):
        rows.extend(_engine_rows(name, engine))
    table(rows)


def merge_states(
    states: Mapping[str, Mapping[str, Any]],
) -> dict[str, dict[str, Any]]:
    """Merge the health states of each engine that processes report."""
    merged: dict[str, dict[str, Any]] = {}
    for address, engines_of_node in states.items():
        for name, engine in engines_of_node.items():
            worst = merged.setdefault(name, {**engine, 'standings': {}})
            if _severity(engine) > _severity(worst):
                worst.update(engine)
            worst['standings'][address] = engine['standing']
    return merged


def _severity(engine: Mapping[str, Any]) -> int:
    return _HEALTH_STATES.index(engine['standing'])


def _engine_rows(name: str, engine: Mapping[str, Any]) -> list[tuple[Any, ...]]:
    """Return a row for each observer; the first one names the engine."""
    standings: Sequence[str] = list(engine['standings'].values())
    agreeing = standings.count(engine['standing'])
    summary = (
        name,
        engine['standing'],
        f'{agreeing}/{len(standings)}',
        engine['score'],
        f'{engine["good"]}/{engine["good_needed"]}',
        engine['tries'] or _EMPTY,
    )
    lines = [
        _format_observation(observation) for observation in engine['evidence']
    ] or [_EMPTY]
    rows: list[tuple[Any, ...]] = [(*summary, lines[0])]
    rows.extend((*('' for _cell in summary), line) for line in lines[1:])
    return rows


def _format_observation(observation: Mapping[str, Any]) -> str:
    failures = ' '.join(
        f'{kind}={count}'
        for kind, count in sorted(observation['failures'].items())
    )
    return (
        f'{observation["witness"]}: {failures or "no failure"}'
        f' answers={observation["answers"]} {observation["age_ms"]} ms ago'
    )
