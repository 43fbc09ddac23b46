"""Parse HTTP responses of replicas and the store."""

import re
from collections import deque
from dataclasses import dataclass

import httptools

from persimmonyoke.errors import ProtocolError

Header = tuple[bytes, bytes]

MAX_FRAMING_BYTES = 65_536
FRAMING_PER_BODY_BYTE = 1
"""Non-body bytes of one response allowed per body byte, beyond ``MAX_FRAMING_BYTES``.

``MAX_FRAMING_BYTES`` leaves room for the largest head. The limit stops endless heads,
chunk extensions and trailers, endless interim responses, and chunks of single bytes.
"""


_MIN_STATUS, _MAX_STATUS = 100, 599
_VERSIONS = ("1.0", "1.1")
_NOT_IN_REASON = re.compile(rb"[^\t\x20-\x7e\x80-\xff]")


@dataclass(frozen=True)
class ResponseHead:
    """Represent the status line and the headers of a response."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    self_delimited: bool
    keep_alive: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` must be lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclass(frozen=True)
class BodyPart:
    """Represent a part of a response body."""

    data: bytes


@dataclass(frozen=True)
class ResponseEnd:
    """Mark the end of a complete response."""


ResponseEvent = ResponseHead | BodyPart | ResponseEnd


class ResponseParser:
    """Convert the bytes of one connection into events of one or more responses."""

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
        """Return whether no response is in progress and no event is queued."""
        return not self._in_message and not self._events

    @property
    def has_events(self) -> bool:
        """Return whether an event is queued."""
        return bool(self._events)

    def take(self) -> ResponseEvent | None:
        """Return the next event, if any."""
        return self._events.popleft() if self._events else None

    def feed(self, data: bytes) -> None:
        """Parse bytes; events before a fault are queued before ``ProtocolError``."""
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise ProtocolError("unexpected upgrade") from error
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, ProtocolError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            raise ProtocolError(str(error)) from error
        finally:
            self._join_body()
        limit = MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * self._body_bytes
        if self._framing_bytes > limit:
            raise ProtocolError("bytes without end that are no answer")

    def feed_eof(self) -> bool:
        """Handle a closed connection; return whether that completes the response."""
        if not self._in_message or self._head is None or self._head.self_delimited:
            return False
        self._in_message = False
        self._events.append(ResponseEnd())
        return True

    def on_message_begin(self) -> None:
        """Start a new response."""
        self._reason = b""
        self._headers = []
        self._in_message = True
        self._headers_done = False
        self._head = None

    def on_status(self, part: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; discard trailers."""
        if not self._headers_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the head, unless it belongs to an interim response."""
        self._headers_done = True
        status = self._parser.get_status_code()
        self._check_head(status)
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
            keep_alive=self_delimited and self._may_read_on,
        )
        self._events.append(self._head)
        if self.without_body:
            self._in_message = False
            self._events.append(ResponseEnd())

    @property
    def _may_read_on(self) -> bool:
        """Return whether the parser reads what follows as the next response.

        llhttp can't be told that a body of the declared length does not follow.
        """
        return self._parser.should_keep_alive() and not self.without_body

    def _check_head(self, status: int) -> None:
        """Raise ``ProtocolError`` for a head that llhttp accepts and HTTP does not."""
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            raise ProtocolError(f"{status} is no HTTP status")
        version = self._parser.get_http_version()
        if version not in _VERSIONS:
            raise ProtocolError(f"HTTP version {version} is not supported")
        if _NOT_IN_REASON.search(self._reason):
            raise ProtocolError("reason phrase holds control characters")
        codings = [v for n, v in self._headers if n.lower() == b"transfer-encoding"]
        if not codings:
            return
        # A body in another coding would be passed on without the name of its coding.
        if [coding.strip().lower() for coding in codings] != [b"chunked"]:
            raise ProtocolError("transfer coding is not supported")
        if version == "1.0":
            raise ProtocolError("HTTP/1.0 has no transfer codings")

    def on_body(self, part: bytes) -> None:
        """Add a body part; the parts of one ``feed`` call are joined into one event."""
        self._body.append(part)
        self._body_bytes += len(part)
        self._framing_bytes -= len(part)

    def _join_body(self) -> None:
        if self._body:
            self._events.append(BodyPart(b"".join(self._body)))
            self._body = []

    def on_message_complete(self) -> None:
        """Queue the end of the response."""
        if self._head is None or not self._in_message:
            return
        self._join_body()
        self._body_bytes = self._framing_bytes = 0
        self._in_message = False
        self._events.append(ResponseEnd())
