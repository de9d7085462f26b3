"""Benchmarks of scheduling in virtual time, and capacity measurements."""
