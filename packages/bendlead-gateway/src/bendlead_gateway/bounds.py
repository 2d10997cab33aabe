"""Bounds of untrusted texts and numbers in messages."""

from typing import Annotated

from msgspec import Meta

_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
#: That of an address that one machine has.
_FIRST_OCTET = '(22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9][0-9]?)'
_PORT = (
    '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)
_MAX_NAME = 256
_MAX_SLOTS = 10_000
_MAX_WARM_UP_MS = 86_400_000
_MAX_TOKENS = 1_000_000_000

#: IPv4 address and port.
Address = Annotated[
    str, Meta(pattern=rf'^{_FIRST_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z')
]
Name = Annotated[str, Meta(max_length=_MAX_NAME)]
#: Slots of an engine; with none or fewer it gets no requests.
Slots = Annotated[int, Meta(le=_MAX_SLOTS)]
#: Warm-up of an engine, up to a day.
WarmUpMilliseconds = Annotated[float, Meta(ge=0, le=_MAX_WARM_UP_MS)]
#: Tokens of an item's prompt and output.
Tokens = Annotated[int, Meta(ge=0, le=_MAX_TOKENS)]

#: Texts that can be sent in the head of a request: others would fail at each
#: attempt to run an accepted item.
Target = Annotated[str, Meta(pattern=r'^[!-~\x80-\xff]+\Z')]
#: Engines return it, without the spaces around it.
HeaderId = Annotated[
    str,
    Meta(pattern=r'^([!-~\x80-\xff]([ -~\x80-\xff]*[!-~\x80-\xff])?)?\Z'),
]
HeaderName = Annotated[str, Meta(pattern=r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")]
HeaderText = Annotated[str, Meta(pattern=r'^[\t -~\x80-\xff]*\Z')]
