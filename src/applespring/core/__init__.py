"""Data types and decisions of the serving system, without I/O.

Functions that need the time take it as seconds on one monotonic clock.
Nothing here opens a socket or a file, sleeps, or writes a log.
"""
