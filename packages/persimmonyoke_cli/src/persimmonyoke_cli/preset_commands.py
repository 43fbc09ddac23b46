"""Commands that show and change presets."""

import getpass
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from persimmonyoke.errors import PresetError
from persimmonyoke.internal.presets import parse_preset, preset_difference
from persimmonyoke_cli.client import Json, OperatorClient, open_client
from persimmonyoke_cli.failures import CommandFailed, UsageError

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.25
STANDARD_INPUT = Path("-")


def list_presets(
    *, url: str | None = None, token: str | None = None, token_file: Path | None = None
) -> None:
    """List the presets; an asterisk marks the active one.

    Exit status: 0 done, 1 failed, 2 wrong arguments.

    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    answer = open_client(url, token, token_file).get("/presets")
    print(f"revision {answer['revision']}")
    for name in answer["presets"]:
        print(f"{'*' if name == answer['active'] else ' '} {name}")


def show(
    name: str,
    *,
    revision: int | None = None,
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Print the text of a preset, and on standard error its revision for edit --base.

    Exit status: 0 done, 1 failed, 2 wrong arguments.

    :param name: name of the preset
    :param revision: revision to read the preset from; default: the newest revision
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    client = open_client(url, token, token_file)
    if revision is None:
        preset = client.preset(name)
        number, text, active = preset["revision"], preset["text"], preset["active"]
    else:
        old = client.revision(revision)
        number, text = revision, _preset_text(old, name)
        active = old["active"] == name
    force = ", in force" if active else ""
    print(f"revision {number}{force}", file=sys.stderr)
    print(text, end="")


def create(
    name: str,
    file: Path,
    *,
    reason: str,
    author: str | None = None,
    base: int | None = None,
    wait: bool = False,
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Create a preset from a TOML file; all validation errors are listed.

    Exit status: 0 accepted (with --wait: and in force on all live hosts), 1 refused,
    failed or not in force before the timeout, 2 wrong arguments, 3 the outcome is
    unknown: look up the write id with preset history --write-id.

    :param name: name of the new preset
    :param file: TOML file, or - for standard input
    :param reason: why the preset is created; kept in the audit trail
    :param author: author of the change; default: the name of the current user
    :param base: revision that the change is based on; default: the newest revision
    :param wait: wait until all live hosts report the revision in force
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    client = open_client(url, token, token_file)
    text = _read_text(file)
    number = _propose_change(client, "create", name, reason, author, base, text=text)
    if wait:
        wait_until_in_force(client, number)


def edit(
    name: str,
    file: Path,
    *,
    base: int,
    reason: str,
    author: str | None = None,
    wait: bool = False,
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Replace the text of a preset; all validation errors are listed.

    Exit status: 0 accepted (with --wait: and in force on all live hosts), 1 refused,
    failed or not in force before the timeout, 2 wrong arguments, 3 the outcome is
    unknown: look up the write id with preset history --write-id.

    :param name: name of the preset
    :param file: TOML file, or - for standard input
    :param base: revision that the text was read from, as preset show prints it
    :param reason: why the preset is changed; kept in the audit trail
    :param author: author of the change; default: the name of the current user
    :param wait: wait until all live hosts report the revision in force
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    client = open_client(url, token, token_file)
    number = _propose_change(
        client, "edit", name, reason, author, base, text=_read_text(file)
    )
    if wait:
        wait_until_in_force(client, number)


def choose(
    name: str,
    *,
    reason: str,
    author: str | None = None,
    base: int | None = None,
    wait: bool = False,
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Make a preset the active one.

    Exit status: 0 accepted (with --wait: and in force on all live hosts), 1 refused,
    failed or not in force before the timeout, 2 wrong arguments, 3 the outcome is
    unknown: look up the write id with preset history --write-id.

    :param name: name of the preset
    :param reason: why the preset is chosen; kept in the audit trail
    :param author: author of the change; default: the name of the current user
    :param base: revision that the change is based on; default: the newest revision
    :param wait: wait until all live hosts report the revision in force
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    client = open_client(url, token, token_file)
    number = _propose_change(client, "choose", name, reason, author, base)
    if wait:
        wait_until_in_force(client, number)


def history(
    *,
    limit: int = 20,
    write_id: str | None = None,
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Show the newest revisions and the changes that each one made.

    Exit status: 0 done, 1 failed or no revision has the write id, 2 wrong arguments.

    :param limit: maximum number of revisions
    :param write_id: show only the revision with this write id; tells whether a change
        with an unknown outcome was stored
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    query = {"limit": limit, "write_id": write_id}
    answer = open_client(url, token, token_file).get("/history", query)
    if write_id is not None and not answer["revisions"]:
        raise CommandFailed(
            f"no recent revision has the write id {write_id}; a write that is still "
            "on its way can be stored only while its number is free"
        )
    for entry in answer["revisions"]:
        _print_revision(entry)


def diff(
    old: str,
    new: str,
    *,
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Show the differences between two presets, with their bases merged in.

    Exit status: 0 done, 1 failed, 2 wrong arguments.

    :param old: name of a preset, NAME@N for its text in revision N, or only N for the
        other preset in revision N
    :param new: preset to compare with, in the same notation
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    client = open_client(url, token, token_file)
    sides = _parse_sides(old, new)
    texts = {number: _preset_texts(client, number) for _, number in sides}
    try:
        before, after = (parse_preset(name, texts[number]) for name, number in sides)
    except PresetError as error:
        raise CommandFailed(str(error)) from error
    lines = preset_difference(before, after)
    changed = [line for line in lines if not line.startswith(("~ name:", "~ base:"))]
    print("\n".join(changed) if changed else f"{old} and {new} have the same effect")


def wait_until_in_force(
    client: OperatorClient, number: int, *, timeout_s: float = WAIT_TIMEOUT_S
) -> None:
    """Poll the live hosts and print progress until all have the revision in force.

    Raises ``CommandFailed`` after the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    shown = ""
    while True:
        hosts = client.get("/status")["hosts"]
        missing = [host["name"] for host in hosts if host["revision"] < number]
        in_force = len(hosts) - len(missing)
        text = f"revision {number} in force on {in_force} of {len(hosts)} live hosts"
        if text != shown:
            print(text)
            shown = text
        if hosts and not missing:
            return
        if time.monotonic() > deadline_s:
            raise CommandFailed(f"not in force on: {', '.join(missing) or 'any host'}")
        time.sleep(POLL_INTERVAL_S)


def format_utc(unix_s: float) -> str:
    """Format a Unix time as ISO 8601 in UTC, to the second."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_s))


def print_indented(lines: Iterable[str]) -> None:
    """Print lines indented below the entry that they belong to."""
    for line in lines:
        print(f"    {line}")


def _propose_change(
    client: OperatorClient,
    action: str,
    name: str,
    reason: str,
    author: str | None,
    base: int | None,
    **fields: Any,
) -> int:
    body: Json = {
        "action": action,
        "preset": name,
        "reason": reason,
        "author": author or _user_name(),
        "base_number": _newest_revision(client) if base is None else base,
        **fields,
    }
    answer = client.change(body)
    number = answer["revision"]
    print(f"revision {number} accepted: {action} {name}")
    print(
        f"confirmed by {answer['confirmed_by']} peers; in force on "
        f"{answer['hosts_in_force']} of {answer['live_hosts']} live hosts"
    )
    if answer["behind"]:
        print(f"not yet in force on: {', '.join(answer['behind'])}")
    return number


def _print_revision(entry: Json) -> None:
    if "problem" in entry:
        print(f"{entry['revision']}  can't be read: {entry['problem']}")
        return
    print(
        f"{entry['revision']}  {format_utc(entry['created_unix_s'])}  "
        f"{entry['author']}  {entry['action']} {entry['preset']}: {entry['reason']}"
    )
    print_indented([f"write id {entry['write_id']}", *entry["difference"]])


def _parse_sides(old: str, new: str) -> tuple[tuple[str, int | None], ...]:
    """Parse both arguments of diff; ``None`` stands for the newest revision."""
    sides = []
    for side, other in ((old, new), (new, old)):
        name, _, number = side.partition("@")
        if side.isdigit():
            name, number = other.partition("@")[0], side
        if name.isdigit() or (number and not number.isdigit()):
            accepted = "two presets as NAME or NAME@N, or one of them and N"
            raise UsageError(f"diff of {old!r} and {new!r}; accepted: {accepted}")
        sides.append((name, int(number) if number else None))
    return tuple(sides)


def _preset_texts(client: OperatorClient, number: int | None) -> dict[str, str]:
    if number is None:
        number = _newest_revision(client)
    return client.revision(number)["presets"]


def _preset_text(revision: Json, name: str) -> str:
    if name not in revision["presets"]:
        known = ", ".join(sorted(revision["presets"]))
        number = revision["revision"]
        raise CommandFailed(f"revision {number} has no {name!r}; existing: {known}")
    return revision["presets"][name]


def _newest_revision(client: OperatorClient) -> int:
    return client.get("/presets")["revision"]


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError) as error:
        raise UsageError("give --author; the user name is not known") from error


def _read_text(file: Path) -> str:
    try:
        if file == STANDARD_INPUT:
            return sys.stdin.read()
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{file} can't be read: {error}") from error
