"""What instances tell each other, and the keys that one of them owns."""
