"""Permits for upstreams with a rate limit, for both interfaces."""
