"""Generate the typed messages from the schemas, or check that they match."""

import ast
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMAS = ROOT / 'schemas'
TARGET = ROOT / 'packages/bendlead-schema/src/bendlead_schema/_generated'
OPTIONS = (
    '--input-file-type=jsonschema',
    '--output-model-type=msgspec.Struct',
    '--use-schema-description',
    '--use-annotated',
    '--field-constraints',
    '--target-python-version=3.11',
    '--use-standard-collections',
    '--use-union-operator',
    '--use-default',
    '--keyword-only',
    '--disable-timestamp',
    '--formatters=builtin',
)


def generate(target: pathlib.Path) -> None:
    """Write a module for each schema to the target directory."""
    generator = pathlib.Path(sys.executable).parent / 'datamodel-codegen'
    command = [generator, f'--input={SCHEMAS}', f'--output={target}', *OPTIONS]
    subprocess.run(command, check=True)


def write_public(target: pathlib.Path) -> None:
    """Write a public module that re-exports each generated one."""
    for schema in SCHEMAS.glob('*.json'):
        module = schema.stem
        shutil.copy(schema, target.parent)
        tree = ast.parse((target / f'{module}.py').read_text())
        names = sorted(
            node.name for node in tree.body if isinstance(node, ast.ClassDef)
        )
        names += [
            node.target.id
            for node in tree.body
            if isinstance(node, ast.AnnAssign)
            and node.target.id not in {'Model'}
        ]
        listed = ''.join(f'    {name},\n' for name in sorted(names))
        public = ''.join(f"    '{name}',\n" for name in sorted(names))
        (target.parent / f'{module}.py').write_text(
            f'"""Typed {module}, generated from schemas/{module}.json."""\n\n'
            f'from bendlead_schema._generated.{module} import (\n{listed})\n\n'
            f'__all__ = (\n{public})\n',
        )


def find_stale(target: pathlib.Path) -> list[str]:
    """Return the names of committed modules that are out of date."""
    return [
        generated.name
        for generated in sorted(target.glob('*.py'))
        if generated.read_text() != (TARGET / generated.name).read_text()
    ]


def main() -> None:
    """Generate in place, or with --check fail if modules are out of date."""
    if '--check' not in sys.argv:
        generate(TARGET)
        write_public(TARGET)
        return
    with tempfile.TemporaryDirectory() as folder:
        generated = pathlib.Path(folder) / '_generated'
        generate(generated)
        stale = find_stale(generated)
    if stale:
        sys.exit(f'generated code is stale, run make generate: {stale}')


if __name__ == '__main__':
    main()
