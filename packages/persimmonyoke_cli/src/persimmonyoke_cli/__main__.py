"""Entry point of ``persimmonyoke``."""

from gevent import monkey

monkey.patch_all()

import sys
from collections.abc import Sequence

import defopt

from persimmonyoke.errors import PersimmonyokeError
from persimmonyoke_cli.failures import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_STATUS_HELP,
    EXIT_UNKNOWN,
    EXIT_USAGE,
    CommandFailed,
    OutcomeUnknown,
    UsageError,
)
from persimmonyoke_cli.registry import commands_for


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a sub-command and return its exit status; see ``EXIT_STATUS_HELP``."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    try:
        result = defopt.run(
            commands_for(argv),
            argv=argv,
            argparse_kwargs={"prog": "persimmonyoke", "epilog": EXIT_STATUS_HELP},
            short={},
        )
    except UsageError as error:
        return _fail(error, EXIT_USAGE)
    except OutcomeUnknown as error:
        return _fail(error, EXIT_UNKNOWN)
    except (CommandFailed, PersimmonyokeError, OSError) as error:
        return _fail(error, EXIT_FAILED)
    except KeyboardInterrupt:
        return _fail("interrupted", EXIT_FAILED)
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else EXIT_USAGE
    # A command that returns an int has chosen its own exit status.
    return result if isinstance(result, int) else EXIT_OK


def _fail(message: object, status: int) -> int:
    print(f"persimmonyoke: {message}", file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
