"""Commands that show the status of a deployment and its audit trail."""

import sys
from datetime import UTC, datetime
from pathlib import Path

from persimmonyoke_cli.client import open_client
from persimmonyoke_cli.failures import CommandFailed, UsageError
from persimmonyoke_cli.preset_commands import format_utc, print_indented


def status(
    *, url: str | None = None, token: str | None = None, token_file: Path | None = None
) -> None:
    """Show the active revision and which live hosts report it in force.

    Exit status: 0 done, 1 failed, 2 wrong arguments.

    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    answer = open_client(url, token, token_file).get("/status")
    number = answer["revision"]
    print(f"{answer['firm']}: revision {number}, preset {answer['active'] or 'none'}")
    print(
        f"in force on {answer['hosts_in_force']} of {answer['live_hosts']} live hosts"
    )
    for host in answer["hosts"]:
        behind = "" if host["revision"] >= number else "  (behind)"
        print(f"  {host['name']}  revision {host['revision']}{behind}")


def audit(
    *,
    actor: str | None = None,
    kind: str | None = None,
    subject: str | None = None,
    since: str | None = None,
    until: str | None = None,
    text: str | None = None,
    limit: int = 50,
    url: str | None = None,
    token: str | None = None,
    token_file: Path | None = None,
) -> None:
    """Show past changes, newest first.

    Exit status: 0 done, 1 failed or a source of records did not answer, 2 wrong
    arguments. If older changes were not searched, a line on standard error says so.

    :param actor: only changes made by this operator or process
    :param kind: only changes of this kind, such as preset_choose
    :param subject: only changes to this preset, pool or engine
    :param since: only changes from this time on, such as 2026-12-03T20:00
    :param until: only changes before this time
    :param text: only changes that contain this text
    :param limit: maximum number of changes
    :param url: base URL of the operator interface of any entry node
    :param token: operator token
    :param token_file: file that holds the operator token
    """
    query = {
        "actor": actor,
        "kind": kind,
        "subject": subject,
        "since": _parse_time("--since", since),
        "until": _parse_time("--until", until),
        "text": text,
        "limit": limit,
    }
    answer = open_client(url, token, token_file).get("/audit", query)
    for record in answer["records"]:
        print(
            f"{format_utc(record['unix_s'])}  {record['actor']}  {record['kind']} "
            f"{record['subject']}: {record['reason']}"
        )
        print_indented([f"before: {record['before']}", *record["after"].splitlines()])
    if answer["cut_sources"]:
        cut = ", ".join(answer["cut_sources"])
        print(f"older changes were not searched: {cut}", file=sys.stderr)
    if answer["missing_sources"]:
        missing = ", ".join(answer["missing_sources"])
        raise CommandFailed(f"the list is not complete; no answer from: {missing}")


def _parse_time(option: str, text: str | None) -> float | None:
    """Parse an ISO 8601 time to a Unix time; the default time zone is UTC."""
    if text is None:
        return None
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError as error:
        accepted = "a time such as 2026-12-03T20:00"
        raise UsageError(f"{option} is {text!r}; accepted: {accepted}") from error
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=UTC)
    return parsed.timestamp()
