"""Values of log lines, shared with other packages."""

from typing import Any

#: Limit of one value: some come from other programs.
_MAX_CHARACTERS = 4000


def quote_field(field: Any) -> str:
    """Return a value as text that neither ends its line nor looks like one."""
    try:
        text = str(field)
    except Exception:
        # The line has more to tell than this value.
        return f'<{type(field).__name__}>'
    if len(text) > _MAX_CHARACTERS:
        text = f'{text[:_MAX_CHARACTERS]}...'
    if text and text.isprintable() and ' ' not in text and '"' not in text:
        return text
    # Surrogates can't be encoded, and line breaks would end the line.
    encodable = text.encode(errors='backslashreplace').decode()
    escaped = encodable.replace('"', "'")
    shown = (char if char.isprintable() else ' ' for char in escaped)
    return f'"{"".join(shown)}"'
