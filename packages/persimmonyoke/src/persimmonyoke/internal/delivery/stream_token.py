"""Signed tokens that let a caller resume its stream at any entry host.

A token is ``<static>.<position>``, both base64url without padding. The static part is
encoded once for each stream of an engine; the second part holds the position and the
authentication code, a keyed BLAKE2b. The hash state after the static part is kept for
the stream, so that an event costs only the hash of its position.

The position is authenticated too. A forged one would not expose another caller's
answer, because the static part names the stream and is signed together with the
workspace, but it would bypass limits: admission charges only the tokens after the
offset, while an engine that has to regenerate the answer computes all of them, and the
issue time bounds the age of the token.
"""

import base64
import binascii
import hashlib
import hmac
import struct
from dataclasses import dataclass

import cbor2

from persimmonyoke.internal.delivery.api import ResumePoint, TextProgress

VERSION = 2
MAC_BYTES = 16
# Domain separation of this use of the key; at most 16 bytes.
MAC_PURPOSE = b"stream token"
MIN_KEY_BYTES = 16
MAX_TOKEN_CHARACTERS = 1024
MAX_AGE_S = 600
# Clocks of entry hosts differ; a token from a host whose clock is ahead must be valid.
MAX_CLOCK_SKEW_S = 30
_URL_SAFE = bytes.maketrans(b"+/", b"-_")
# Tokens of the answer, bytes of its text, CRC-32 of its text, issue time in seconds.
POSITION = struct.Struct(">IQII")


class InvalidToken(ValueError):
    """Report a token that is malformed, forged, expired or of another caller."""


@dataclass(frozen=True)
class StreamOrigin:
    """Hold the fields that are constant while one engine serves a stream."""

    engine: str
    incarnation: str
    stream_id: str
    request_id: str
    request_digest: bytes
    model: str
    prompt_tokens: int
    max_tokens: int
    created_unix_s: int
    deadline_unix_s: int
    chat: bool
    include_usage: bool


@dataclass(frozen=True)
class StreamToken:
    """Hold the verified content of a token."""

    origin: StreamOrigin
    offset: int
    text_bytes: int
    text_crc: int
    issued_unix_s: int

    @property
    def resume_point(self) -> ResumePoint:
        """Return the position from which delivery continues."""
        return ResumePoint(
            engine=self.origin.engine,
            stream_id=self.origin.stream_id,
            offset=self.offset,
            text_bytes=self.text_bytes,
            text_crc=self.text_crc,
            incarnation=self.origin.incarnation,
        )


class TokenIssuer:
    """Sign the positions of one stream."""

    def __init__(self, key: bytes, workspace: str, origin: StreamOrigin) -> None:
        self._static = _encode_origin(origin)
        self._prefix = _encode_base64(self._static) + b"."
        self._keyed_hash = _keyed_hash(key, workspace, self._static)

    def issue(self, progress: TextProgress, *, now_unix_s: float) -> bytes:
        """Return the token for a position."""
        position = POSITION.pack(
            progress.offset, progress.text_bytes, progress.crc, int(now_unix_s)
        )
        keyed_hash = self._keyed_hash.copy()
        keyed_hash.update(position)
        return self._prefix + _encode_base64(position + keyed_hash.digest())


class StreamTokenSigner:
    """Issue and check tokens under the key that the entry hosts of a firm share."""

    def __init__(self, key: bytes, *, max_age_s: float = MAX_AGE_S) -> None:
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(
                f"key must have at least {MIN_KEY_BYTES} bytes, not {len(key)}"
            )
        self._key = key
        self._max_age_s = max_age_s

    def issuer(self, workspace: str, origin: StreamOrigin) -> TokenIssuer:
        """Return the issuer for one stream."""
        return TokenIssuer(self._key, workspace, origin)

    def verify(self, token: str, *, workspace: str, now_unix_s: float) -> StreamToken:
        """Return the content of a token of this workspace; raises ``InvalidToken``."""
        if len(token) > MAX_TOKEN_CHARACTERS:
            raise InvalidToken("the token is too long")
        static, position, mac = _split(token)
        keyed_hash = _keyed_hash(self._key, workspace, static)
        keyed_hash.update(position)
        if not hmac.compare_digest(keyed_hash.digest(), mac):
            raise InvalidToken("the token is not valid for this key")
        offset, text_bytes, text_crc, issued_unix_s = POSITION.unpack(position)
        age_s = now_unix_s - issued_unix_s
        if age_s > self._max_age_s or age_s < -MAX_CLOCK_SKEW_S:
            raise InvalidToken("the token has expired")
        origin = _decode_origin(static)
        return StreamToken(origin, offset, text_bytes, text_crc, issued_unix_s)


def _keyed_hash(key: bytes, workspace: str, static: bytes) -> "hashlib.blake2b":
    """Return the hash that authenticates a token up to its position."""
    # The workspace is signed but not sent: a token is not valid in another one.
    name = workspace.encode()
    head = b"%d:%b:%d:%b:" % (len(name), name, len(static), static)
    # BLAKE2b takes keys of at most 64 bytes, so a key of any length is hashed first.
    hashed_key = hashlib.blake2b(key).digest()
    return hashlib.blake2b(
        head, key=hashed_key, digest_size=MAC_BYTES, person=MAC_PURPOSE
    )


def _encode_origin(origin: StreamOrigin) -> bytes:
    return cbor2.dumps(
        [
            VERSION,
            origin.engine,
            origin.incarnation,
            origin.stream_id,
            origin.request_id,
            origin.request_digest,
            origin.model,
            origin.prompt_tokens,
            origin.max_tokens,
            origin.created_unix_s,
            origin.deadline_unix_s,
            origin.chat,
            origin.include_usage,
        ]
    )


def _decode_origin(static: bytes) -> StreamOrigin:
    try:
        version, *fields = cbor2.loads(static)
    except (ValueError, TypeError, EOFError) as error:
        raise InvalidToken("the token is malformed") from error
    if version != VERSION:
        raise InvalidToken("the token has an unknown version")
    return StreamOrigin(*fields)


def _encode_base64(data: bytes) -> bytes:
    return binascii.b2a_base64(data, newline=False).translate(_URL_SAFE, b"=")


def _decode_base64(text: str) -> bytes:
    padding = "=" * (-len(text) % 4)
    decoded = base64.b64decode(text + padding, altchars=b"-_", validate=True)
    # Unused trailing bits would give one token several encodings.
    if _encode_base64(decoded).decode() != text:
        raise InvalidToken("the token is malformed")
    return decoded


def _split(token: str) -> tuple[bytes, bytes, bytes]:
    static_text, separator, moving_text = token.partition(".")
    if not separator or not token.isascii():
        raise InvalidToken("the token is malformed")
    try:
        static = _decode_base64(static_text)
        tail = _decode_base64(moving_text)
    except binascii.Error as error:
        raise InvalidToken("the token is malformed") from error
    if len(tail) != POSITION.size + MAC_BYTES:
        raise InvalidToken("the token is malformed")
    return static, tail[: POSITION.size], tail[POSITION.size :]
