"""Entry point of ``persimmonyoke-node``."""

from gevent import monkey

monkey.patch_all()

import gc
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import gevent
from gevent.event import Event

from persimmonyoke.errors import SettingsError
from persimmonyoke.internal.invariants import MONITOR
from persimmonyoke.internal.observability import configure_logging, register_secret
from persimmonyoke.internal.settings import Settings, SettingsRole, load_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2


def entry(settings: Path) -> int:
    """Run an entry node until SIGTERM or SIGINT, then shut it down gracefully.

    :param settings: TOML file with the settings of the process
    """
    return _run(settings, SettingsRole.ENTRY)


def controller(settings: Path) -> int:
    """Run a controller until SIGTERM or SIGINT, then release its leases.

    :param settings: TOML file with the settings of the process
    """
    return _run(settings, SettingsRole.CONTROLLER)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one process and return its exit status, which is 2 for invalid settings."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    match argv:
        case ["entry", path] if not path.startswith("-"):
            return entry(Path(path))
        case ["controller", path] if not path.startswith("-"):
            return controller(Path(path))
    # Imported only for help and usage errors: defopt and docutils would occupy 3.6 MB,
    # of the 32 MB that a host has for control, for as long as the process runs.
    import defopt

    options = {"prog": "persimmonyoke-node"}
    return defopt.run([entry, controller], argv=argv, argparse_kwargs=options, short={})


def _run(path: Path, role: SettingsRole) -> int:
    try:
        settings = load_settings(path, role)
    except SettingsError as error:
        print(f"persimmonyoke-node: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    MONITOR.raising = False
    _register_secrets(settings)
    configure_logging(level=settings.log.level, log_format=settings.log.format)
    try:
        return _serve(_node_class(role)(settings))
    except OSError as error:
        print(f"persimmonyoke-node: can't listen: {error}", file=sys.stderr)
        return EXIT_FAILED


def _node_class(role: SettingsRole) -> Callable:
    """Import only the modules of the role, since a host has little memory."""
    if role is SettingsRole.ENTRY:
        from persimmonyoke.internal.node.entry import EntryNode

        return EntryNode
    from persimmonyoke.internal.node.controller import ControllerNode

    return ControllerNode


def _register_secrets(settings: Settings) -> None:
    if settings.peers is not None:
        register_secret(settings.peers.shared_key)
    if settings.streams is not None:
        register_secret(settings.streams.signing_key)


def _serve(node: object) -> int:
    stop_requested = Event()
    # Further signals have no effect: a second SIGTERM must not abort streams.
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    node.start()
    # Exclude the imported modules, which live as long as the process, from collection.
    gc.collect()
    gc.freeze()
    stop_requested.wait()
    return EXIT_OK if node.shutdown() else EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
