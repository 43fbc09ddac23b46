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
WAIT_PAUSE_S = 0.25
STANDARD_INPUT = Path("-")


def list_presets(
    *, url: str | None = None, token: str | None = None, token_file: Path | None = None
) -> None:
    """List the presets; an asterisk marks the one in force.

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
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Print the text of a preset, and on standard error the revision to edit from.

    :param name: name of the preset
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    preset = open_client(url, token, token_file).preset(name)
    force = ", in force" if preset["active"] else ""
    print(f"revision {preset['revision']}{force}", file=sys.stderr)
    print(preset["text"], end="")


def create(
    name: str,
    file: Path,
    *,
    reason: str,
    author: str | None = None,
    base: int | None = None,
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Create a preset from a TOML file.

    :param name: name of the new preset
    :param file: TOML file, or - for standard input
    :param reason: why the preset is created; kept in the audit trail
    :param author: your name; default: the user name
    :param base: revision that the change builds on; default: the newest one
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    client = open_client(url, token, token_file)
    text = _read_text(file)
    _change(client, "create", name, reason, author, base, text=text)


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
    """Replace the text of a preset.

    :param name: name of the preset
    :param file: TOML file, or - for standard input
    :param base: revision that the text was read from, as preset show prints it
    :param reason: why the preset is changed; kept in the audit trail
    :param author: your name; default: the user name
    :param wait: wait until all live hosts report the revision in force
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    client = open_client(url, token, token_file)
    number = _change(client, "edit", name, reason, author, base, text=_read_text(file))
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
    """Put a preset in force.

    :param name: name of the preset
    :param reason: why the preset is chosen; kept in the audit trail
    :param author: your name; default: the user name
    :param base: revision that the change builds on; default: the newest one
    :param wait: wait until all live hosts report the revision in force
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    client = open_client(url, token, token_file)
    number = _change(client, "choose", name, reason, author, base)
    if wait:
        wait_until_in_force(client, number)


def history(
    *,
    limit: int = 20,
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Show the newest revisions and what each one changed.

    :param limit: number of revisions
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    answer = open_client(url, token, token_file).get("/history", {"limit": limit})
    for entry in answer["revisions"]:
        print(
            f"{entry['revision']}  {time_text(entry['created_unix_s'])}  "
            f"{entry['author']}  {entry['action']} {entry['preset']}: {entry['reason']}"
        )
        print_indented(entry["difference"])


def diff(
    old: str,
    new: str,
    *,
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Show in what two presets differ, with their bases merged in.

    :param old: name of a preset
    :param new: name of another preset
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    client = open_client(url, token, token_file)
    names = client.get("/presets")["presets"]
    texts = {name: client.preset(name)["text"] for name in names}
    try:
        lines = preset_difference(parse_preset(old, texts), parse_preset(new, texts))
    except PresetError as error:
        raise CommandFailed(str(error)) from error
    changed = [line for line in lines if not line.startswith(("~ name:", "~ base:"))]
    print("\n".join(changed) if changed else f"{old} and {new} have the same effect")


def wait_until_in_force(
    client: OperatorClient, number: int, *, timeout_s: float = WAIT_TIMEOUT_S
) -> None:
    """Show how many live hosts have the revision in force until all of them do.

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
        time.sleep(WAIT_PAUSE_S)


def time_text(unix_s: float) -> str:
    """Return a time in UTC as operators read it."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_s))


def print_indented(lines: Iterable[str]) -> None:
    """Print lines below an entry."""
    for line in lines:
        print(f"    {line}")


def _change(
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
        "base_number": _newest(client) if base is None else base,
        **fields,
    }
    number = client.change(body)
    print(f"revision {number} accepted: {action} {name}")
    return number


def _newest(client: OperatorClient) -> int:
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
