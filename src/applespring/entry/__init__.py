"""The entry instance, the only daemon that this package needs."""
