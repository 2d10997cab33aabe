"""Requests that are kept from engines, and their trials."""

import gevent
from bendlead_store import clock

from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._scheduling.retry import RETRY_AFTER_SECONDS
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway._suspects.part_probation import PartTurn
from bendlead_gateway._suspects.suspects import Suspects
from bendlead_gateway.types import EngineId

#: Longest time that a request waits while another one tries its parts.
_MAX_HOLD_SECONDS = 1.5
_POLL_SECONDS = 0.02


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

        Else return the seconds until it may be. Waits while another request
        tries its suspected parts. A trial of a request goes to one engine only,
        and to none that is full: a refused one reaches engines as well.
        """
        seconds_left = self.seconds_left(exchange)
        if not seconds_left:
            return self._await_part_turn(exchange)
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
        """End the trials of a request; a claim may have been interrupted."""
        if exchange.in_trial:
            self._suspects.request_trials.end(exchange.digest)
        self.end_parts(exchange, may_have_run=False)

    def part_turn(self, exchange: Exchange) -> PartTurn:
        """Return when a request may be sent with its suspected parts."""
        return self._suspects.part_turn(exchange.facts.shared_parts)

    def claim_parts(self, exchange: Exchange, engine: EngineId) -> bool:
        """Claim the trials of a request's parts; return whether it is sent."""
        turn = self.part_turn(exchange)
        if not turn.suspects:
            return True
        if turn.pause:
            return False
        claims = self._suspects.claims
        began = clock.uptime()
        # Without the object service, requests with sound parts would wait.
        claimed = claims.claim(
            id(exchange), turn.suspects, engine, while_away=True
        )
        if not claimed:
            claims.end(id(exchange), may_have_run=False)
            exchange.held_seconds += clock.uptime() - began + _POLL_SECONDS
        return claimed

    def end_parts(self, exchange: Exchange, *, may_have_run: bool) -> None:
        """End the trials of a request's parts, if any have not ended."""
        self._suspects.claims.end(id(exchange), may_have_run=may_have_run)

    def reason(self, exchange: Exchange) -> str:
        """Describe why a request is quarantined."""
        parts = self._suspects.parts.held(exchange.facts.shared_parts)
        if parts:
            return f'quarantined: engines crashed on part {parts[0]}'
        return 'quarantined: engines crashed while running it'

    def _await_part_turn(self, exchange: Exchange) -> float:
        """Wait while a running trial may clear a request's parts.

        Return 0 if it may be sent, else the seconds until it may be.
        """
        turn = self.part_turn(exchange)
        while turn.pause and turn.in_trial:
            if exchange.held_seconds > _MAX_HOLD_SECONDS:
                break
            gevent.sleep(_POLL_SECONDS)
            exchange.held_seconds += _POLL_SECONDS
            turn = self.part_turn(exchange)
        if turn.suspects and exchange.held_seconds > _MAX_HOLD_SECONDS:
            return max(turn.pause, RETRY_AFTER_SECONDS)
        return turn.pause
