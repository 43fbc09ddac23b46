"""Decisions of the gateway, without input or output: routes, placement, refusal."""
