"""The bendleadd command: run one process as its settings say."""

import os
import signal
import sys

# Fixed before gevent makes its loop: epoll, and nothing that needs io_uring.
os.environ['GEVENT_LOOP'] = 'libev-cext'
os.environ['GEVENT_BACKEND'] = 'epoll'

from gevent import monkey  # noqa: E402

monkey.patch_all()

import gevent  # noqa: E402
from bendlead_schema.settings import NodeSettings, Role  # noqa: E402
from gevent import signal_handler  # noqa: E402
from result import Err  # noqa: E402

from bendlead_node._common.settings import load_settings  # noqa: E402
from bendlead_node._common.telemetry import start_logging  # noqa: E402

_USAGE = 'usage: bendleadd SETTINGS\n'
_BAD_SETTINGS = 2


def main() -> None:
    """Run the process that a settings file describes."""
    if len(sys.argv) != 2:  # noqa: PLR2004
        sys.stderr.write(_USAGE)
        sys.exit(_BAD_SETTINGS)
    loaded = load_settings(sys.argv[1])
    if isinstance(loaded, Err):
        sys.stderr.write('\n'.join([*loaded.err_value, '']))
        sys.exit(_BAD_SETTINGS)
    _require_epoll()
    start_logging()
    process = _process(loaded.ok_value)
    signal_handler(signal.SIGTERM, process.leave)
    process.run()


def _process(settings: NodeSettings):
    # Each role loads only its own modules, for memory on endpoint VMs.
    if settings.role is Role.entry:
        from bendlead_node._entry.process import EntryProcess  # noqa: PLC0415

        return EntryProcess(settings)
    from bendlead_node._endpoint.process import (  # noqa: PLC0415
        EndpointProcess,
    )

    return EndpointProcess(settings)


def _require_epoll() -> None:
    backend = gevent.get_hub().loop.backend
    if backend != 'epoll':
        raise RuntimeError(f'gevent runs on {backend}, not on epoll')
