"""Configuration of loguru: human-readable on a terminal, JSON lines otherwise."""

import json
import sys
import traceback
from collections.abc import Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

from persimmonyoke.internal.observability.redaction import redact

if TYPE_CHECKING:
    from loguru import Logger, Message, Record

PART_KEY = "part"
REQUEST_ID_KEY = "request_id"


class LogFormat(StrEnum):
    """List the log formats; ``AUTO`` is human-readable on a terminal, else JSON."""

    AUTO = "auto"
    HUMAN = "human"
    JSON = "json"


def part_logger(part: str) -> "Logger":
    """Return the logger of one component; human-readable lines show ``[part]``."""
    return logger.bind(**{PART_KEY: part})


def configure_logging(
    *,
    level: str = "INFO",
    log_format: LogFormat = LogFormat.AUTO,
    stream: TextIO | None = None,
) -> None:
    """Send the logs of this process to one stream, with secrets redacted.

    ``level`` is a loguru level name; the default stream is standard error.
    """
    output = stream if stream is not None else sys.stderr
    human = log_format is LogFormat.HUMAN
    if log_format is LogFormat.AUTO:
        human = output.isatty()
    form = human_line if human else json_line

    def write(message: "Message") -> None:
        output.write(form(message.record) + "\n")
        output.flush()

    logger.remove()
    # Both backtrace and diagnose print the values of variables, which include API keys
    # and prompts.
    logger.add(write, level=level, backtrace=False, diagnose=False, catch=True)


def human_line(record: "Record") -> str:
    """Return a record as one readable line, with its traceback below it."""
    extra = dict(record["extra"])
    part = extra.pop(PART_KEY, None)
    words = [
        record["time"].strftime("%H:%M:%S.%f")[:-3],
        f"{record['level'].name:<7}",
        *([f"[{part}]"] if part else []),
        record["message"],
        *(f"{key}={value}" for key, value in extra.items()),
    ]
    return redact(" ".join(words) + _indented_traceback(record))


def json_line(record: "Record") -> str:
    """Return a record as one JSON object."""
    fields: dict[str, Any] = {
        "time_unix_s": round(record["time"].timestamp(), 3),
        "level": record["level"].name,
        "message": redact(record["message"]),
    }
    fields.update(_redacted_fields(record["extra"], taken=fields))
    trace = _traceback(record)
    if trace:
        fields["exception"] = redact(trace)
    return json.dumps(fields, ensure_ascii=False)


def _redacted_fields(
    extra: Mapping[str, Any], *, taken: Mapping[str, Any]
) -> dict[str, str]:
    """Return the bound fields as text, except those that clash with a fixed field."""
    fields = {}
    for key, value in extra.items():
        if key in taken:
            continue
        # The key is included, so that the value of a field named "token" is redacted.
        prefix = f"{key}="
        fields[key] = redact(f"{prefix}{value}").removeprefix(prefix)
    return fields


def _traceback(record: "Record") -> str:
    error = record["exception"]
    if error is None:
        return ""
    return "".join(
        traceback.format_exception(error.type, error.value, error.traceback)
    ).rstrip()


def _indented_traceback(record: "Record") -> str:
    trace = _traceback(record)
    if not trace:
        return ""
    return "".join(f"\n    {line}" for line in trace.splitlines())
