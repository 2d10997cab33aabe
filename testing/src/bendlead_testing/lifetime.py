"""Lifetime of the processes that a harness starts."""

import ctypes
import os
import signal

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


def end_with_parent(parent: int) -> None:
    """Have the system kill this process once its parent ends.

    Runs in the child process before the program is loaded (``preexec_fn``).
    """
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        # The parent ended before the call.
        os.kill(os.getpid(), signal.SIGKILL)
