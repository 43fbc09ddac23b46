"""Watch of the etcd v3 JSON gateway: one stream of JSON lines, reopened as needed."""

import json
import math
import random
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from threading import Event, Thread
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.platform import etcd_json
from persimmonyoke.internal.platform.budget import Operation, RateBudget
from persimmonyoke.internal.platform.http_json import (
    Connections,
    HttpFailure,
    parse_object,
    send,
)
from persimmonyoke.internal.platform.store import (
    Purpose,
    WatchCompacted,
    WatchNotice,
)

IDLE_S = 3.0
"""Idle timeout, after which a stream is reopened.

A connection can stall permanently while new ones work, and the gateway sends nothing on
an idle stream, so a stall can't be told from idleness. A configuration must be in force
within 5 s even if the stream that should deliver it has stalled. One call every 3 s is
covered by the one call per second that a waiting watch is charged anyway.
"""

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
STOP_CHECK_S = 1.0
MAX_LINE_BYTES = 64 * 1024 * 1024

MIN_LOG_PAUSE_S = 10.0
"""Minimum interval of failure logs; in an outage a watch fails up to 10 times/s."""

log = part_logger("platform")


class WatchLoop:
    """Watch one prefix, reopening the stream whenever it ends."""

    def __init__(
        self,
        connections: Connections,
        *,
        budget: RateBudget,
        purpose: Purpose,
        prefix: str,
        from_revision: int,
        on_event: Callable[[WatchNotice], None],
        idle_s: float = IDLE_S,
        rng: random.Random | None = None,
    ) -> None:
        self._connections = connections
        self._budget = budget
        self._purpose = purpose
        self._prefix = prefix
        self._next_revision = max(1, from_revision)
        self._on_event = on_event
        self._idle_s = idle_s
        self._rng = rng or random.Random()
        self._response: urllib3.BaseHTTPResponse | None = None
        self._ended = False
        self._logged_s = -math.inf
        self._unlogged_failures = 0
        self._is_outage_logged = False

    def run(self, stop: Event) -> None:
        """Watch until ``stop`` is set, reopening the stream as needed."""
        shutdown_thread = Thread(
            target=self._shut_down_on_stop, args=(stop,), daemon=True
        )
        shutdown_thread.start()
        try:
            self._follow(stop)
        finally:
            self._ended = True

    def _follow(self, stop: Event) -> None:
        failures = 0
        while not stop.is_set():
            try:
                self._follow_one_stream(stop)
                failures = 0
            except (HttpFailure, ProtocolError) as error:
                if stop.is_set():
                    return
                failures += 1
                self._log_failure(error)
                stop.wait(self._backoff_s(failures))

    def _log_failure(self, error: Exception) -> None:
        now_s = time.monotonic()
        if now_s - self._logged_s < MIN_LOG_PAUSE_S:
            self._unlogged_failures += 1
            return
        self._logged_s = now_s
        self._is_outage_logged = True
        skipped, self._unlogged_failures = self._unlogged_failures, 0
        log.warning(
            "watch of {} failed: {} ({} more failures since the last line)",
            self._prefix,
            error,
            skipped,
        )

    def _log_success(self) -> None:
        if self._is_outage_logged:
            self._is_outage_logged = False
            log.info("watch of {} works again", self._prefix)

    def _backoff_s(self, failures: int) -> float:
        ceiling_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures, 10))
        return self._rng.uniform(MIN_BACKOFF_S, ceiling_s)

    def _shut_down_on_stop(self, stop: Event) -> None:
        """Shut down the open stream on ``stop``, which unblocks its reader."""
        while not stop.wait(STOP_CHECK_S):
            if self._ended:
                return
        response = self._response
        if response is not None:
            _shut_down(response)

    def _follow_one_stream(self, stop: Event) -> None:
        """Read one stream until it ends or is silent for ``idle_s``."""
        if not self._budget.acquire(
            self._purpose, Operation.WATCH, timeout_s=self._idle_s
        ):
            raise HttpFailure("rate budget is spent", sent=False)
        request = {
            **etcd_json.prefix_fields(self._prefix),
            "start_revision": str(self._next_revision),
        }
        with (
            self._budget.watching(),
            self._open_stream({"create_request": request}) as response,
        ):
            # If stop was set before the stream was open, nothing has shut it down.
            if stop.is_set():
                return
            for line in _lines(response):
                if stop.is_set():
                    return
                if self._handle(parse_object(line)):
                    return

    @contextmanager
    def _open_stream(
        self, body: Mapping[str, Any]
    ) -> Iterator[urllib3.BaseHTTPResponse]:
        response = send(
            self._connections,
            "POST",
            "/v3/watch",
            body,
            timeout_s=self._idle_s,
            stream=True,
        )
        self._response = response
        try:
            yield response
        finally:
            self._response = None
            # The connection of a partly read stream can't be reused.
            response.close()

    def _handle(self, answer: Mapping[str, Any]) -> bool:
        """Report the events of one line; return true if the stream has ended."""
        if "error" in answer:
            raise ProtocolError(f"watch error: {json.dumps(answer['error'])[:200]}")
        result = etcd_json.message(answer.get("result"), "result")
        compact_revision = etcd_json.number(result, "compact_revision")
        if compact_revision:
            self._next_revision = max(self._next_revision, compact_revision)
            self._on_event(WatchCompacted(compact_revision))
            return True
        if result.get("canceled"):
            raise ProtocolError(f"watch cancelled: {result.get('cancel_reason', '')}")
        self._log_success()
        for fields in etcd_json.messages(result.get("events"), "events"):
            event = etcd_json.watch_event(fields)
            # Skip events that an earlier stream has already delivered.
            if event.revision >= self._next_revision:
                self._on_event(event)
        self._advance(result)
        return False

    def _advance(self, result: Mapping[str, Any]) -> None:
        """Advance the start revision past the revisions of this line."""
        events = etcd_json.messages(result.get("events"), "events")
        if events:
            last = etcd_json.watch_event(events[-1]).revision
            self._next_revision = max(self._next_revision, last + 1)
        elif not result.get("created"):
            # A line without events is a progress notification: all events up to its
            # revision have been sent.
            header = etcd_json.message(result.get("header"), "header")
            reached = etcd_json.number(header, "revision")
            self._next_revision = max(self._next_revision, reached + 1)


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the lines of a stream until it is closed or its read times out.

    Raises ``HttpFailure`` if the stream breaks or a line is too long.
    """
    buffer = bytearray()
    try:
        for chunk in response.stream():
            buffer += chunk
            while (end := buffer.find(b"\n")) >= 0:
                line = bytes(buffer[:end])
                del buffer[: end + 1]
                if line.strip():
                    yield line
            if len(buffer) > MAX_LINE_BYTES:
                raise HttpFailure("line of the watch is too long", sent=True)
    except urllib3.exceptions.ReadTimeoutError:
        return
    # urllib3 passes a negative chunk size on to a read, which raises ValueError.
    except (HTTPError, OSError, ValueError) as error:
        raise HttpFailure(f"stream broke: {error}", sent=True) from error


def _shut_down(response: urllib3.BaseHTTPResponse) -> None:
    try:
        response.shutdown()
    except (ValueError, RuntimeError, OSError) as error:
        log.debug("stream was already closed: {}", error)
