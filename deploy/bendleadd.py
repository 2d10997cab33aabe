"""Start bendleadd from a source checkout, without installed packages."""

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
# Ignored until the handler that reloads the settings is installed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Held until its handler is installed: clients may wait for answers by then.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM,))
# Replaces the script's directory, which has no modules to import.
sys.path[0:1] = [str(ROOT / source) for source in SOURCES]

from bendlead_preopen import open_clients_socket  # noqa: E402

clients = open_clients_socket()

from bendlead_platform.main import main  # noqa: E402

main(clients)
