"""Benchmarks and the policies that they compare with."""
