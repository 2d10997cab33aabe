"""Generate the settings reference from the schema."""

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
        parts.append(
            '\n| key | default | range | meaning |\n|---|---|---|---|\n'
        )
        parts.extend(
            _table_row(key, field) for key, field in kind['properties'].items()
        )
    target = ROOT / 'docs/reference/settings.md'
    target.write_text(''.join(parts))


def _table_row(key: str, kind: dict) -> str:
    default = json.dumps(kind['default']) if 'default' in kind else 'required'
    low, high = kind.get('minimum', ''), kind.get('maximum', '')
    value_range = f'{low} to {high}' if low != '' or high != '' else ''
    meaning = kind.get('description') or _type_reference(kind)
    return f'| `{key}` | {default} | {value_range} | {meaning} |\n'


def _type_reference(kind: dict) -> str:
    options = kind.get('anyOf', [kind])
    names = [
        option['$ref'].rsplit('/', 1)[1]
        for option in options
        if '$ref' in option
    ]
    return f'see {names[0]}' if names else ''


if __name__ == '__main__':
    main()
