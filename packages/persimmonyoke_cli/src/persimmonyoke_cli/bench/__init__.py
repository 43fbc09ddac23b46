"""Benchmarks of the system, each in a module that is imported only when it is run."""
