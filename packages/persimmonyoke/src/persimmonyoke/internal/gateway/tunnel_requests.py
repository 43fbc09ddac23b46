"""Format of the HTTP exchange by which a host opens a tunnel through a peer.

The request names the address of the replica, and its chunked body holds the bytes for
the replica. The chunked body of the response holds those of the replica.
"""

from collections import deque
from dataclasses import dataclass

import httptools

from persimmonyoke.errors import ProtocolError

PATH_PREFIX = b"/tunnels/"
MAX_HEAD_BYTES = 2_048

OPENED = 200
UNAUTHORIZED = 401
UNKNOWN_REPLICA = 404
REPLICA_REFUSES = 502
NO_TUNNEL = 503
REPLICA_SILENT = 504


@dataclass(frozen=True)
class TunnelRequest:
    """Represent the head of a request for a tunnel to a replica."""

    address: str
    key: str
    tunnel_id: str


def encode_tunnel_request(request: TunnelRequest) -> bytes:
    """Encode the head of a request for a tunnel."""
    lines = (
        f"POST {PATH_PREFIX.decode()}{request.address} HTTP/1.1",
        "Host: tunnel",
        f"Authorization: Bearer {request.key}",
        f"Tunnel-Id: {request.tunnel_id}",
        "Transfer-Encoding: chunked",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class TunnelRequestParser:
    """Parse a request for a tunnel, and then the bytes for the replica."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._head_bytes = 0
        self._body: deque[bytes] = deque()
        self.request: TunnelRequest | None = None
        self.ended = False

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise ``ProtocolError`` if they are malformed."""
        if self.request is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ProtocolError(f"malformed request for a tunnel: {error}") from error
        if self.request is None and self._head_bytes > MAX_HEAD_BYTES:
            raise ProtocolError("request for a tunnel is too long")

    def take_body(self) -> bytes:
        """Remove and return the received bytes for the replica."""
        data = b"".join(self._body)
        self._body.clear()
        return data

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header."""
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Read the head of the request."""
        scheme, _, key = self._headers.get(b"authorization", b"").partition(b" ")
        is_tunnel = self._target.startswith(PATH_PREFIX)
        self.request = TunnelRequest(
            address=self._target[len(PATH_PREFIX) :].decode("latin-1")
            if is_tunnel
            else "",
            key=key.decode("latin-1") if scheme == b"Bearer" else "",
            tunnel_id=self._headers.get(b"tunnel-id", b"").decode("latin-1"),
        )

    def on_body(self, part: bytes) -> None:
        """Keep bytes for the replica."""
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Note that the host sends no more bytes."""
        self.ended = True
