"""HTTP/1.1 over gevent sockets, with llhttp as the parser."""
