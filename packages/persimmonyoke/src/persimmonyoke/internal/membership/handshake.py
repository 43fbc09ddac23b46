"""Mutual authentication of two hosts with a shared key."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass, replace

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.messages import (
    NONCE_BYTES,
    Challenge,
    Hello,
    Proof,
)

MIN_KEY_BYTES = 16
# Each side uses its own label in its proof, so that a proof reflected to its author
# never verifies.
_LISTENING_SIDE = b"persimmonyoke/1 listening"
_CONNECTING_SIDE = b"persimmonyoke/1 connecting"


@dataclass(frozen=True)
class NodeIdentity:
    """Identify a host and the addresses for its callers and peers."""

    host: str
    incarnation: str
    availability_zone: str = ""
    callers_address: str = ""
    peers_address: str = ""


def _transcript(label: bytes, hello: Hello, challenge: Challenge) -> bytes:
    # The proof covers the identity fields; otherwise a man in the middle could change
    # the addresses of an authenticated peer.
    parts = [label]
    for message in (hello, challenge):
        parts.append(message.nonce)
        parts += [
            value.encode()
            for value in (
                message.host,
                message.incarnation,
                message.availability_zone,
                message.callers_address,
                message.peers_address,
            )
        ]
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)


def _prove(key: bytes, label: bytes, hello: Hello, challenge: Challenge) -> bytes:
    content = _transcript(label, hello, challenge)
    return hmac.new(key, content, hashlib.sha256).digest()


def identity_of(message: Hello | Challenge) -> NodeIdentity:
    """Return the identity that a hello or challenge states."""
    return NodeIdentity(
        message.host,
        message.incarnation,
        message.availability_zone,
        message.callers_address,
        message.peers_address,
    )


class Authenticator:
    """Run one side of the handshake for each link; nonces are never reused."""

    def __init__(self, identity: NodeIdentity, *, shared_key: bytes) -> None:
        if len(shared_key) < MIN_KEY_BYTES:
            raise ValueError(
                f"shared_key must have at least {MIN_KEY_BYTES} bytes, "
                f"has {len(shared_key)}"
            )
        self.identity = identity
        self._key = shared_key

    def hello(self) -> Hello:
        """Return the first message of the connecting side."""
        mine = self.identity
        return Hello(
            host=mine.host,
            incarnation=mine.incarnation,
            nonce=secrets.token_bytes(NONCE_BYTES),
            availability_zone=mine.availability_zone,
            callers_address=mine.callers_address,
            peers_address=mine.peers_address,
        )

    def challenge(self, hello: Hello) -> Challenge:
        """Return the listening side's reply, which proves that it has the key."""
        self._refuse_self(hello.host)
        mine = self.identity
        unproved = Challenge(
            host=mine.host,
            incarnation=mine.incarnation,
            nonce=secrets.token_bytes(NONCE_BYTES),
            proof=b"",
            availability_zone=mine.availability_zone,
            callers_address=mine.callers_address,
            peers_address=mine.peers_address,
        )
        proof = _prove(self._key, _LISTENING_SIDE, hello, unproved)
        return replace(unproved, proof=proof)

    def proof(self, hello: Hello, challenge: Challenge) -> Proof:
        """Check the listening side's proof and return the connecting side's."""
        self._refuse_self(challenge.host)
        expected = _prove(self._key, _LISTENING_SIDE, hello, challenge)
        self._compare(expected, challenge.proof)
        return Proof(_prove(self._key, _CONNECTING_SIDE, hello, challenge))

    def verify(self, hello: Hello, challenge: Challenge, proof: Proof) -> None:
        """Check the connecting side's proof; raise ``ProtocolError`` if it is wrong."""
        expected = _prove(self._key, _CONNECTING_SIDE, hello, challenge)
        self._compare(expected, proof.proof)

    def _refuse_self(self, host: str) -> None:
        if host == self.identity.host:
            raise ProtocolError(f"peer uses this host's own name {host!r}")

    @staticmethod
    def _compare(expected: bytes, got: bytes) -> None:
        if not hmac.compare_digest(expected, got):
            raise ProtocolError("peer's proof does not match the shared key")
