"""What other processes of the system ask of an entry."""

from collections.abc import Callable
from http import HTTPStatus

from bendlead_ledger import ShardId
from bendlead_schema.messages import (
    Command,
    EndpointHeartbeat,
    EndpointHeartbeatReply,
    EntryHeartbeat,
    GrantRun,
    NoWork,
    PushChanges,
    Reply,
    SyncRequest,
)

from bendlead_node._common.config import ConfigTable
from bendlead_node._common.peer_gate import PeerGate
from bendlead_node._common.web import (
    Answer,
    Call,
    CallError,
    Route,
    json_answer,
)
from bendlead_node._entry.members import Members
from bendlead_node._entry.ownership import ShardTable
from bendlead_node._entry.relay import Relay

#: Configuration keys that an endpoint process needs.
_ENDPOINT_PREFIXES = ('config/stop/',)


class PeerApi:
    """Answer heartbeats, commands to shards, and configuration exchange."""

    def __init__(
        self,
        gate: PeerGate,
        members: Members,
        shards: ShardTable,
        relay: Relay,
        config: ConfigTable,
        heartbeat: Callable[[], EntryHeartbeat],
        hear_entry: Callable[[EntryHeartbeat], None],
        hear_ends: Callable[[EndpointHeartbeat], None],
    ) -> None:
        self._gate = gate
        self._members = members
        self._shards = shards
        self._relay = relay
        self._config = config
        self._heartbeat = heartbeat
        self._hear_entry = hear_entry
        self._hear_ends = hear_ends

    def routes(self) -> list[Route]:
        """List the paths that peers use."""
        return [
            Route('POST', '/peer/v1/heartbeat', self.entry_heartbeat),
            Route('POST', '/peer/v1/endpoint', self.endpoint_heartbeat),
            Route('POST', '/peer/v1/grants', self.grant),
            Route('POST', '/peer/v1/push', self.push),
            Route('POST', '/peer/v1/sync', self.sync),
            Route('POST', '/peer/v1/shards/<int:shard>', self.command),
            Route('POST', '/peer/v1/route/<int:shard>', self.route),
        ]

    def entry_heartbeat(self, call: Call) -> Answer:
        """Exchange heartbeats with another entry."""
        self._hear_entry(self._gate.read(call, EntryHeartbeat))
        return json_answer(self._heartbeat())

    def endpoint_heartbeat(self, call: Call) -> Answer:
        """Hear an endpoint process and tell it what it needs."""
        heartbeat = self._gate.read(call, EndpointHeartbeat)
        self._members.hear_endpoint(heartbeat)
        self._hear_ends(heartbeat)
        mine = self._heartbeat()
        entries = [mine, *self._members.entries()]
        changes = [
            held
            for held in self._config.above(heartbeat.versions)
            if held.key.startswith(_ENDPOINT_PREFIXES)
        ]
        return json_answer(
            EndpointHeartbeatReply(
                entries=[one.address for one in entries if not one.leaving],
                changes=changes,
                leaving=heartbeat.address in self._members.leaving_machines,
            ),
        )

    def grant(self, call: Call) -> Answer:
        """Grant a run from the shards owned here."""
        command = self._gate.read(call, GrantRun)
        for shard in self._shards.local():
            reply = shard.answer(command)
            if not isinstance(reply, NoWork):
                return json_answer(reply)
        return json_answer(NoWork())

    def command(self, call: Call) -> Answer:
        """Answer a command to a shard owned here."""
        command = self._gate.read(call, Command)
        return self._replied(
            self._shards.answer(ShardId(int(call.fields['shard'])), command),
        )

    def route(self, call: Call) -> Answer:
        """Have the owner of a shard answer a command."""
        command = self._gate.read(call, Command)
        shard = ShardId(int(call.fields['shard']))
        reply = self._shards.call(shard, command)
        if reply.is_err():
            failure = reply.unwrap_err()
            raise CallError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'unavailable',
                str(failure),
                retry_after=1,
            )
        return self._replied(reply.unwrap())

    def push(self, call: Call) -> Answer:
        """Take configuration changes from a peer."""
        return json_answer(
            self._relay.take_push(self._gate.read(call, PushChanges)),
        )

    def sync(self, call: Call) -> Answer:
        """Give a peer the configuration it lacks."""
        return json_answer(
            self._relay.answer_sync(self._gate.read(call, SyncRequest)),
        )

    def _replied(self, reply: Reply) -> Answer:
        return json_answer(reply)
