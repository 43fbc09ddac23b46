"""Daemon of persimmonyoke, which runs an entry node or a controller."""
