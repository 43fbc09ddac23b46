"""Sub-commands of ``persimmonyoke``.

Each command is a function whose keyword-only parameters become options; a nested
mapping is a group of commands.
"""

from collections.abc import Callable, Sequence
from typing import Any

from persimmonyoke_cli import (
    check_command,
    demo_command,
    explain_command,
    preset_commands,
    status_commands,
)
from persimmonyoke_cli.bench.catalogue import bench_commands

Command = Callable[..., Any]

COMMANDS: dict[str, Command | dict[str, Command]] = {
    "preset": {
        "list": preset_commands.list_presets,
        "show": preset_commands.show,
        "create": preset_commands.create,
        "edit": preset_commands.edit,
        "choose": preset_commands.choose,
        "history": preset_commands.history,
        "diff": preset_commands.diff,
    },
    "status": status_commands.status,
    "audit": status_commands.audit,
    "check": check_command.check,
    "demo": demo_command.demo,
    "explain": explain_command.explain,
}


def commands_for(argv: Sequence[str]) -> dict[str, Command | dict[str, Command]]:
    """Return all commands, including the options of the benchmark that argv names."""
    return {**COMMANDS, "bench": bench_commands(argv)}
