"""Choice of an upstream by expected cost, remaining work and speed.

I/O-free. `slowness` learns how the upstreams of a pool differ in speed, `cost`
what a request is likely to cost, and `even` chooses among upstreams of equal or
nearly equal cost so that instances do not prefer the same one.
"""
