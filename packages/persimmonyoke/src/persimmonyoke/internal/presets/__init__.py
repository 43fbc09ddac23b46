"""Presets, revisions of the configuration and the view that is in force."""
