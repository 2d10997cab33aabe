"""Exchange reports with each peer: often while there is news, seldom at rest.

Load pattern: square bursts, in which counts change all the time, and gaps of
some seconds between them, in which hardly anything does. Bytes between data
halls are paid for, and a report that tells nothing new changes no decision.
"""

import random
from collections.abc import Callable
from http import HTTPStatus

import gevent
from bendlead_schema.gateway import NodeReport
from bendlead_store import clock

from bendlead_gateway._fleet.links import Link
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._fleet.wire import ReportWire
from bendlead_gateway._http.client import HttpConnection
from bendlead_gateway.types import DataHall

_ANSWER_SECONDS = 0.6
#: Longest pause (s) between two exchanges with a peer of another data hall
#: while there is no news for it. It stays below the time after which an owner
#: counts as quiet.
_REST_SECONDS = 0.12
_FIRST_PAUSE = 0.2
_LAST_PAUSE = 2.0


class Exchanges:
    """Ask peers for their reports and tell them ours."""

    def __init__(
        self,
        hall: DataHall,
        wire: ReportWire,
        report_to: Callable[[Peer], NodeReport],
        hear: Callable[[NodeReport], None],
        has_news: Callable[[Peer], bool],
    ) -> None:
        """Exchange what is reported to each; ask if there is news for it."""
        self._hall = hall
        self._wire = wire
        self._report_to = report_to
        self._hear = hear
        self._has_news = has_news

    def ask(self, peer: Peer, connection: HttpConnection) -> None:
        """Exchange reports with a peer, or raise OSError.

        A peer that lacks the report that ours builds on is sent it whole.
        """
        self._exchange_once(peer, connection)
        if peer.takes_changes and peer.change_link.writer.must_resend_whole:
            self._exchange_once(peer, connection)

    def talk(self, peer: Peer) -> None:
        """Exchange reports with one peer for as long as it is linked."""
        connection: HttpConnection | None = None
        pause = _FIRST_PAUSE
        while peer.link is not Link.NONE:
            known = connection is not None
            try:
                if connection is None:
                    connection = HttpConnection(
                        peer.record.address, _ANSWER_SECONDS
                    )
                self.ask(peer, connection)
            except OSError:
                # Logged once by the change of its liveness in PeerTable.
                if connection is not None:
                    connection.close()
                connection = None
                peer.forget_told()
                if not known:
                    gevent.sleep(pause * (0.5 + random.random()))
                    pause = min(_LAST_PAUSE, pause * 2)
                # One that worked may only have fallen silent: the peer is
                # asked again before it counts as stopped.
                continue
            pause = _FIRST_PAUSE
            self._rest(peer)
        if connection is not None:
            connection.close()

    def _rest(self, peer: Peer) -> None:
        """Wait until there is news for a peer, or it is time to hear it."""
        rest = 0.0 if peer.record.hall == self._hall else _REST_SECONDS
        until = clock.uptime() + rest
        gevent.sleep(peer.pause)
        while until - clock.uptime() > peer.pause / 2:
            if self._has_news(peer):
                break
            gevent.sleep(peer.pause)

    def _exchange_once(self, peer: Peer, connection: HttpConnection) -> None:
        sent = self._wire.write(peer, self._report_to(peer))
        response = connection.request(
            'POST',
            sent.path,
            [('Host', connection.address)],
            sent.body,
            _ANSWER_SECONDS,
        )
        if response.head.status != HTTPStatus.OK:
            raise OSError(f'status {response.head.status}')
        report = self._wire.read_answer(peer, sent.path, response.body)
        if report is not None:
            self._hear(report)
