"""Randomized soak test: real relay processes under injected faults."""
