"""Changes of the configuration: requests of operators and their outcomes."""

from dataclasses import dataclass

from persimmonyoke.errors import Fault, PresetError
from persimmonyoke.internal.presets.revision import (
    MAX_AUTHOR_CHARACTERS,
    MAX_REASON_CHARACTERS,
    ChangeAction,
    Revision,
)


@dataclass(frozen=True)
class Change:
    """Carry the request of an operator; ``text`` is the TOML of a create or edit."""

    action: ChangeAction
    preset: str
    author: str
    reason: str
    text: str | None = None


@dataclass(frozen=True)
class Accepted:
    """Report that the revision is stored and will be in force on all hosts."""

    revision: Revision


@dataclass(frozen=True)
class Conflict:
    """Report that another change was stored first and nothing was written.

    ``difference`` lists what has changed since the operator's base revision.
    """

    current: Revision | None
    difference: tuple[str, ...]


@dataclass(frozen=True)
class Unsettled:
    """Report that it is unknown whether the revision was stored."""

    revision: Revision


ProposeOutcome = Accepted | Conflict | Unsettled


def changed_presets(
    change: Change, current: Revision | None
) -> tuple[dict[str, str], str]:
    """Return the presets and the active one after a change; raise ``PresetError``."""
    presets = dict(current.presets) if current else {}
    exists = change.preset in presets
    if exists == (change.action is ChangeAction.CREATE):
        names = ", ".join(sorted(presets)) or "none"
        problem = "exists already" if exists else "does not exist"
        accepted = f"a new name; existing: {names}" if exists else f"one of: {names}"
        raise change_refusal("preset", f"{change.preset!r} {problem}", accepted)
    if change.action is ChangeAction.CHOOSE:
        if change.text is not None:
            raise change_refusal("text", "is set", "no text for choose")
        return presets, change.preset
    if change.text is None:
        raise change_refusal("text", "missing", "the TOML text of the preset")
    presets[change.preset] = change.text
    return presets, current.active if current else change.preset


def check_author_and_reason(change: Change) -> None:
    """Raise ``PresetError`` for an author or a reason that is missing or too long."""
    for key, text, limit in (
        ("author", change.author, MAX_AUTHOR_CHARACTERS),
        ("reason", change.reason, MAX_REASON_CHARACTERS),
    ):
        if not text.strip() or len(text) > limit:
            problem = f"has {len(text)} characters"
            raise change_refusal(key, problem, f"1 to {limit} characters")


def change_refusal(key: str, problem: str, accepted: str) -> PresetError:
    """Return the error for a change that can't be accepted."""
    return PresetError("change", (Fault(key, problem, accepted),))
