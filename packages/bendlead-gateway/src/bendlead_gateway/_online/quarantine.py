"""Requests that are kept from engines, and their trials."""

from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._suspects.suspects import Suspects


class Quarantine:
    """Check requests against the suspects, and send some as trials."""

    def __init__(self, suspects: Suspects) -> None:
        self._suspects = suspects

    def seconds_left(self, exchange: Exchange) -> float:
        """Return the seconds until a request may be sent to an engine."""
        return self._suspects.remaining_quarantine(
            lambda: exchange.digest,
            exchange.facts.shared_parts,
        )

    def begin_trial(self, exchange: Exchange) -> float:
        """Return 0 if a request may be sent, as a trial if quarantined.

        Else return the seconds until it may be.
        """
        seconds_left = self.seconds_left(exchange)
        if exchange.in_trial or not seconds_left:
            return 0
        seconds_left = self._suspects.begin_trial(
            exchange.digest, exchange.facts.shared_parts
        )
        exchange.in_trial = not seconds_left
        return seconds_left

    def end_trial(self, exchange: Exchange) -> None:
        """End the trial of a request, if it is one."""
        if exchange.in_trial:
            self._suspects.request_trials.end(exchange.digest)

    def reason(self, exchange: Exchange) -> str:
        """Describe why a request is quarantined."""
        parts = self._suspects.quarantined_parts(exchange.facts.shared_parts)
        if parts:
            return f'quarantined: engines crashed on part {parts[0]}'
        return 'quarantined: engines crashed while running it'
