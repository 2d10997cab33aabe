"""Clock for ages, leases and deadlines."""

import time
from functools import partial

#: Return the seconds since the machine started, including time suspended.
#: ``time.monotonic`` leaves that time out, so that a resumed process would
#: trust an expired lease.
uptime = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
