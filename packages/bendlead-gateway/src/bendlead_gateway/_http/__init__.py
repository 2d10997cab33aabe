"""HTTP/1.1 client and server over gevent sockets, parsed by llhttp."""
