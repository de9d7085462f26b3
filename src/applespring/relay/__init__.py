"""Forwards requests of a routing document to upstreams, stage by stage."""
