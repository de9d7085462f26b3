"""Demonstration of the system as separate processes on one machine."""
