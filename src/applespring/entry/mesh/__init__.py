"""Messages between entry instances, and ownership of idempotency keys."""
