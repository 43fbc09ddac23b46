"""Failures of a command that are shown as one message."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class CommandFailed(Exception):
    """End a command with a message and exit status 1."""


class UsageError(Exception):
    """End a command with a message and exit status 2, for wrong arguments."""
