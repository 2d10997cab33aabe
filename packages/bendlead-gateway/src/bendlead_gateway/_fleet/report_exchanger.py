"""Exchange reports with each peer: often while there are updates, else rarely.

Traffic between data halls is paid for, so exchanges between halls slow down
while there is nothing new to send.
"""

import random
from collections.abc import Callable
from http import HTTPStatus

import gevent
from bendlead_schema.gateway import NodeReport
from bendlead_store import clock

from bendlead_gateway._fleet.links import Link
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._fleet.report_codec import ReportCodec
from bendlead_gateway._http.client import HttpConnection
from bendlead_gateway.types import DataHall

_TIMEOUT_SECONDS = 0.6
#: Longest interval between exchanges with a peer in another data hall while
#: there are no updates for it. Must stay below ``PROBE_AFTER_SECONDS``.
_IDLE_SECONDS = 0.12
_MIN_BACKOFF_SECONDS = 0.2
_MAX_BACKOFF_SECONDS = 2.0


class ReportExchanger:
    """Client side of the report exchange with each linked peer."""

    def __init__(
        self,
        hall: DataHall,
        codec: ReportCodec,
        build_report: Callable[[Peer], NodeReport],
        on_report: Callable[[NodeReport], None],
        has_updates: Callable[[Peer], bool],
    ) -> None:
        """Set the callbacks to build and receive reports and detect updates."""
        self._hall = hall
        self._codec = codec
        self._build_report = build_report
        self._on_report = on_report
        self._has_updates = has_updates

    def exchange(self, peer: Peer, connection: HttpConnection) -> None:
        """Exchange reports with a peer, or raise OSError.

        Resends the report in full if the peer lacks the one it is based on.
        """
        self._exchange_once(peer, connection)
        if peer.takes_changes and peer.change_codec.writer.must_resend_full:
            self._exchange_once(peer, connection)

    def run(self, peer: Peer) -> None:
        """Exchange reports with one peer for as long as it is linked."""
        # Runs again after an error, which may have cut an exchange.
        peer.reset_exchange()
        connection: HttpConnection | None = None
        backoff = _MIN_BACKOFF_SECONDS
        while peer.link is not Link.NONE:
            established = connection is not None
            try:
                if connection is None:
                    connection = HttpConnection(
                        peer.record.address, _TIMEOUT_SECONDS
                    )
                self.exchange(peer, connection)
            except OSError:
                # PeerTable logs the change of liveness.
                if connection is not None:
                    connection.close()
                connection = None
                peer.reset_exchange()
                if not established:
                    gevent.sleep(backoff * (0.5 + random.random()))
                    backoff = min(_MAX_BACKOFF_SECONDS, backoff * 2)
                # An established connection may just have broken: retry at
                # once, before the peer counts as down.
                continue
            backoff = _MIN_BACKOFF_SECONDS
            self._wait(peer)
        if connection is not None:
            connection.close()

    def _wait(self, peer: Peer) -> None:
        """Wait until there is an update for the peer or the interval ends."""
        idle = 0.0 if peer.record.hall == self._hall else _IDLE_SECONDS
        until = clock.uptime() + idle
        gevent.sleep(peer.interval)
        while until - clock.uptime() > peer.interval / 2:
            if self._has_updates(peer):
                break
            gevent.sleep(peer.interval)

    def _exchange_once(self, peer: Peer, connection: HttpConnection) -> None:
        sent = self._codec.encode(peer, self._build_report(peer))
        response = connection.request(
            'POST',
            sent.path,
            [('Host', connection.address)],
            sent.body,
            _TIMEOUT_SECONDS,
        )
        if response.head.status != HTTPStatus.OK:
            raise OSError(f'peer responded with status {response.head.status}')
        report = self._codec.decode_response(peer, sent.path, response.body)
        if report is not None:
            self._on_report(report)
