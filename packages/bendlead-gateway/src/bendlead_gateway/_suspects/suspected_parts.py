"""Parts of prompts that may be the cause if an engine crashes."""

from bendlead_store import clock

from bendlead_gateway.types import PromptPart

#: A part that crashes engines does so as they begin to write the answer.
_SUSPECTED_SECONDS = 1.0


def find_suspected_parts(
    parts: tuple[PromptPart, ...], response_started_at: float
) -> tuple[PromptPart, ...]:
    """Return the parts of a running request that may be the cause.

    There are none once its response has gone on for a while;
    ``response_started_at`` is 0 before it.
    """
    if not response_started_at:
        return parts
    return () if outlasts_suspicion(response_started_at) else parts


def outlasts_suspicion(response_started_at: float) -> bool:
    """Return whether a response has gone on for longer than a part may take.

    Its parts do not crash engines then, whether or not it is completed.
    """
    return clock.uptime() - response_started_at > _SUSPECTED_SECONDS
