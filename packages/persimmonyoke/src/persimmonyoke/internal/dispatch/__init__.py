"""Routing, placement and refusal decisions of the gateway, free of I/O."""
