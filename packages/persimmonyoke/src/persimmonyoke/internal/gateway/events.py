"""Split an event stream into complete events without changing its bytes."""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 131_072
MAX_WITHOUT_ID_BYTES = 4_096
"""Size limit of consecutive events without an id; valid responses number events."""

_ID_PREFIX = b"id:"
_FIELD = re.compile(rb"^(data|event|retry)(:|$)")
_BLANK_LINE = re.compile(rb"\n\n|\r\n\r\n")


@dataclass(frozen=True)
class StreamEvent:
    """Represent the bytes of one event and its id, if any."""

    data: bytes
    event_id: int | None

    @property
    def has_field(self) -> bool:
        """Return whether any line is a field of an event without an id."""
        return any(_FIELD.match(line) for line in self.data.splitlines())

    @property
    def is_comment(self) -> bool:
        """Return whether the event holds nothing but comments."""
        return all(line[:1] in (b"", b":") for line in self.data.splitlines())


class EventSplitter:
    """Buffer the bytes of a stream and split off complete events."""

    def __init__(self) -> None:
        self._rest = b""
        self._without_id_bytes = 0

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
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
        """Return whether the stream exceeds the size limits of a valid response."""
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
