"""Non-blocking output of log lines, limited in rate and queue length."""

import os
from collections import deque

import gevent

MAX_QUEUED_LINES = 2_000
"""Lines queued for a slow reader; further ones are dropped and counted."""

LINES_PER_S = 400.0
BURST_LINES = 1_200.0
"""Limits of a token bucket.

At one line per request, they allow ten times the load of one host.
"""


class BoundedLogWriter:
    """Write lines to a file descriptor from a background task.

    Lines that exceed the rate or the queue are dropped and counted; the count is
    written before the next line that is accepted.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._tokens = BURST_LINES
        self._filled_s: float | None = None
        self._task = None
        self.dropped = 0
        self._dropped_unreported = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str, now_s: float) -> None:
        """Queue one line."""
        if not self._admit(now_s):
            self.dropped += 1
            self._dropped_unreported += 1
            return
        if self._dropped_unreported:
            note = f'{{"event":"lines_dropped","count":{self._dropped_unreported}}}\n'
            self._dropped_unreported = 0
            self._lines.append(note.encode())
        self._lines.append(text.encode() + b"\n")
        if self._task is None:
            self._task = gevent.spawn(self._drain)

    def flush(self, timeout_s: float) -> None:
        """Wait until the queued lines are written, or until the timeout."""
        if self._task is not None:
            self._task.join(timeout_s)

    def _admit(self, now_s: float) -> bool:
        if self._filled_s is None:
            self._filled_s = now_s
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1 or len(self._lines) >= MAX_QUEUED_LINES:
            return False
        self._tokens -= 1
        return True

    def _drain(self) -> None:
        while self._lines:
            data = b"".join(self._lines)
            self._lines.clear()
            while data:
                data = data[self._write_some(data) :]
        self._task = None

    def _write_some(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            gevent.sleep(0.05)
            return 0
        except OSError:
            # The reader has closed the output; count the lines as dropped.
            self.dropped += data.count(b"\n")
            return len(data)
