"""Simulated platform, engines and services for tests and benchmarks."""
