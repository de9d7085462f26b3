"""Configuration, membership and engine state, and where they are read.

They come from the platform, from peers and from control calls to upstreams.
"""
