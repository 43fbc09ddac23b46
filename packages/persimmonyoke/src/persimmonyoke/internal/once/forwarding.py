"""Forwarding of operations to the owner of a shard."""

from abc import ABC, abstractmethod
from typing import Any

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.codec import decode_plain
from persimmonyoke.internal.membership.peers import PeerService, PeerUnanswered
from persimmonyoke.internal.once.document import (
    Action,
    Effect,
    Entry,
    Operation,
    Result,
)
from persimmonyoke.internal.once.outcomes import StoredAnswer


class ClaimForwarder(ABC):
    """Send an encoded operation to another host."""

    @abstractmethod
    def forward(self, host: str, payload: bytes, *, timeout_s: float) -> bytes | None:
        """Return the encoded result, or ``None`` if the host may yet act on it.

        Raises ``ConnectionError`` if the operation was not sent.
        """


class PeerClaimForwarder(ClaimForwarder):
    """Forward over the links of the peer service."""

    def __init__(self, peers: PeerService) -> None:
        self._peers = peers

    def forward(self, host: str, payload: bytes, *, timeout_s: float) -> bytes | None:
        """Send the operation as a claim request."""
        try:
            return self._peers.request(host, payload, timeout_s=timeout_s)
        except PeerUnanswered as error:
            if error.sent:
                return None
            raise ConnectionError(str(error)) from error


def _answer_fields(answer: StoredAnswer | None) -> list[Any] | None:
    if answer is None:
        return None
    return [answer.status, answer.content_type, answer.body, answer.body_digest]


def encode_operation(operation: Operation) -> bytes:
    """Return the form that is sent to the owner."""
    fields = [
        operation.action.value,
        operation.shard,
        operation.entry_key,
        operation.attempt,
        operation.body_digest,
        operation.host,
        operation.incarnation,
        operation.created_unix_s,
        operation.valid_until_unix_s,
        _answer_fields(operation.answer),
    ]
    return cbor2.dumps(fields)


_OPERATION_TYPES = (str, str, bytes, bytes, bytes, str, str, float, float)


def decode_operation(payload: bytes) -> Operation:
    """Return the operation; raise ``ProtocolError`` if it is malformed."""
    plain = decode_plain(payload)
    if not isinstance(plain, list) or len(plain) != len(_OPERATION_TYPES) + 1:
        raise ProtocolError("claim operation has a wrong number of fields")
    *fields, answer = plain
    pairs = zip(fields, _OPERATION_TYPES, strict=True)
    if not all(type(value) is kind for value, kind in pairs):
        raise ProtocolError("claim operation has a field of a wrong type")
    if fields[0] not in list(Action):
        raise ProtocolError("claim operation has an unknown action")
    return Operation(Action(fields[0]), *fields[1:], _decode_answer(answer))


def _decode_answer(plain: Any) -> StoredAnswer | None:
    if plain is None:
        return None
    match plain:
        case [int(), str(), bytes() | None, bytes()]:
            return StoredAnswer(*plain)
    raise ProtocolError("claim operation has a malformed answer")


def encode_result(result: Result) -> bytes:
    """Return the form that the owner sends back."""
    entry = result.entry and result.entry.encode()
    return cbor2.dumps([result.effect.value, entry, result.reason])


def decode_result(payload: bytes) -> Result:
    """Return the result; raise ``ProtocolError`` if it is malformed."""
    match decode_plain(payload):
        case [str(effect), bytes() | None as entry, str(reason)]:
            try:
                decoded = Entry.decode(entry) if entry is not None else None
                return Result(Effect(effect), decoded, reason)
            except (ValueError, TypeError, cbor2.CBORError) as error:
                raise ProtocolError(f"claim result is malformed: {error}") from None
    raise ProtocolError("claim result has wrong fields")
