"""Entry point of the gateway's processes."""

import socket

from bendlead_store import FollowedStore

from bendlead_gateway._reload import SettingsSource
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import NodeRole, NodeSettings


def run_process(
    settings: NodeSettings,
    store: FollowedStore,
    dialect: Dialect,
    source: SettingsSource,
    clients: socket.socket | None = None,
) -> None:
    """Run an entry or an owner of batch jobs until it is stopped."""
    # Each role imports only its own modules, to save memory.
    if settings.role is NodeRole.ENTRY:
        from bendlead_gateway._entry import EntryNode  # noqa: PLC0415

        EntryNode(settings, store, dialect, clients).run(source)
    else:
        from bendlead_gateway._owner import OwnerNode  # noqa: PLC0415

        OwnerNode(settings, store, dialect).run(source)
