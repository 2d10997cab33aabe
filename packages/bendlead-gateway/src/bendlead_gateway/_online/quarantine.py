"""Requests that are kept from engines, and their trials."""

from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._scheduling.retry import RETRY_AFTER_SECONDS
from bendlead_gateway._scheduling.view import EngineView
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

    def begin_trial(self, exchange: Exchange, view: EngineView) -> float:
        """Return 0 if a request may be sent, as a trial if quarantined.

        Else return the seconds until it may be. A trial goes to one engine
        only, and to none that is full: a refused one reaches engines as well.
        """
        seconds_left = self.seconds_left(exchange)
        if not seconds_left:
            return 0
        if exchange.in_trial:
            return seconds_left if exchange.sends else 0
        pause = self._suspects.trial_pause(
            exchange.digest, exchange.facts.shared_parts
        )
        if not pause and view.free <= 0:
            return RETRY_AFTER_SECONDS
        if not pause:
            exchange.in_trial = True
            self._suspects.request_trials.begin(exchange.digest)
        return pause

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
