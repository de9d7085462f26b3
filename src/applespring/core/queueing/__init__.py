"""Who is next: the order in which queued work gets the room of a pool."""
