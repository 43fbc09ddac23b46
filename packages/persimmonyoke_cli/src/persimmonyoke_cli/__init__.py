"""Command-line interface for operators of persimmonyoke."""
