"""Load, check and explain the settings of a process."""

from typing import Any

from bendlead_node._common.explain import settings_schema
from bendlead_node._common.settings import load_settings

__all__ = ('explain_key', 'load_settings')

_ROOT = 'NodeSettings'


def explain_key(key: str) -> dict[str, Any] | None:
    """Find the meaning, range and default of a dotted settings key."""
    kinds = settings_schema()['$defs']
    kind = kinds[_ROOT]
    for name in key.split('.'):
        kind = _resolved(kind, kinds).get('properties', {}).get(name)
        if kind is None:
            return None
    return {**_resolved(kind, kinds), **kind}


def _resolved(kind: dict[str, Any], kinds: dict[str, Any]) -> dict[str, Any]:
    for option in kind.get('anyOf', [kind]):
        reference = option.get('$ref', '')
        if reference:
            return kinds[reference.rsplit('/', 1)[1]]
    return kind
