"""Parse client requests with a strict HTTP/1.1 parser."""

from collections import deque
from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b
from urllib.parse import parse_qs

import httptools

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.fleet.model import ClientLimits
from persimmonyoke.internal.gateway.body_buffer import Body, BodyBuffer
from persimmonyoke.internal.gateway.held_memory import (
    HeldBytes,
    HeldMemory,
    NoRoom,
    uncounted,
)

# Rejected like protocol upgrades, since the gateway only speaks HTTP/1.1.
_UNSUPPORTED_METHODS = (b"CONNECT", b"TRACE")
_MAX_PIPELINED = 16

RETRY_AFTER_NO_ROOM_S = 0.5
HEADER_LINE_BYTES = 192
"""Memory of a header line without its characters: two strings, a tuple, its place."""

HEAD_STEP_BYTES = 1_024
"""Memory of a head that is held at a time."""

DIGEST_BYTES = 16
_DIGEST_HEADERS = (b"host", b"authorization")
"""Headers that, with method, target and body, identify the request and its caller."""


def part_digest(part_id: str) -> bytes:
    """Return the digest by which hosts know a prompt part."""
    return blake2b(part_id.encode(), digest_size=DIGEST_BYTES, person=b"part").digest()


class NoRoomForBody(RequestError):
    """Refuse a request whose body this host has no memory left for."""

    def __init__(self, request_id: str, body_bytes: int) -> None:
        super().__init__(
            ErrorKind.NOT_READY,
            "host has no memory left for the request",
            retry_after_s=RETRY_AFTER_NO_ROOM_S,
        )
        self.request_id = request_id
        self.body_bytes = body_bytes


@dataclass(frozen=True)
class ClientRequest:
    """Represent a complete client request."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: Body
    keep_alive: bool
    held: HeldBytes = field(default_factory=uncounted, compare=False, repr=False)
    """Counts the body and its answer; the connection releases it."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` must be lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    @property
    def path(self) -> str:
        """Return the request target without the query string."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @cached_property
    def content_digest(self) -> bytes:
        """Return a digest that is the same when a caller retries the request."""
        digest = blake2b(digest_size=DIGEST_BYTES)
        headers = [self.header(name) or b"" for name in _DIGEST_HEADERS]
        for part in (self.method, self.target, *headers, self.body):
            digest.update(b"%d:" % len(part))
            digest.update(part)
        return digest.digest()

    def query_value(self, name: str) -> str:
        """Return the first value of a query parameter, or an empty string."""
        _, _, query = self.target.partition(b"?")
        return parse_qs(query.decode("latin-1")).get(name, [""])[0]


@dataclass
class _PartialRequest:
    """Collect the parts of a request that is being received."""

    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    held: HeldBytes = field(default_factory=uncounted)
    body: BodyBuffer = field(default_factory=BodyBuffer)
    declared_bytes: int = 0
    head_bytes: int = 0
    lines_bytes: int = 0
    """Memory of the header lines."""

    held_lines_bytes: int = 0
    framing_bytes: int = 0
    head_complete: bool = False
    expects_continue: bool = False


class RequestParser:
    """Assemble requests from the bytes of one connection.

    To prevent request smuggling, the parser rejects messages with two lengths, transfer
    codings other than chunked, bare line breaks and folded headers.
    """

    def __init__(self, limits: ClientLimits, memory: HeldMemory | None = None) -> None:
        self.limits = limits
        self._memory = memory or HeldMemory()
        self._body_parts: list[bytes] = []
        # Chunks may be of one byte each, so that a callback in Python for each one
        # would keep all other clients waiting.
        self.on_body = self._body_parts.append
        self._parser = httptools.HttpRequestParser(self)
        self._partial: _PartialRequest | None = None
        self._complete: deque[ClientRequest] = deque()
        self._refusal: RequestError | None = None

    @property
    def reading(self) -> bool:
        """Return whether a request has been received in part."""
        return self._partial is not None

    @property
    def head_complete(self) -> bool:
        """Return whether the head of the request being received is complete."""
        return self._partial is not None and self._partial.head_complete

    @property
    def wants_continue(self) -> bool:
        """Return whether the client expects ``100 Continue``; true once per request."""
        partial = self._partial
        if partial is None or not partial.expects_continue:
            return False
        partial.expects_continue = False
        return True

    def next_request(self) -> ClientRequest | None:
        """Return the next complete request, if any.

        Raises ``RequestError`` if invalid input follows the last one.
        """
        if self._complete:
            return self._complete.popleft()
        if self._refusal is not None:
            raise self._refusal
        return None

    def release(self) -> None:
        """Drop all requests that were not taken, and what is held for them."""
        for request in self._complete:
            request.held.release()
        self._complete.clear()
        if self._partial is not None:
            self._partial.held.release()
        self._partial = None
        self._body_parts.clear()
        # Its traceback holds the request that it refuses.
        self._refusal = None

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise ``RequestError`` if the input is invalid or too large.

        If there are complete requests before it, ``next_request`` raises it after them.
        """
        try:
            self._feed(data)
        except RequestError as error:
            if not self._complete:
                raise
            self._refusal = error

    def _feed(self, data: bytes) -> None:
        partial, body_bytes = self._partial, self._body_bytes
        self._parse(data)
        self._join_body()
        if partial is None or self._partial is not partial:
            return
        # The parser doesn't report a header line until it is complete, so bytes of an
        # unterminated line are counted here.
        if self._body_bytes == body_bytes:
            self._count_framing(partial, len(data))

    @property
    def _body_bytes(self) -> int:
        return self._partial.body.size_bytes if self._partial else 0

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise RequestError(
                ErrorKind.INVALID_VALUE, "upgrade is not supported"
            ) from error
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RequestError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            raise RequestError(
                ErrorKind.INVALID_VALUE, f"malformed request: {error}"
            ) from error

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._partial = self._new_partial()

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        partial = self._current()
        partial.target += part
        self._count_head(partial, len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; count trailers towards the size limit and discard them."""
        partial = self._current()
        self._count_head(partial, len(name) + len(value) + 4)
        if not partial.head_complete:
            partial.headers.append((name, value))
            self._hold_line(partial, len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Validate the head of a request."""
        partial = self._current()
        partial.head_complete = True
        if self._parser.get_http_version() != "1.1":
            raise RequestError(ErrorKind.INVALID_VALUE, "only HTTP/1.1 is supported")
        if self._parser.get_method() in _UNSUPPORTED_METHODS:
            raise RequestError(ErrorKind.INVALID_VALUE, "method is not supported")
        if not partial.target.startswith(b"/"):
            raise RequestError(ErrorKind.INVALID_VALUE, "target must be a path")
        names = [name.lower() for name, _ in partial.headers]
        if names.count(b"host") != 1:
            raise RequestError(
                ErrorKind.INVALID_VALUE, "request must have one Host header"
            )
        if names.count(b"transfer-encoding") > 1:
            raise RequestError(
                ErrorKind.INVALID_VALUE, "request has several transfer codings"
            )
        for name, value in partial.headers:
            self._check_framing(name.lower(), value, partial)
        if partial.declared_bytes:
            self._hold(partial, partial.declared_bytes)
            partial.body = BodyBuffer(partial.declared_bytes)

    def _join_body(self) -> None:
        """Append the parts that have been parsed to the body of their request."""
        if not self._body_parts:
            return
        part = b"".join(self._body_parts)
        self._body_parts.clear()
        partial = self._current()
        size_bytes = partial.body.size_bytes + len(part)
        if size_bytes > self.limits.max_body_bytes:
            raise RequestError(ErrorKind.BODY_TOO_LARGE, "body is too large")
        self._hold(partial, size_bytes)
        partial.body.append(part)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._join_body()
        partial = self._current()
        self._partial = None
        if len(self._complete) >= _MAX_PIPELINED:
            partial.held.release()
            raise RequestError(ErrorKind.INVALID_VALUE, "too many pipelined requests")
        self._complete.append(
            ClientRequest(
                method=self._parser.get_method(),
                target=partial.target,
                headers=tuple(partial.headers),
                body=partial.body.take(),
                keep_alive=self._parser.should_keep_alive(),
                held=partial.held,
            )
        )

    def _check_framing(
        self, name: bytes, value: bytes, partial: _PartialRequest
    ) -> None:
        if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
            raise RequestError(
                ErrorKind.INVALID_VALUE, "transfer coding is not supported"
            )
        if name == b"content-length":
            self._check_length(value)
            partial.declared_bytes = int(value) if value.isdigit() else 0
        if name == b"expect":
            if value.strip().lower() != b"100-continue":
                raise RequestError(
                    ErrorKind.INVALID_VALUE, "expectation is not supported"
                )
            partial.expects_continue = True

    def _check_length(self, value: bytes) -> None:
        """Reject a body by its declared length, before it is received."""
        if value.isdigit() and int(value) > self.limits.max_body_bytes:
            raise RequestError(ErrorKind.BODY_TOO_LARGE, "body is too large")

    def _hold_line(self, partial: _PartialRequest, size_bytes: int) -> None:
        """Hold a header line, in steps; raise ``NoRoomForBody``."""
        partial.lines_bytes += HEADER_LINE_BYTES + size_bytes
        if partial.lines_bytes >= partial.held_lines_bytes + HEAD_STEP_BYTES:
            partial.held_lines_bytes = partial.lines_bytes
            self._hold(partial, 0)

    def _hold(self, partial: _PartialRequest, size_bytes: int) -> None:
        """Hold the head, and a body up to a size; raise ``NoRoomForBody``."""
        missing_bytes = partial.held_lines_bytes + size_bytes - partial.held.size_bytes
        if missing_bytes <= 0:
            return
        try:
            partial.held.hold_body(missing_bytes)
        except NoRoom as error:
            names = {name.lower(): value for name, value in partial.headers}
            request_id = names.get(b"request-id", b"").decode("latin-1")
            raise NoRoomForBody(request_id, size_bytes) from error

    def _current(self) -> _PartialRequest:
        if self._partial is None:
            self._partial = self._new_partial()
        return self._partial

    def _new_partial(self) -> _PartialRequest:
        return _PartialRequest(held=HeldBytes(self._memory))

    def _count_framing(self, partial: _PartialRequest, size: int) -> None:
        """Count input without body bytes: head, chunk extensions or trailers."""
        partial.framing_bytes += size
        if partial.framing_bytes > self.limits.max_header_bytes:
            raise RequestError(
                ErrorKind.HEADER_TOO_LARGE, "head of request is too large"
            )

    def _count_head(self, partial: _PartialRequest, size: int) -> None:
        partial.head_bytes += size
        if partial.head_bytes > self.limits.max_header_bytes:
            raise RequestError(
                ErrorKind.HEADER_TOO_LARGE, "head of request is too large"
            )
