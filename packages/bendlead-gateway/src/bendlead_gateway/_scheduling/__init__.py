"""Decide what waits, what is refused, and where requests and items run.

Nothing here opens a socket, starts a task, reads a clock or draws a number by
itself: what is known comes in as typed values, and so do time and chance.
"""
