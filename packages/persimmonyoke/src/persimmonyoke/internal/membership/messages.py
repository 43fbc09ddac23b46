"""Messages between entry hosts."""

from dataclasses import dataclass

from persimmonyoke.internal.membership.fields import (
    blob,
    flag,
    integer,
    number,
    records,
    text,
)

NONCE_BYTES = 32
PROOF_BYTES = 32
DIGEST_BYTES = 32
CORRELATION_BYTES = 8

# A revision holds a whole configuration document, which the key-value service limits
# to 1 MB; the rest of the message needs less than 1 KB.
MAX_REVISION_BYTES = 1_000_000
MAX_MESSAGE_BYTES = MAX_REVISION_BYTES + 1_024
# Hello, challenge and proof need less than 700 bytes each. An unauthenticated peer must
# not make this host buffer more.
MAX_HANDSHAKE_BYTES = 1_024
MAX_CLAIM_BYTES = 128 * 1024
MAX_BEATS = 512
MAX_PACKED_LOADS = 512
MAX_PACKED_PAYLOAD_BYTES = 255
MAX_PACKED_BYTES = 64 * 1024
MAX_SLOT = 2**16 - 1
MAX_ORIGINS = 512


@dataclass(frozen=True)
class Message:
    """Serve as the base class of all messages."""


@dataclass(frozen=True)
class Hello(Message):
    """Open the handshake; sent by the host that connects."""

    host: str = text()
    incarnation: str = text()
    nonce: bytes = blob(max_bytes=NONCE_BYTES, min_bytes=NONCE_BYTES)
    availability_zone: str = text(default="")
    callers_address: str = text(default="")
    peers_address: str = text(default="")


@dataclass(frozen=True)
class Challenge(Message):
    """Answer a hello with a fresh nonce and the listening side's proof."""

    host: str = text()
    incarnation: str = text()
    nonce: bytes = blob(max_bytes=NONCE_BYTES, min_bytes=NONCE_BYTES)
    proof: bytes = blob(max_bytes=PROOF_BYTES, min_bytes=PROOF_BYTES)
    availability_zone: str = text(default="")
    callers_address: str = text(default="")
    peers_address: str = text(default="")


@dataclass(frozen=True)
class Proof(Message):
    """End the handshake with the connecting side's proof."""

    proof: bytes = blob(max_bytes=PROOF_BYTES, min_bytes=PROOF_BYTES)


@dataclass(frozen=True)
class HostBeat:
    """Report that a host was alive when it sent the beat with this sequence.

    ``load_percent`` is the share of the host's capacity in use.
    """

    host: str = text()
    incarnation: str = text()
    sequence: int = integer()
    revision: int = integer(default=0)
    leaving: bool = flag(default=False)
    load_percent: int = integer(default=0, maximum=10_000)


@dataclass(frozen=True)
class Heartbeat(Message):
    """Carry the sender's beat, then beats of others that are new to the peer."""

    beats: tuple[HostBeat, ...] = records(HostBeat, max_count=MAX_BEATS)


@dataclass(frozen=True)
class SlotBeat:
    """Hold a whole beat and the slot that identifies the host in later packed beats."""

    slot: int = integer(maximum=MAX_SLOT)
    host: str = text()
    incarnation: str = text()
    sequence: int = integer()
    revision: int = integer(default=0)
    leaving: bool = flag(default=False)
    load_percent: int = integer(default=0, maximum=10_000)


@dataclass(frozen=True)
class PackedHeartbeat(Message):
    """Carry a heartbeat in the form produced by ``packing``."""

    whole: tuple[SlotBeat, ...] = records(SlotBeat, max_count=MAX_BEATS)
    same: bytes = blob(default=b"", max_bytes=MAX_PACKED_BYTES)


@dataclass(frozen=True)
class RevisionMessage(Message):
    """Carry a revision of the whole configuration; membership does not parse it."""

    number: int = integer()
    payload: bytes = blob(max_bytes=MAX_REVISION_BYTES)


@dataclass(frozen=True)
class Digest(Message):
    """Summarise the sender's revision and suspects, so that losses are detected."""

    revision: int = integer()
    suspect_count: int = integer()
    suspects_digest: bytes = blob(max_bytes=DIGEST_BYTES)


@dataclass(frozen=True)
class Pull(Message):
    """Ask for a revision newer than ``revision`` and, if set, for the suspects."""

    revision: int = integer()
    suspects: bool = flag()


@dataclass(frozen=True)
class Load(Message):
    """Carry one engine's load report, encoded by the module that owns it."""

    engine: str = text()
    payload: bytes = blob(max_bytes=4_096)


@dataclass(frozen=True)
class SlotName:
    """Assign a slot to an engine."""

    slot: int = integer(maximum=MAX_SLOT)
    name: str = text()


@dataclass(frozen=True)
class PackedLoads(Message):
    """Carry load reports of equal length in the form produced by ``packing``."""

    length: int = integer(maximum=MAX_PACKED_PAYLOAD_BYTES)
    names: tuple[SlotName, ...] = records(SlotName, max_count=MAX_PACKED_LOADS)
    reports: bytes = blob(default=b"", max_bytes=MAX_PACKED_BYTES)


@dataclass(frozen=True)
class OriginName:
    """Name a host whose beats are relayed, or an engine whose reports are."""

    name: str = text()


@dataclass(frozen=True)
class Prune(Message):
    """Ask the peer not to relay these origins on this link."""

    kind: str = text(max_chars=16)
    origins: tuple[OriginName, ...] = records(OriginName, max_count=MAX_ORIGINS)


@dataclass(frozen=True)
class Graft(Message):
    """Ask the peer to relay these origins on this link again."""

    kind: str = text(max_chars=16)
    origins: tuple[OriginName, ...] = records(OriginName, max_count=MAX_ORIGINS)


@dataclass(frozen=True)
class Suspect(Message):
    """Carry what is known about a request that may crash engines.

    ``payload`` holds the details, encoded by the module that owns them.
    """

    digest: bytes = blob(max_bytes=DIGEST_BYTES, min_bytes=1)
    crashes: int = integer()
    isolated: bool = flag()
    quarantined_until_unix_s: float = number(default=0.0)
    payload: bytes = blob(max_bytes=8_192, default=b"")


@dataclass(frozen=True)
class Leaving(Message):
    """Mark one incarnation of a host or upstream as leaving; the mark is permanent."""

    name: str = text()
    incarnation: str = text()
    kind: str = text(default="host", max_chars=16)


@dataclass(frozen=True)
class Roles(Message):
    """Carry the roles of a pool's engines, encoded by the module that owns them."""

    pool: str = text()
    payload: bytes = blob(max_bytes=64 * 1024)


@dataclass(frozen=True)
class Claim(Message):
    """Ask the owner of a claim shard to execute operations."""

    correlation_id: bytes = blob(
        max_bytes=CORRELATION_BYTES, min_bytes=CORRELATION_BYTES
    )
    payload: bytes = blob(max_bytes=MAX_CLAIM_BYTES)


@dataclass(frozen=True)
class ClaimReply(Message):
    """Answer the claim message that has the same correlation id."""

    correlation_id: bytes = blob(
        max_bytes=CORRELATION_BYTES, min_bytes=CORRELATION_BYTES
    )
    payload: bytes = blob(max_bytes=MAX_CLAIM_BYTES)


MESSAGE_TYPES: dict[str, type[Message]] = {
    "hello": Hello,
    "challenge": Challenge,
    "proof": Proof,
    "heartbeat": Heartbeat,
    "beats": PackedHeartbeat,
    "revision": RevisionMessage,
    "digest": Digest,
    "pull": Pull,
    "load": Load,
    "loads": PackedLoads,
    "prune": Prune,
    "graft": Graft,
    "suspect": Suspect,
    "leaving": Leaving,
    "roles": Roles,
    "claim": Claim,
    "claim_reply": ClaimReply,
}
