"""Start bendleadd from a checkout: the packages lie beside each other."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = (
    'platform/src',
    'packages/bendlead-gateway/src',
    'packages/bendlead-ledger/src',
    'packages/bendlead-schema/src',
    'packages/bendlead-store/src',
)
# The script's own folder holds nothing to import.
sys.path[0:1] = [str(ROOT / source) for source in SOURCES]

from bendlead_platform.main import main  # noqa: E402

main()
