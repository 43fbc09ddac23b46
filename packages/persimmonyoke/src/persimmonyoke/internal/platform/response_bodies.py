"""Strict reading of HTTP response bodies that state their length.

``http.client`` accepts chunk sizes with a sign or cut short, does not check that a
chunk ends where its size says, and allocates a stated length before any of it arrives.
"""

import re
from http.client import HTTPException, IncompleteRead
from typing import BinaryIO

BLOCK_BYTES = 1024 * 1024
MAX_LINE_BYTES = 4_096
MAX_TRAILER_BYTES = 65_536

_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,15}")


def parse_chunk_size(digits: bytes) -> int | None:
    """Return the size of a chunk, or ``None`` if the bytes are not a size."""
    return int(digits, 16) if _CHUNK_SIZE.fullmatch(digits) else None


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read ``size`` bytes; raise ``IncompleteRead`` if the stream ends before."""
    blocks: list[bytes] = []
    missing = size
    while missing:
        block = stream.read(min(missing, BLOCK_BYTES))
        if not block:
            raise IncompleteRead(b"".join(blocks), missing)
        blocks.append(block)
        missing -= len(block)
    return blocks[0] if len(blocks) == 1 else b"".join(blocks)


def read_chunks(stream: BinaryIO) -> bytes:
    """Read a chunked body and its trailers, which are discarded."""
    chunks: list[bytes] = []
    while size := _read_chunk_size(stream):
        chunks.append(read_exactly(stream, size))
        if stream.read(2) != b"\r\n":
            raise HTTPException("chunk does not end with CRLF")
    _skip_trailers(stream)
    return b"".join(chunks)


def _read_chunk_size(stream: BinaryIO) -> int:
    line = stream.readline(MAX_LINE_BYTES)
    digits, has_extension, _ = line.partition(b";")
    digits = digits.rstrip(b" \t") if has_extension else digits.removesuffix(b"\r\n")
    size = parse_chunk_size(digits)
    if size is None or not line.endswith(b"\r\n"):
        raise HTTPException(f"no chunk size: {line[:80]!r}")
    return size


def _skip_trailers(stream: BinaryIO) -> None:
    room = MAX_TRAILER_BYTES
    # The chunk of size zero completes the body, so an end of file is accepted here.
    while (line := stream.readline(room)) not in (b"\r\n", b""):
        room -= len(line)
        if room <= 0:
            raise HTTPException("trailers are too long")
