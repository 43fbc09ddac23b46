"""Input stream of one request body, which is received in small steps."""

import io
from collections.abc import Callable

import gevent
from gevent import pywsgi

MAX_LINE_BYTES = 8_192
MAX_TRAILER_BYTES = 16_384
MAX_SIZE_DIGITS = 16
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
READ_BYTES = 65_536

STEP_BYTES = 65_536
"""Received bytes after which other greenlets run."""

CHUNK_COST_BYTES = 2_048
"""Received bytes that take as long as the parsing of one chunk's size."""


class BodyInput:
    """Receive a body with a length or in chunks.

    A socket that always has input never waits, so the stream yields to other greenlets
    by itself. ``expecting`` is the socket of a client that waits for permission to send
    its body.
    """

    def __init__(
        self,
        rfile: io.BufferedReader,
        *,
        length: int,
        chunked: bool,
        expecting: object = None,
    ) -> None:
        self._rfile = rfile
        self._chunked = chunked
        # Of the current chunk, or of the whole body if it has a length.
        self._remaining_bytes = 0 if chunked else length
        self._ended = not chunked and not length
        self._expecting = expecting
        self._step_bytes = 0

    def receive(self, size: int) -> bytes:
        """Return the next ``size`` bytes, or all up to the end; raises ``OSError``."""
        buffer = io.BytesIO()
        self.receive_into(buffer.write, size)
        return buffer.getvalue()

    def receive_into(self, write: Callable[[bytes], object], size: int) -> None:
        """Pass up to ``size`` bytes on as they are received; raises ``OSError``."""
        while size > 0:
            part = self.read(size)
            if not part:
                return
            write(part)
            size -= len(part)

    def read(self, size: int) -> bytes:
        """Return some bytes, or none at the end of the body; raises ``OSError``."""
        self._send_continue()
        if not self._ended and not self._remaining_bytes:
            self._start_chunk()
        if self._ended:
            return b""
        part = self._rfile.read1(min(size, self._remaining_bytes, READ_BYTES))
        if not part:
            raise OSError("the connection ended within a body")
        self._remaining_bytes -= len(part)
        self._count(len(part))
        if not self._remaining_bytes:
            self._end_part()
        return part

    def abandon(self) -> None:
        """Read no more of the body; the connection can't be used again."""
        self._ended = True

    def _discard(self) -> None:
        """Receive the rest; the WSGI server calls it after the answer."""
        self._expecting = None
        while self.read(READ_BYTES):
            continue

    def _send_continue(self) -> None:
        expecting, self._expecting = self._expecting, None
        if expecting is not None:
            expecting.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _count(self, cost_bytes: int) -> None:
        self._step_bytes += cost_bytes
        if self._step_bytes >= STEP_BYTES:
            self._step_bytes = 0
            gevent.sleep(0)

    def _start_chunk(self) -> None:
        line = self._read_line(MAX_LINE_BYTES)
        digits = line.partition(b";")[0]
        if not 0 < len(digits) <= MAX_SIZE_DIGITS or not HEX_DIGITS.issuperset(digits):
            raise OSError("the size of a chunk is malformed")
        self._remaining_bytes = int(digits, 16)
        self._count(CHUNK_COST_BYTES + len(line))
        if not self._remaining_bytes:
            self._read_trailers()
            self._ended = True

    def _end_part(self) -> None:
        if not self._chunked:
            self._ended = True
        elif self._read_line(0):
            raise OSError("a chunk is longer than its size")

    def _read_trailers(self) -> None:
        remaining_bytes = MAX_TRAILER_BYTES
        while line := self._read_line(remaining_bytes):
            remaining_bytes -= len(line)
            if not line.partition(b":")[0].strip():
                raise OSError("a trailer is malformed")

    def _read_line(self, limit: int) -> bytes:
        """Return a line without its end."""
        line = self._rfile.readline(limit + 2)
        if not line.endswith(b"\r\n") or b"\r" in line[:-2]:
            raise OSError("a line of a chunked body is malformed or too long")
        return line[:-2]


def body_input(wsgi_input: pywsgi.Input) -> BodyInput:
    """Return a stream for the body that the WSGI server's own stream would read."""
    return BodyInput(
        wsgi_input.rfile,
        length=wsgi_input.content_length or 0,
        chunked=wsgi_input.chunked_input,
        expecting=wsgi_input.socket,
    )
