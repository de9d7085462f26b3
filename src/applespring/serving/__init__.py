"""HTTP servers on asyncio, made of the connections of hypercorn.

hypercorn has no bounds for what its connections hold together. This package
adds them: to what a connection reads ahead, to what a request that was answered
still sends, and to the connections of a server.
"""
