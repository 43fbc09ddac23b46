"""Incremental decoding of chunked bodies and server-sent events."""

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.platform.response_bodies import parse_chunk_size

MAX_CHUNK_HEAD_BYTES = 128
MAX_EVENT_BYTES = 4 * 1024 * 1024
DATA_PREFIX = b"data: "
EVENT_CHUNK_END = b"\n\n\r\n"


def parse_single_event_chunk(data: bytes) -> bytes | None:
    """Return the data of the event if the bytes are one chunk with one event.

    Engines send each event in its own chunk, so most reads can skip both decoders. For
    anything else, returns ``None`` and the caller uses the decoders.
    """
    start = data.find(b"\r\n") + 2
    if data[start : start + 6] != DATA_PREFIX or data[-4:] != EVENT_CHUNK_END:
        return None
    event = data[start + 6 : -4]
    size = parse_chunk_size(data[: start - 2])
    if size != len(event) + 8 or b"\n" in event:
        return None
    return event


class ChunkDecoder:
    """Decode the chunked transfer coding of a body incrementally."""

    def __init__(self) -> None:
        self.ended = False
        self._buffer = b""

    @property
    def between_chunks(self) -> bool:
        """Return whether the next byte starts a chunk of the same body."""
        return not self._buffer and not self.ended

    def feed(self, data: bytes) -> bytes:
        """Return the payload of the chunks that this data completes."""
        if self._buffer:
            data = self._buffer + data
        elif (payload := self._single_chunk(data)) is not None:
            return payload
        payloads = []
        position = 0
        while not self.ended:
            head_end = data.find(b"\r\n", position)
            if head_end < 0:
                break
            size = self._size(data[position:head_end])
            start = head_end + 2
            if len(data) < start + size + 2:
                break
            if data[start + size : start + size + 2] != b"\r\n":
                raise ProtocolError("chunk of a stream does not end with CRLF")
            if size == 0:
                self.ended = True
            payloads.append(data[start : start + size])
            position = start + size + 2
        self._buffer = data[position:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ProtocolError("chunk of a stream is too large")
        return payloads[0] if len(payloads) == 1 else b"".join(payloads)

    def _single_chunk(self, data: bytes) -> bytes | None:
        """Return the payload if the data is exactly one chunk, the common case."""
        start = data.find(b"\r\n") + 2
        payload = data[start:-2]
        if start < 3 or not payload or data[-2:] != b"\r\n":
            return None
        return payload if self._size(data[: start - 2]) == len(payload) else None

    @staticmethod
    def _size(head: bytes) -> int:
        digits, has_extension, _ = head.partition(b";")
        size = parse_chunk_size(digits.rstrip(b" \t") if has_extension else digits)
        if size is None:
            raise ProtocolError(f"chunk head {head[:32]!r} is not a size")
        return size


class EventDecoder:
    """Split a server-sent event stream into the data of its events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def complete(self) -> bool:
        """Return whether no partial event is buffered."""
        return not self._buffer

    def feed(self, payload: bytes) -> list[bytes]:
        """Return the data of the events that this payload completes."""
        if self._buffer:
            payload = self._buffer + payload
        blocks = payload.split(b"\n\n")
        self._buffer = blocks.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ProtocolError("event of a stream is too large")
        events = []
        for block in blocks:
            if block.startswith(DATA_PREFIX) and b"\n" not in block:
                events.append(block[len(DATA_PREFIX) :])
            else:
                self._add_lines(block, events)
        return events

    @staticmethod
    def _add_lines(block: bytes, events: list[bytes]) -> None:
        lines = block.split(b"\n")
        data = [line[5:].removeprefix(b" ") for line in lines if line[:5] == b"data:"]
        if data:
            events.append(b"\n".join(data))
