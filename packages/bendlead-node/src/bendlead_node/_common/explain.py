"""Name everything that is wrong in a settings file.

Loaded only when a file is wrong, for the validator takes memory.
"""

import json
from collections.abc import Iterator, Mapping
from importlib import resources
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError


def explain(path: str, found: Any) -> list[str]:
    """List the errors of settings, each with where and what is allowed."""
    schema = settings_schema()
    wanted = {'$ref': '#/$defs/NodeSettings', '$defs': schema['$defs']}
    errors = Draft202012Validator(wanted).iter_errors(found)
    return [_line(path, error) for error in _leaves(errors)]


def settings_schema() -> dict[str, Any]:
    """Read the schema of the settings."""
    found = resources.files('bendlead_schema') / 'settings.json'
    schema = json.loads(found.read_text(encoding='utf-8'))
    for kind in schema['$defs'].values():
        if 'properties' in kind:
            kind['required'] = _required(kind['properties'])
    return schema


def _required(properties: Mapping[str, Any]) -> list[str]:
    # The generator lists all, so that fields with a default are plain types.
    return [name for name, kind in properties.items() if 'default' not in kind]


def _leaves(errors: Any) -> Iterator[ValidationError]:
    for error in errors:
        if error.context:
            yield from _leaves(error.context)
        else:
            yield error


def _line(path: str, error: ValidationError) -> str:
    where = '.'.join(str(part) for part in error.absolute_path) or 'top level'
    allowed = error.schema.get('description', '')
    return f'{path}: {where}: {error.message}. {allowed}'.strip()
