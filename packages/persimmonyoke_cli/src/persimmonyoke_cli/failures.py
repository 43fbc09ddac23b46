"""Failures of a command that are shown as one message."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_STATUS_HELP = (
    "Exit status: 0 done; 1 failed or refused; 2 wrong arguments; 3 the outcome of a "
    "change is unknown."
)


class CommandFailed(Exception):
    """End a command with a message and exit status 1."""


class UsageError(Exception):
    """End a command with a message and exit status 2, for wrong arguments."""


class OutcomeUnknown(CommandFailed):
    """End a command with exit status 3, for a change that may have been stored."""
