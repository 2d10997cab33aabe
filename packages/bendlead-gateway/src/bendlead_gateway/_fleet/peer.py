"""What is known of one other process of ours."""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import gevent
from bendlead_schema.gateway import NodeReport

from bendlead_gateway.types import PeerRecord


@dataclass(slots=True)
class Peer:
    """Keep what is known of one peer."""

    record: PeerRecord
    report: NodeReport | None = None
    heard: float = 0
    task: gevent.Greenlet | None = None
    #: Nodes that the peer does not hear.
    missed: Sequence[str] = ()
    listed: float = field(default_factory=time.monotonic)
