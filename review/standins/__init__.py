"""Stand-ins and helpers for the review's cases; they use the standard library only."""
