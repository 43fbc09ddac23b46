"""Structured log of decisions: one JSON line each, with the inputs of the decision."""

import time
from collections.abc import Callable
from typing import Any

import orjson
from loguru import logger

from persimmonyoke.internal.gateway.log_writer import BoundedLogWriter

MALFORMED_KEYS_LOGGED = 200
"""Keys whose malformed entries are logged, once per key; all are counted."""


class Journal:
    """Write the decisions of this process as JSON lines through loguru."""

    def __init__(self, host_name: str, write: Callable[[str, float], None]) -> None:
        self._host_name = host_name
        self._write = write
        self._malformed_keys: set[str] = set()
        self.malformed_entries = 0
        logger.remove()
        logger.add(self._emit, level="INFO", format="{message}", catch=True)

    def event(self, name: str, **fields: Any) -> None:
        """Log one decision or change; fields are numbers, texts and flat lists.

        Collectors may cut long lines, so what tells the cause comes first.
        """
        logger.bind(fields=fields).info(name)

    def failure(self, name: str, error: BaseException, **fields: Any) -> None:
        """Log an error that the process recovers from."""
        text = f"{type(error).__name__}: {error}"
        logger.bind(fields={**fields, "error": text}).warning(name)

    def unexpected(self, name: str, **fields: Any) -> None:
        """Log the exception being handled, with its traceback."""
        logger.bind(fields=fields).opt(exception=True).error(name)

    def malformed_entry(self, key: str, reason: str) -> None:
        """Count an invalid entry of the store; log each key once."""
        self.malformed_entries += 1
        known = key in self._malformed_keys
        if known or len(self._malformed_keys) >= MALFORMED_KEYS_LOGGED:
            return
        self._malformed_keys.add(key)
        self.event("entry_ignored", key=key, reason=reason)

    def _emit(self, message: Any) -> None:
        record = message.record
        line = {
            "time_unix_s": round(record["time"].timestamp(), 3),
            "host": self._host_name,
            "event": record["message"],
            **record["extra"].get("fields", {}),
            "level": record["level"].name,
        }
        if record["exception"] is not None:
            line["exception"] = str(message).strip()[-2_000:]
        text = orjson.dumps(line, default=str).decode()
        self._write(text, time.monotonic())


def stdout_journal(host_name: str) -> tuple[Journal, BoundedLogWriter]:
    """Return a journal that writes to standard output, and its writer."""
    writer = BoundedLogWriter(1)
    return Journal(host_name, writer.write), writer
