"""One authenticated link between two hosts."""

import logging
import socket
from collections.abc import Callable
from typing import Any

import gevent
from websockets.exceptions import ConnectionClosed

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.codec import decode, encode
from persimmonyoke.internal.membership.handshake import (
    Authenticator,
    NodeIdentity,
    identity_of,
)
from persimmonyoke.internal.membership.messages import (
    MAX_HANDSHAKE_BYTES,
    MAX_MESSAGE_BYTES,
    Challenge,
    Heartbeat,
    Hello,
    Load,
    Message,
    PackedHeartbeat,
    PackedLoads,
    Proof,
)
from persimmonyoke.internal.membership.packing import (
    BeatPacker,
    BeatUnpacker,
    LoadPacker,
    LoadUnpacker,
)
from persimmonyoke.internal.membership.sendqueue import SendQueue

HANDSHAKE_TIMEOUT_S = 2.0
# A live peer sends a heartbeat each second, so three missing heartbeats mean that the
# connection or the peer has stalled.
IDLE_TIMEOUT_S = 3.0
CLOSE_TIMEOUT_S = 0.5
MAX_UNREAD_MESSAGES = 64

# websockets logs each failed handshake with a traceback; the peer service logs its own
# line for the same event.
WEBSOCKETS_LOGGER = logging.getLogger("persimmonyoke.websockets")
WEBSOCKETS_LOGGER.addHandler(logging.NullHandler())
WEBSOCKETS_LOGGER.propagate = False

# The heartbeats of the protocol replace the library's pings. Compression is off, since
# messages are small and binary.
CONNECTION_OPTIONS: dict[str, Any] = {
    "compression": None,
    "ping_interval": None,
    "open_timeout": HANDSHAKE_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "max_size": MAX_HANDSHAKE_BYTES,
    "max_queue": MAX_UNREAD_MESSAGES,
    "logger": WEBSOCKETS_LOGGER,
}


def abort_connection(websocket: Any) -> None:
    """Shut down the socket without a closing handshake.

    ``close`` waits for the lock that a stalled send holds, so it would stall as well.
    """
    try:
        websocket.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def _receive(websocket: Any, kind: type[Message]) -> Any:
    data = websocket.recv(timeout=HANDSHAKE_TIMEOUT_S)
    message = decode(data, max_bytes=MAX_HANDSHAKE_BYTES)
    if not isinstance(message, kind):
        raise ProtocolError(f"expected a {kind.__name__.lower()} message")
    return message


def accept_peer(websocket: Any, authenticator: Authenticator) -> NodeIdentity:
    """Run the listening side of the handshake and return the peer's identity."""
    hello = _receive(websocket, Hello)
    challenge = authenticator.challenge(hello)
    websocket.send(encode(challenge))
    authenticator.verify(hello, challenge, _receive(websocket, Proof))
    return identity_of(hello)


def connect_to_peer(
    websocket: Any, authenticator: Authenticator, *, expected_host: str
) -> NodeIdentity:
    """Run the connecting side of the handshake and return the peer's identity."""
    hello = authenticator.hello()
    websocket.send(encode(hello))
    challenge = _receive(websocket, Challenge)
    proof = authenticator.proof(hello, challenge)
    # The address may have been reassigned to another host since the host list was read.
    if challenge.host != expected_host:
        raise ProtocolError(f"peer is {challenge.host!r}, expected {expected_host!r}")
    websocket.send(encode(proof))
    return identity_of(challenge)


class Link:
    """Send and receive messages over one connection until it fails or stalls."""

    def __init__(self, websocket: Any, peer: NodeIdentity) -> None:
        self.peer = peer
        self.queue = SendQueue()
        self.sent_bytes = 0
        self.received_bytes = 0
        # Newest sequence of each host that the peer is known to have.
        self.known_sequences: dict[str, int] = {}
        # Origins that the peer has pruned on this link, by kind.
        self.pruned: dict[str, set[str]] = {"beat": set(), "load": set()}
        self._beat_packer = BeatPacker()
        self._beat_unpacker = BeatUnpacker()
        self._load_packer = LoadPacker()
        self._load_unpacker = LoadUnpacker()
        self._websocket = websocket
        self._closed = False
        websocket.protocol.max_message_size = MAX_MESSAGE_BYTES

    @property
    def closed(self) -> bool:
        """Return whether the link has ended."""
        return self._closed

    def run(self, on_message: Callable[["Link", Message], None]) -> str:
        """Receive until the link ends; return the reason."""
        writer = gevent.spawn(self._write)
        try:
            return self._read(on_message)
        finally:
            self.abort()
            writer.kill()

    def _read(self, on_message: Callable[["Link", Message], None]) -> str:
        while True:
            try:
                data = self._websocket.recv(timeout=IDLE_TIMEOUT_S)
                self.received_bytes += len(data)
                messages = self._unpack(decode(data))
            except TimeoutError:
                return f"no message for {IDLE_TIMEOUT_S:g} s"
            except ConnectionClosed:
                return "connection closed"
            except ProtocolError as error:
                return f"malformed message: {error}"
            for message in messages:
                on_message(self, message)

    def _unpack(self, message: Message | None) -> list[Message]:
        match message:
            case None:
                return []
            case PackedHeartbeat():
                return [self._beat_unpacker.unpack(message)]
            case PackedLoads():
                return self._load_unpacker.unpack(message)
        return [message]

    def _pack(self, message: Message) -> list[Message]:
        match message:
            case Heartbeat():
                return [self._beat_packer.pack(message)]
            case Load():
                return self._load_packer.pack([message, *self.queue.take_loads()])
        return [message]

    def _write(self) -> None:
        while not self._closed:
            # The task that reads the link kills this one when the link ends.
            message = self.queue.take(timeout_s=None)
            if message is None:
                continue
            for packed in self._pack(message):
                if not self._send(encode(packed)):
                    self.abort()
                    return

    def _send(self, data: bytes) -> bool:
        try:
            self._websocket.send(data)
        except (ConnectionClosed, OSError):
            return False
        self.sent_bytes += len(data)
        return True

    def abort(self) -> None:
        """Close the link immediately; queued messages are not sent."""
        self._closed = True
        abort_connection(self._websocket)
