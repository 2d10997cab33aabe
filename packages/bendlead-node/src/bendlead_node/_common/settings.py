"""Read settings: JSON with comments, every error shown at once."""

import pathlib

import json5
import msgspec
from bendlead_schema.settings import NodeSettings
from result import Err, Ok, Result


def load_settings(path: str) -> Result[NodeSettings, list[str]]:
    """Read the settings of one process, or list what is wrong."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Err([f'{path}: cannot be read: {error.strerror}'])
    try:
        found = json5.loads(text)
    except ValueError as error:
        return Err([f'{path}: not JSON with comments: {error}'])
    try:
        return Ok(msgspec.convert(found, NodeSettings))
    except msgspec.ValidationError as error:
        from bendlead_node._common.explain import explain  # noqa: PLC0415

        return Err(explain(path, found) or [f'{path}: {error}'])
