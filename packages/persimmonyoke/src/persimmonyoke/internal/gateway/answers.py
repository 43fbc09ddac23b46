"""Parsing of the answers of replicas and the store."""

from collections import deque
from dataclasses import dataclass

import httptools

from persimmonyoke.errors import ProtocolError

Header = tuple[bytes, bytes]

MAX_FRAMING_BYTES = 65_536
FRAMING_PER_BODY_BYTE = 1
"""Bound of the bytes of one answer that are not its body.

It holds the largest head. Heads, chunk extensions and trailers without end are above
it, also interim answers one after the other, and chunks of single bytes.
"""


@dataclass(frozen=True)
class ResponseHead:
    """Hold the status line and the headers of an answer."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    self_delimited: bool
    keep_alive: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclass(frozen=True)
class BodyPart:
    """Hold a part of an answer's body."""

    data: bytes


@dataclass(frozen=True)
class ResponseEnd:
    """Mark the complete end of an answer."""


ResponseEvent = ResponseHead | BodyPart | ResponseEnd


class ResponseParser:
    """Turn the bytes of one connection into events of one or more answers."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._events: deque[ResponseEvent] = deque()
        self._reason = b""
        self._headers: list[Header] = []
        self._in_message = False
        self._head: ResponseHead | None = None
        self._headers_done = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._framing_bytes = 0
        self.without_body = False

    @property
    def between_responses(self) -> bool:
        """Return whether no answer has begun and none waits to be taken."""
        return not self._in_message and not self._events

    @property
    def has_events(self) -> bool:
        """Return whether an event waits to be taken."""
        return bool(self._events)

    def take(self) -> ResponseEvent | None:
        """Return the next event."""
        return self._events.popleft() if self._events else None

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise ``ProtocolError``, after the events before the fault."""
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise ProtocolError("unexpected upgrade") from error
        except httptools.HttpParserError as error:
            raise ProtocolError(str(error)) from error
        finally:
            self._join_body()
        limit = MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * self._body_bytes
        if self._framing_bytes > limit:
            raise ProtocolError("bytes without end that are no answer")

    def feed_eof(self) -> bool:
        """Note the end of the connection; return whether it completes the answer."""
        if not self._in_message or self._head is None or self._head.self_delimited:
            return False
        self._in_message = False
        self._events.append(ResponseEnd())
        return True

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._reason = b""
        self._headers = []
        self._in_message = True
        self._headers_done = False
        self._head = None

    def on_status(self, part: bytes) -> None:
        """Add a part of the reason phrase."""
        self._reason += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped."""
        if not self._headers_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the head, unless it belongs to an interim answer."""
        self._headers_done = True
        status = self._parser.get_status_code()
        if status < 200:
            return
        names = {name.lower() for name, _ in self._headers}
        self_delimited = (
            self.without_body
            or status in (204, 304)
            or b"content-length" in names
            or b"transfer-encoding" in names
        )
        self._head = ResponseHead(
            status=status,
            reason=self._reason,
            headers=tuple(self._headers),
            self_delimited=self_delimited,
            keep_alive=self_delimited and self._parser.should_keep_alive(),
        )
        self._events.append(self._head)
        if self.without_body:
            self._in_message = False
            self._events.append(ResponseEnd())

    def on_body(self, part: bytes) -> None:
        """Add a part of the body, which is joined with others of these bytes."""
        self._body.append(part)
        self._body_bytes += len(part)
        self._framing_bytes -= len(part)

    def _join_body(self) -> None:
        if self._body:
            self._events.append(BodyPart(b"".join(self._body)))
            self._body = []

    def on_message_complete(self) -> None:
        """Store the end of the answer."""
        if self._head is None or not self._in_message:
            return
        self._join_body()
        self._body_bytes = self._framing_bytes = 0
        self._in_message = False
        self._events.append(ResponseEnd())
