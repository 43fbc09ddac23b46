"""Simulators of external systems and builders of test data."""
