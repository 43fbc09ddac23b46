"""Attempts, retries, resume and quarantine of generations and service calls."""
