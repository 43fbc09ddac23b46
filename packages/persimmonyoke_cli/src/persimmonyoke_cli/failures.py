"""Exceptions that end a command with an error message, and the exit statuses."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_STATUS_HELP = (
    "Exit status: 0 done; 1 failed or refused; 2 wrong arguments; 3 the outcome of a "
    "change is unknown."
)


class CommandFailed(Exception):
    """A command failed; exit status 1."""


class UsageError(Exception):
    """The arguments of a command are invalid; exit status 2."""


class OutcomeUnknown(CommandFailed):
    """A change may or may not have been stored; exit status 3."""
