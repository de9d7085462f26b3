"""Quarantine of requests and prompt parts that crash upstreams."""
