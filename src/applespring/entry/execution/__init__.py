"""The way of one request through its stages to the upstreams."""
