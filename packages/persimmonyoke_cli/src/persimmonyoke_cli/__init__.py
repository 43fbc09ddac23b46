"""Command line for operators of persimmonyoke."""
