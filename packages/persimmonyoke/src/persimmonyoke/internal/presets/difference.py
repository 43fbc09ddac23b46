"""Human-readable differences between presets and between revisions."""

from collections.abc import Iterator, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

from persimmonyoke.errors import PresetError
from persimmonyoke.internal.presets.model import ModelSpec, Preset
from persimmonyoke.internal.presets.parser import parse_preset
from persimmonyoke.internal.presets.revision import Revision

MAX_LINES = 200
DIGEST_CHARACTERS = 12
SHA256_CHARACTERS = 64


def preset_difference(old: Preset, new: Preset) -> tuple[str, ...]:
    """Return a line for each setting that differs, with the old and new value."""
    before, after = dict(_flatten(old)), dict(_flatten(new))
    lines = []
    for key in sorted(before.keys() | after.keys()):
        if key not in after:
            lines.append(f"- {key} = {before[key]}")
        elif key not in before:
            lines.append(f"+ {key} = {after[key]}")
        elif before[key] != after[key]:
            lines.append(f"~ {key}: {before[key]} -> {after[key]}")
    return tuple(lines)


def revision_difference(old: Revision | None, new: Revision | None) -> tuple[str, ...]:
    """Return the changes from one revision to another, preset by preset."""
    before: Mapping[str, str] = old.presets if old else {}
    after: Mapping[str, str] = new.presets if new else {}
    changed = {
        name
        for name in before.keys() | after.keys()
        if before.get(name) != after.get(name)
    }
    lines = []
    active = (old.active if old else None, new.active if new else None)
    if active[0] != active[1]:
        lines.append(f"~ preset in force: {active[0] or 'none'} -> {active[1]}")
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            lines.append(f"- preset {name}")
        elif name not in before:
            lines.append(f"+ preset {name}")
        elif name in changed or any(other in after[name] for other in changed):
            # Parsing a base for 1,900 workspaces takes 0.2 s. An unchanged text that
            # does not name a changed preset, and so can't inherit from one, is skipped.
            lines.extend(_changed_preset(name, before, after))
    if len(lines) > MAX_LINES:
        left_out = len(lines) - MAX_LINES
        lines = [*lines[:MAX_LINES], f"... and {left_out} more lines"]
    return tuple(lines)


def _changed_preset(
    name: str, before: Mapping[str, str], after: Mapping[str, str]
) -> list[str]:
    try:
        old, new = parse_preset(name, before), parse_preset(name, after)
    except PresetError as error:
        # An older version may have accepted a text that this version refuses.
        return [f"~ preset {name} can't be compared: {error}"]
    lines = [f"{line[0]} {name}: {line[2:]}" for line in preset_difference(old, new)]
    if not lines and before[name] != after[name]:
        return [f"~ {name}: only comments or layout"]
    return lines


def _flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the dotted name and the formatted value of each setting."""
    if is_dataclass(value) and not isinstance(value, ModelSpec):
        for item in fields(value):
            yield from _flatten(getattr(value, item.name), _join_path(path, item.name))
    elif isinstance(value, Mapping):
        for key, inner in value.items():
            yield from _flatten(inner, _join_path(path, key))
    else:
        yield path, _format_value(value)


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _format_value(value: Any) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, frozenset):
        return _format_value(tuple(sorted(value)))
    if isinstance(value, tuple):
        return "[" + ", ".join(_format_value(item) for item in value) + "]"
    if isinstance(value, ModelSpec):
        adapters = "".join(f" +{adapter}" for adapter in value.adapters)
        return f"{value.name}@{value.version}{adapters}"
    if isinstance(value, str) and len(value) == SHA256_CHARACTERS:
        return value[:DIGEST_CHARACTERS] + "..."
    return f"{value:g}" if isinstance(value, float) else str(value)
