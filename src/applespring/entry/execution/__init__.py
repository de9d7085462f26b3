"""Execution of a request: its stages, their gates and upstream calls."""
