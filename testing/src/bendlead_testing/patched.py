"""Import first: gevent on epoll, with the standard library patched."""

import os

os.environ['GEVENT_LOOP'] = 'libev-cext'
os.environ['GEVENT_BACKEND'] = 'epoll'

from gevent import monkey

monkey.patch_all()
