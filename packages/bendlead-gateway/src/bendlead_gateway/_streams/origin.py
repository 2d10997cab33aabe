"""Origin of a stream, which decides where it may be resumed."""

from msgspec import Struct

from bendlead_gateway.types import EngineVersion, ServiceName, TeamName


class StreamOrigin(Struct, frozen=True):
    """Version of the engine that sent the first event, and who asked for it.

    ``version`` is empty if it is not known for sure.
    """

    service: ServiceName
    version: EngineVersion
    route: str
    team: TeamName = TeamName('')
