"""Finish recorded requests whose entry was lost."""

from collections.abc import Callable, Iterator

import gevent
from bendlead_ledger import Shard
from bendlead_schema.messages import RequestPhase, RequestView
from bendlead_schema.records import RequestAccepted
from bendlead_store import clock

from bendlead_node._common.config import ConfigTable
from bendlead_node._entry.dispatch import OnlineRequest
from bendlead_node._entry.ownership import ShardTable
from bendlead_node._entry.recording import Recorder

_CHECK_SECONDS = 1.0
_DEADLINE_SECONDS = 300.0


class Recovery:
    """Rerun repeatable requests, and settle the others as unknown."""

    def __init__(
        self,
        shards: ShardTable,
        recorder: Recorder,
        config: ConfigTable,
        runner_alive: Callable[[str], bool],
    ) -> None:
        self._shards = shards
        self._recorder = recorder
        self._config = config
        self._runner_alive = runner_alive
        self._suspects: set[str] = set()

    def run(self) -> None:
        """Look for lost requests for ever."""
        while True:
            gevent.sleep(_CHECK_SECONDS)
            suspects: set[str] = set()
            for shard in self._shards.local():
                suspects.update(self._rerun_lost(shard))
            self._suspects = suspects

    def _rerun_lost(self, shard: Shard) -> set[str]:
        seen = set()
        for view, request in self._lost(shard):
            seen.add(view.request)
            # Twice in a row, so that a heartbeat may arrive first.
            if view.request in self._suspects:
                gevent.spawn(self._recorder.rerun, view, request)
        return seen

    def _lost(
        self,
        shard: Shard,
    ) -> Iterator[tuple[RequestView, OnlineRequest]]:
        for state in list(shard.state.requests.values()):
            accepted = state.accepted
            if state.status or self._runner_alive(accepted.runner):
                continue
            if accepted.request in self._recorder.running:
                continue
            view = RequestView(
                request=accepted.request,
                team=accepted.team,
                fingerprint=accepted.fingerprint,
                path=accepted.path,
                repeatable=accepted.repeatable,
                phase=RequestPhase.accepted,
                created=False,
            )
            yield (view, self._request(accepted))

    def _request(self, accepted: RequestAccepted) -> OnlineRequest:
        return OnlineRequest(
            request=accepted.request,
            team=accepted.team,
            service=accepted.service,
            model=accepted.model,
            method=accepted.method,
            path=accepted.path,
            body=accepted.body.encode(),
            stream=accepted.stream,
            repeatable=accepted.repeatable,
            deadline=clock.uptime() + _DEADLINE_SECONDS,
        )
