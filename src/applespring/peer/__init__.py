"""Messages between instances, and the transport that carries them.

Entry instances use it among each other, and so do relay instances.
"""
