"""Limits for what peers send.

A broken peer may send bytes without an end, so no read depends on it to stop.
"""

#: Head of a response with all interim (1xx) responses before it.
MAX_HEAD_BYTES = 65_536
#: Bytes between two parts of a body: chunk extensions and trailers.
MAX_OVERHEAD_BYTES = 65_536
#: Time from the first byte of a head or of such an overhead to its last one.
MAX_OVERHEAD_SECONDS = 1.0
#: Body that is kept as a whole, and request of an own process. Values and pages
#: of the object service and pages of results are near 1 MB.
MAX_BODY_BYTES = 8_388_608
#: Body of a refusal, read only to use its connection again.
MAX_REFUSAL_BYTES = 65_536
#: Part of a plain answer that is kept to retry it at another engine.
MAX_RETRIED_BYTES = 1_048_576
#: Plain answer without length or chunks. It can't be passed on in parts, since
#: it would look complete if it then broke off.
MAX_UNFRAMED_BYTES = 4_194_304
#: One event of a stream.
MAX_EVENT_BYTES = 1_048_576
#: Text of a batch item: its result has to fit a value of the object service.
MAX_ITEM_TEXT_BYTES = 524_288
MAX_ITEM_EVENTS = 16_384
#: Time from the first to the last byte of one event.
MAX_EVENT_SECONDS = 1.0
