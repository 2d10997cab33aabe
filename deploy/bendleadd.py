"""Start bendleadd from a checkout: the packages lie beside each other."""

import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = (
    'platform/src',
    'packages/bendlead-gateway/src',
    'packages/bendlead-ledger/src',
    'packages/bendlead-schema/src',
    'packages/bendlead-store/src',
)
# Until the process handles it: the settings are read after this.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# The script's own folder holds nothing to import.
sys.path[0:1] = [str(ROOT / source) for source in SOURCES]

from bendlead_preopen import open_clients_socket  # noqa: E402

clients = open_clients_socket()

from bendlead_platform.main import main  # noqa: E402

main(clients)
