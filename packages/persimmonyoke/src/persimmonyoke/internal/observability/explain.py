"""Collection of the log lines that explain one request, across all hosts."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

CONTEXT_S = 4.0
"""Time before and after a request from which related events are shown.

Within four seconds, silent replicas are removed from the fleet and the duty to give
orders moves to another host.
"""

CONTEXT_EVENTS = frozenset(
    (
        "replica",
        "order",
        "order_term",
        "order_without_answer",
        "report_without_answer",
        "configuration",
        "store_lost",
        "store_regained",
        "started",
        "stopping",
        "stopped",
    )
)


@dataclass(frozen=True)
class LogLine:
    """Hold one structured log line."""

    time_unix_s: float
    host: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time_unix_s:.3f} {self.host} {self.event} {shown}"


def parse_line(text: str) -> LogLine | None:
    """Parse a JSON log line, with or without a prefix; ``None`` if it is not one."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or "event" not in fields:
        return None
    time_unix_s = fields.pop("time_unix_s", 0.0)
    host, event = fields.pop("host", "?"), fields.pop("event")
    fields.pop("level", None)
    if not isinstance(time_unix_s, int | float):
        return None
    return LogLine(float(time_unix_s), str(host), str(event), fields)


def explain(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the lines of a request and related events, ordered by time."""
    lines = [line for text in texts if (line := parse_line(text)) is not None]
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        return []
    hosts = {line.host for line in request_lines}
    names = _attempted_replicas(request_lines)
    begin_s = min(_begin_s(line) for line in request_lines) - CONTEXT_S
    end_s = max(line.time_unix_s for line in request_lines) + CONTEXT_S
    context = [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS
        and begin_s <= line.time_unix_s <= end_s
        and _is_relevant(line, hosts, names)
    ]
    context += _tunnel_lines(lines, request_lines)
    context += _link_lines(lines, hosts, begin_s=begin_s, end_s=end_s)
    return sorted(request_lines + context, key=lambda line: line.time_unix_s)


def _tunnel_lines(
    lines: Iterable[LogLine], request_lines: Iterable[LogLine]
) -> list[LogLine]:
    """Return the lines of all hosts on the tunnels that carried a request.

    A tunnel may carry other requests before and after this one.
    """
    named = (t for line in request_lines for t in line.fields.get("tunnels") or ())
    tunnel_ids = {str(name).partition(":")[2] for name in named}
    return [line for line in lines if line.fields.get("tunnel") in tunnel_ids]


def _link_lines(
    lines: Iterable[LogLine], hosts: set[str], *, begin_s: float, end_s: float
) -> list[LogLine]:
    """Return what the hosts believed of their links, also since long before."""
    found: list[LogLine] = []
    before: dict[str, LogLine] = {}
    for line in sorted(lines, key=lambda line: line.time_unix_s):
        if line.event != "links" or line.host not in hosts:
            continue
        if line.time_unix_s < begin_s:
            before[line.host] = line
        elif line.time_unix_s <= end_s:
            found.append(line)
    return [*before.values(), *found]


def _begin_s(line: LogLine) -> float:
    return line.time_unix_s - float(line.fields.get("ms") or 0) / 1_000


def _attempted_replicas(lines: Iterable[LogLine]) -> set[str]:
    """Return the replicas to which a request was sent."""
    attempts = (a for line in lines for a in line.fields.get("attempts", ()))
    return {str(a).split(":")[1] for a in attempts if str(a).count(":") >= 3}


def _is_relevant(line: LogLine, hosts: set[str], replicas: set[str]) -> bool:
    """Return whether an event may explain the request.

    Orders are relevant from any host, other events only from the hosts of the request.
    Events of replicas are relevant if the request was sent to the replica or if they
    concern the decode stage.
    """
    if line.event in ("order", "order_term", "order_without_answer"):
        return True
    if line.host not in hosts:
        return False
    if line.event == "replica":
        decodes = line.fields.get("stage") == "decode"
        return decodes or line.fields.get("replica") in replicas
    return True
