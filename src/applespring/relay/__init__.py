"""Forwards requests to upstreams by a routing document, stage by stage."""
