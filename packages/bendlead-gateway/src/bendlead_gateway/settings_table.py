"""Validated access to the tables of a settings file."""

from collections.abc import Mapping
from typing import Any


class SettingsError(Exception):
    """A field of the settings file is missing or has the wrong type."""


class SettingsTable:
    """Reads fields of one table; errors name the file, table and field."""

    def __init__(self, path: str, name: str, fields: Mapping[str, Any]) -> None:
        self._location = f'{path}, table [{name}]' if name else path
        self._fields = fields

    def text(self, name: str) -> str:
        """Return a required string; raise SettingsError."""
        field = self._fields.get(name)
        if not isinstance(field, str):
            raise SettingsError(f'{self._location}: {name} must be a string')
        return field

    def number(self, name: str) -> float:
        """Return a required number; raise SettingsError."""
        field = self._fields.get(name)
        if isinstance(field, bool) or not isinstance(field, int | float):
            raise SettingsError(f'{self._location}: {name} must be a number')
        return field

    def optional_number(self, name: str, default: float) -> float:
        """Return a number, or the default if it is missing."""
        return self.number(name) if name in self._fields else default

    def optional_text(self, name: str) -> str | None:
        """Return a string, or None if it is missing."""
        return self.text(name) if name in self._fields else None
