"""Builders of presets and revisions."""

import hashlib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import tomli_w

from persimmonyoke.internal.presets import (
    Change,
    ChangeAction,
    Preset,
    Revision,
    parse_preset,
)

FIRM = "kente"
WORKSPACE = "storefront"
WORKSPACE_KEY = "kente-demo-storefront"
EXAMPLES_PATH = Path(__file__).resolve().parents[4] / "examples"


def key_digest(key: str) -> str:
    """Return the digest that a preset stores for a caller's API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def preset_values(name: str = "ordinary", **replaced: Any) -> dict[str, Any]:
    """Return the values of a preset without a base; ``replaced`` replaces keys."""
    values: dict[str, Any] = {
        "name": name,
        "pools": {
            "llm-pool": {
                "kind": "engine",
                "models": [{"name": "kente-assist", "version": "3"}],
            },
            "registry-api": {"kind": "service"},
        },
        "services": {"registry-api": {"timeout_s": 2.0}},
        "workspaces": {WORKSPACE: {"key_digests": [key_digest(WORKSPACE_KEY)]}},
    }
    values.update(replaced)
    return {key: value for key, value in values.items() if value is not None}


def preset_text(name: str = "ordinary", **replaced: Any) -> str:
    """Return the TOML text of a preset without a base; ``None`` drops a key."""
    return tomli_w.dumps(preset_values(name, **replaced))


def derived_text(name: str, base: str = "base", **values: Any) -> str:
    """Return the TOML text of a preset that inherits from a base."""
    return tomli_w.dumps({"name": name, "base": base, **values})


def build_preset(name: str = "ordinary", **replaced: Any) -> Preset:
    """Return a parsed preset without a base."""
    return parse_preset(name, {name: preset_text(name, **replaced)})


def build_revision(number: int = 1, **replaced: Any) -> Revision:
    """Return a revision with the presets ``base`` and ``ordinary``."""
    values: dict[str, Any] = {
        "number": number,
        "firm": FIRM,
        "author": "ama",
        "reason": "test",
        "created_unix_s": 1_800_000_000.0 + number,
        "write_id": f"write-{number}",
        "action": ChangeAction.CREATE,
        "preset_name": "ordinary",
        "active": "ordinary",
        "presets": {
            "base": preset_text("base"),
            "ordinary": derived_text("ordinary"),
        },
    }
    values.update(replaced)
    return Revision(**values)


def build_change(
    action: str,
    preset: str = "base",
    *,
    author: str = "ama",
    reason: str = "test",
    **replaced: Any,
) -> Change:
    """Return a change; a create or edit gets the text of a preset without a base."""
    kind = ChangeAction(action)
    text = None if kind is ChangeAction.CHOOSE else preset_text(preset, **replaced)
    return Change(kind, preset, author, reason, text)


def example_presets(firm: str) -> Mapping[str, str]:
    """Return the shipped presets of a firm by name."""
    folder = EXAMPLES_PATH / firm / "presets"
    return {path.stem: path.read_text("utf-8") for path in folder.glob("*.toml")}


def large_preset_text(workspaces: int) -> str:
    """Return the text of a base preset with many workspaces."""
    named = {
        f"workspace-{number:05d}": {
            "key_digests": [key_digest(f"key-{number}")],
            "requests_per_s": 20.0,
            "tokens_per_s": 8000.0,
            "weight": 1.0,
        }
        for number in range(workspaces)
    }
    return preset_text("base", workspaces=named)
