"""Strict check of HTTP response heads before ``http.client`` parses them.

``http.client`` ends the headers at a line that is none, splits values at a bare CR, and
ignores lengths and codings that it does not understand. Later headers are then lost and
the body is not the one that was sent.
"""

import io
import re
from http.client import BadStatusLine, HTTPResponse, RemoteDisconnected
from typing import BinaryIO

from urllib3.connection import HTTPConnection, HTTPSConnection

from persimmonyoke.internal.platform.response_bodies import read_chunks, read_exactly

MAX_HEAD_BYTES = 65_536
MAX_INTERIM_RESPONSES = 16

_STATUS_LINE = re.compile(
    rb"HTTP/(1\.[01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\r\n"
)
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r\n"
)
_LENGTH = re.compile(rb"[0-9]{1,18}")
_SWITCHING_PROTOCOLS = 101


class CheckedResponse(HTTPResponse):
    """Read a response whose head is valid; other heads raise ``HTTPException``."""

    def begin(self) -> None:
        """Read the head of the final response."""
        if self.headers is not None:
            return
        head = read_final_head(self.fp)
        stream, self.fp = self.fp, io.BytesIO(head)
        try:
            super().begin()
        finally:
            self.fp = stream

    def read(self, amt: int | None = None) -> bytes:
        """Read the body, or up to ``amt`` bytes of it."""
        if amt is not None or self.fp is None:
            return super().read(amt)
        if self.length is not None:
            data = read_exactly(self.fp, self.length)
            self.length = 0
        elif self.chunked:
            data = read_chunks(self.fp)
        else:
            return super().read()
        self.close()
        return data


class CheckedConnection(HTTPConnection):
    """Read checked responses."""

    response_class = CheckedResponse


class CheckedTlsConnection(HTTPSConnection):
    """Read checked responses over TLS."""

    response_class = CheckedResponse


CHECKED_CONNECTIONS = {"http": CheckedConnection, "https": CheckedTlsConnection}


def read_final_head(stream: BinaryIO) -> bytes:
    """Return the head of the first response that is not an interim one."""
    for _ in range(MAX_INTERIM_RESPONSES):
        lines = _read_lines(stream)
        status = _check_head(lines)
        if status >= 200:
            return b"".join(lines) + b"\r\n"
    raise BadStatusLine("interim responses without end")


def _read_lines(stream: BinaryIO) -> list[bytes]:
    """Return the lines of one head, without the blank line at its end."""
    lines: list[bytes] = []
    room = MAX_HEAD_BYTES
    while (line := stream.readline(room)) != b"\r\n":
        room -= len(line)
        if room <= 0:
            raise BadStatusLine("head is too long")
        if not line.endswith(b"\n"):
            raise RemoteDisconnected("connection ended before the end of the head")
        lines.append(line)
    return lines


def _check_head(lines: list[bytes]) -> int:
    """Return the status of a head; raise ``BadStatusLine`` if it is malformed."""
    match = _STATUS_LINE.fullmatch(lines[0]) if lines else None
    if match is None:
        raise BadStatusLine(f"no HTTP status line: {lines[:1]}")
    version, status = match[1], int(match[2])
    if status == _SWITCHING_PROTOCOLS:
        raise BadStatusLine("unexpected upgrade")
    _check_framing(version, [_field(line) for line in lines[1:]])
    return status


def _field(line: bytes) -> tuple[bytes, bytes]:
    match = _FIELD_LINE.fullmatch(line)
    if match is None:
        raise BadStatusLine(f"no header: {line[:80]!r}")
    return match[1].lower(), match[2].strip(b" \t")


def _check_framing(version: bytes, fields: list[tuple[bytes, bytes]]) -> None:
    """Raise ``BadStatusLine`` unless the end of the body is unambiguous."""
    lengths = [value for name, value in fields if name == b"content-length"]
    codings = [value for name, value in fields if name == b"transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        raise BadStatusLine("body has more than one length")
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise BadStatusLine(f"no length: {lengths[0][:80]!r}")
    if not codings:
        return
    # A body in another coding would be returned without the name of its coding.
    if codings[0].lower() != b"chunked" or version == b"1.0":
        raise BadStatusLine(f"coding is not supported: {codings[0][:80]!r}")
