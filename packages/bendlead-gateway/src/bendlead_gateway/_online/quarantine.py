"""Requests that are kept from engines, and their trials."""

from collections.abc import Sequence

import gevent
from bendlead_store import clock

from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._scheduling.retry import RETRY_AFTER_SECONDS
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway._suspects.digest import RequestDigest, name_part
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
        pause = max(self._trial_pause(exchange), self.part_turn(exchange).pause)
        if exchange.claim_refused or (not pause and view.free <= 0):
            return max(pause, RETRY_AFTER_SECONDS)
        exchange.in_trial = not pause
        return pause

    def end_trial(self, exchange: Exchange) -> None:
        """End the trials of a request; a claim may have been interrupted."""
        self.end_claims(exchange, may_have_run=False)

    def part_turn(self, exchange: Exchange) -> PartTurn:
        """Return when a request may be sent with its suspected parts."""
        return self._suspects.part_turn(exchange.facts.shared_parts)

    def claim(self, exchange: Exchange, engine: EngineId) -> bool:
        """Claim the trials that a request is; return whether it is sent."""
        turn = self.part_turn(exchange)
        suspects = turn.suspects
        if exchange.in_trial:
            suspects = self._tried(exchange)
        if not suspects:
            return True
        if turn.pause:
            self._refuse_claim(exchange)
            return False
        claims = self._suspects.claims
        began = clock.uptime()
        # Without the object service, requests with sound parts would wait.
        while_away = not exchange.in_trial or self._suspects.turns.has_turn(
            exchange.digest
        )
        claimed = claims.claim(
            id(exchange), suspects, engine, while_away=while_away
        )
        if not claimed:
            claims.end(id(exchange), may_have_run=False)
            self._refuse_claim(exchange)
            exchange.held_seconds += clock.uptime() - began + _POLL_SECONDS
        return claimed

    def end_claims(self, exchange: Exchange, *, may_have_run: bool) -> None:
        """End the trials that a request is, if any have not ended."""
        self._suspects.claims.end(id(exchange), may_have_run=may_have_run)

    def reason(self, exchange: Exchange) -> str:
        """Describe why a request is quarantined."""
        parts = self._suspects.parts.held(exchange.facts.shared_parts)
        if parts:
            return f'quarantined: engines crashed on part {parts[0]}'
        return 'quarantined: engines crashed while running it'

    def _refuse_claim(self, exchange: Exchange) -> None:
        exchange.claim_refused = exchange.in_trial
        exchange.in_trial = False

    def _trial_pause(self, exchange: Exchange) -> float:
        """Return the seconds until a request may be a trial."""
        pause = self._suspects.trial_pause(
            exchange.digest, exchange.facts.shared_parts
        )
        if self._suspects.claims.any_claimed(self._tried(exchange)):
            return max(pause, RETRY_AFTER_SECONDS)
        return pause

    def _tried(self, exchange: Exchange) -> Sequence[RequestDigest]:
        """Return the suspects that a request tries if it is sent now."""
        parts = self._suspects.parts.held(exchange.facts.shared_parts)
        tried = list(map(name_part, parts))
        if self._suspects.remaining_quarantine(lambda: exchange.digest):
            tried.append(exchange.digest)
        return tried

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
