"""Benchmarks of the system: one module for each, imported only when it is called."""
