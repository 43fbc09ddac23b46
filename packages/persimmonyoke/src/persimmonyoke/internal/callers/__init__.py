"""HTTP surface for callers."""
