"""Command that validates a settings file or a preset without a running node."""

import tomllib
from pathlib import Path
from typing import Any, Literal

from persimmonyoke.errors import InvalidDocumentError
from persimmonyoke.internal.presets import parse_preset
from persimmonyoke.internal.settings import SettingsRole, load_settings
from persimmonyoke_cli.failures import CommandFailed, UsageError


def check(file: Path, *, role: Literal["auto", "entry", "controller"] = "auto") -> None:
    """Validate a settings file or a preset and list all errors.

    A file with a [process] table is a settings file, any other file is a preset. The
    base of a preset is read from the same directory.

    :param file: TOML file
    :param role: type of process that the settings are for; auto selects controller
        for a file with a [controller] table and no [listen] table, otherwise entry
    """
    values = _parse_toml(file)
    try:
        if "process" in values:
            chosen = _detect_role(values) if role == "auto" else SettingsRole(role)
            load_settings(file, chosen)
            print(f"{file}: valid settings ({chosen.value})")
        else:
            parse_preset(file.stem, _preset_texts(file, values))
            print(f"{file}: valid preset")
    except InvalidDocumentError as error:
        raise CommandFailed(str(error)) from error


def _parse_toml(file: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(_read_text(file))
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise CommandFailed(f"{file} is not valid TOML: {error}") from error


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{file} can't be read: {error}") from error


def _detect_role(values: dict[str, Any]) -> SettingsRole:
    if "controller" in values and "listen" not in values:
        return SettingsRole.CONTROLLER
    return SettingsRole.ENTRY


def _preset_texts(file: Path, values: dict[str, Any]) -> dict[str, str]:
    """Return the text of the preset and of its base, if the base has a file."""
    texts = {file.stem: _read_text(file)}
    base = values.get("base")
    if isinstance(base, str) and Path(base).name == base:
        base_file = file.with_name(f"{base}.toml")
        if base_file.is_file():
            texts.setdefault(base, _read_text(base_file))
    return texts
