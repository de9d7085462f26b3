"""The metrics of an entry instance."""
