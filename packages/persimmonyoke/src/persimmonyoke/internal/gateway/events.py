"""Splitting of an event stream into whole events, byte for byte."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1_048_576
_ID_PREFIX = b"id:"


@dataclass(frozen=True)
class StreamEvent:
    """Hold the bytes of one event and its id, if it has one."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Collect the bytes of a stream and return the events that are complete."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with these bytes."""
        data = self._rest + data
        events = []
        while True:
            end = _event_end(data)
            if end < 0:
                break
            events.append(StreamEvent(data[:end], _event_id(data[:end])))
            data = data[end:]
        self._rest = data
        return events

    @property
    def too_large(self) -> bool:
        """Return whether an incomplete event is larger than any valid one."""
        return len(self._rest) > MAX_EVENT_BYTES


def _event_end(data: bytes) -> int:
    """Return the index after the first blank line, or -1."""
    plain = data.find(b"\n\n")
    with_returns = data.find(b"\r\n\r\n")
    if with_returns >= 0 and (plain < 0 or with_returns < plain):
        return with_returns + 4
    return plain + 2 if plain >= 0 else -1


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(_ID_PREFIX):
            value = line[len(_ID_PREFIX) :].strip()
            return int(value) if value.isdigit() else None
    return None
