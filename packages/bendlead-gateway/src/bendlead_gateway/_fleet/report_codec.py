"""Encode reports: in full within a hall, as changes between halls."""

from collections import Counter

import msgspec
from bendlead_schema.gateway import NodeReport, ReportChange
from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._fleet.changes import (
    ChangeCodec,
    ReportGapError,
    UnreadableChangeError,
)
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._log import Log
from bendlead_gateway.json_values import DECODE_ERRORS
from bendlead_gateway.types import DataHall

REPORT_PATH = '/peer/report'
CHANGES_PATH = '/peer/changes'
_REPORT_DECODER = msgspec.json.Decoder(NodeReport)
_CHANGE_DECODER = msgspec.json.Decoder(ReportChange)


class EncodedReport(Struct, frozen=True):
    """An encoded report and the request path for it."""

    path: str
    body: bytes


class ReportCodec:
    """Encode reports to peers and decode theirs.

    Peers in other halls are sent changes once they have said that they accept
    them; peers of older versions never do and get full reports.
    """

    def __init__(self, hall: DataHall, log: Log) -> None:
        self._hall = hall
        self._log = log
        #: Bytes of reports sent, by kind of link.
        self.sent_bytes: Counter[str] = Counter()

    def encode(self, peer: Peer, report: NodeReport) -> EncodedReport:
        """Encode the report for a request to a peer."""
        if self._is_in_other_hall(peer) and peer.takes_changes:
            return EncodedReport(CHANGES_PATH, self.encode_change(peer, report))
        return EncodedReport(REPORT_PATH, self.encode_full(peer, report))

    def encode_full(self, peer: Peer | None, report: NodeReport) -> bytes:
        """Encode a full report."""
        body = msgspec.json.encode(report)
        other_hall = peer is not None and self._is_in_other_hall(peer)
        self.sent_bytes['other_hall_whole' if other_hall else 'same_hall'] += (
            len(body)
        )
        return body

    def encode_change(self, peer: Peer | None, report: NodeReport) -> bytes:
        """Encode a report as changes; in full if there is no previous one."""
        codec = peer.change_codec if peer else ChangeCodec()
        received = codec.reader.last_number
        change = codec.writer.write(report, received, clock.uptime())
        body = msgspec.json.encode(change)
        self.sent_bytes['other_hall_changes'] += len(body)
        return body

    def decode_full(self, body: bytes) -> NodeReport:
        """Decode a full report, or raise DECODE_ERRORS."""
        return _REPORT_DECODER.decode(body)

    def decode_change(self, body: bytes) -> ReportChange:
        """Decode a change, or raise DECODE_ERRORS."""
        return _CHANGE_DECODER.decode(body)

    def decode_response(
        self, peer: Peer, path: str, body: bytes
    ) -> NodeReport | None:
        """Decode a peer's response, or raise OSError."""
        try:
            if path == REPORT_PATH:
                return self.decode_full(body)
            return self.apply(peer, self.decode_change(body))
        except DECODE_ERRORS as error:
            self._log.event(
                'report-unreadable', peer=peer.record.node, reason=error
            )
            raise OSError('response contains no readable report') from error

    def apply(self, peer: Peer, change: ReportChange) -> NodeReport | None:
        """Apply a change; log and return None if that is impossible.

        The base report may be missing, or the change unreadable.
        """
        if not peer.change_codec.writer.confirm(change.holds):
            # The last report to the peer may be lost.
            peer.resend_updates()
        try:
            return peer.change_codec.reader.read(change, clock.uptime())
        except ReportGapError as gap:
            self._log.event('report-gap', peer=change.node, reason=gap)
        except UnreadableChangeError as error:
            self._log.event('report-unreadable', peer=change.node, reason=error)
        return None

    def _is_in_other_hall(self, peer: Peer) -> bool:
        return peer.record.hall != self._hall
