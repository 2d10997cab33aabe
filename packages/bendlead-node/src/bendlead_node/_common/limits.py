"""Limits for what engines and other processes send.

A broken peer may send bytes without an end, so no read depends on it to stop.
"""

#: Answer of an engine, or of an endpoint process, that is kept as a whole.
MAX_BODY_BYTES = 8_388_608
#: One event of a stream.
MAX_EVENT_BYTES = 1_048_576
#: Message of an own process. A run carries the lines of all its items, and a
#: recorded answer is escaped twice.
MAX_MESSAGE_BYTES = 64_000_000
#: Bytes of a response without a byte of its body: its head with all interim
#: (1xx) responses before it, chunk extensions, trailers.
MAX_OVERHEAD_BYTES = 65_536
