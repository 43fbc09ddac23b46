"""Splitting of an event stream into whole events, byte for byte."""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 131_072
MAX_WITHOUT_ID_BYTES = 4_096
"""Bytes of events without an id that may follow each other; answers number theirs."""

_ID_PREFIX = b"id:"
_BLANK_LINE = re.compile(rb"\n\n|\r\n\r\n")


@dataclass(frozen=True)
class StreamEvent:
    """Hold the bytes of one event and its id, if it has one."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Collect the bytes of a stream and return the events that are complete."""

    def __init__(self) -> None:
        self._rest = b""
        self._without_id_bytes = 0

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with these bytes."""
        data = self._rest + data
        events, start = [], 0
        for blank_line in _BLANK_LINE.finditer(data):
            event = data[start : blank_line.end()]
            start = blank_line.end()
            events.append(StreamEvent(event, _event_id(event)))
            self._count(events[-1])
            if self.malformed:
                break
        self._rest = data[start:]
        return events

    @property
    def malformed(self) -> bool:
        """Return whether the bytes can't be those of an answer."""
        too_large = len(self._rest) > MAX_EVENT_BYTES
        return too_large or self._without_id_bytes > MAX_WITHOUT_ID_BYTES

    def _count(self, event: StreamEvent) -> None:
        if event.event_id is None:
            self._without_id_bytes += len(event.data)
        else:
            self._without_id_bytes = 0


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(_ID_PREFIX):
            value = line[len(_ID_PREFIX) :].strip()
            return int(value) if value.isdigit() else None
    return None
