"""Daemon of persimmonyoke: entry node and controller."""
