"""Write the reference of settings from their schema."""

import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEAD = """# Settings

JSON with comments, one file for each process. Made from
`schemas/settings.json` by `make generate`. `bendlead settings check FILE`
shows every error at once; `bendlead settings explain KEY` explains one key.
"""


def main() -> None:
    """Write docs/reference/settings.md."""
    schema = json.loads((ROOT / 'schemas/settings.json').read_text())
    parts = [HEAD]
    for name, kind in schema['$defs'].items():
        parts.append(f'\n## {name}\n\n{kind["description"]}\n')
        if 'enum' in kind:
            parts.append(f'\nOne of: {", ".join(kind["enum"])}.\n')
            continue
        parts.append('\n| key | default | range | meaning |\n|---|---|---|---|\n')
        parts.extend(_row(key, one) for key, one in kind['properties'].items())
    target = ROOT / 'docs/reference/settings.md'
    target.write_text(''.join(parts))


def _row(key: str, kind: dict) -> str:
    default = json.dumps(kind['default']) if 'default' in kind else 'required'
    low, high = kind.get('minimum', ''), kind.get('maximum', '')
    span = f'{low} to {high}' if low != '' or high != '' else ''
    meaning = kind.get('description') or _reference(kind)
    return f'| `{key}` | {default} | {span} | {meaning} |\n'


def _reference(kind: dict) -> str:
    options = kind.get('anyOf', [kind])
    names = [one['$ref'].rsplit('/', 1)[1] for one in options if '$ref' in one]
    return f'see {names[0]}' if names else ''


if __name__ == '__main__':
    main()
