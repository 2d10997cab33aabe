"""Parts of prompts whose requests are kept from engines for now."""

import time
from collections.abc import Sequence

from bendlead_gateway._suspects.crash_history import CrashHistory
from bendlead_gateway._suspects.crash_table import CrashTable
from bendlead_gateway._suspects.digest import name_part
from bendlead_gateway._suspects.part_probation import is_suspected
from bendlead_gateway.types import PromptPart


class HeldParts:
    """Look up the state of parts."""

    def __init__(self, history: CrashHistory, crashes: CrashTable) -> None:
        self._history = history
        self._crashes = crashes

    def quarantined(self, parts: Sequence[PromptPart]) -> list[PromptPart]:
        """Return the parts whose quarantine has not ended."""
        if not self._history.any_quarantined:
            return []
        now = time.time()
        return [
            part
            for part in parts
            if self._history.remaining_quarantine(name_part(part), now)
        ]

    def suspected(self, parts: Sequence[PromptPart]) -> list[PromptPart]:
        """Return the parts that one request at a time may be sent with."""
        known = [part for part in parts if self._history.known(name_part(part))]
        if not known:
            return []
        found = set(self._history.quarantined_parts(time.time()))
        explained = {
            incarnation
            for suspect in found
            for incarnation in self._history.record(suspect).ends
        }
        return [
            part
            for part in known
            if name_part(part) not in found
            and is_suspected(
                self._history.record(name_part(part)), self._crashes, explained
            )
        ]

    def held(self, parts: Sequence[PromptPart]) -> list[PromptPart]:
        """Return the parts that only a trial may be sent with."""
        if not self._history.any_suspects:
            return []
        return [*self.quarantined(parts), *self.suspected(parts)]
