"""Stand-ins of outside systems and builders of test data."""
