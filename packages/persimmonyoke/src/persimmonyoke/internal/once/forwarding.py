"""Forwarding of claim operations to the owner of a shard."""

from abc import ABC, abstractmethod
from typing import Any

import cbor2
from gevent.event import AsyncResult, Event
from loguru import logger

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

# Time for which the storing of an answer is deferred, so that it can be sent in one
# message with a claim to the same host.
DEFER_S = 0.2
# Bounds the size of a message, and thereby the delay of other messages on its link.
MAX_BATCH_BYTES = 32 * 1024


class ClaimForwarder(ABC):
    """Send an encoded operation to another host."""

    @abstractmethod
    def forward(self, host: str, payload: bytes, *, timeout_s: float) -> bytes | None:
        """Return the encoded result, or ``None`` if the host may still execute it.

        Raises ``ConnectionError`` if the operation was not sent.
        """

    def forward_later(
        self, host: str, payload: bytes, *, timeout_s: float
    ) -> bytes | None:
        """Send an operation that may be batched with others; see ``forward``."""
        return self.forward(host, payload, timeout_s=timeout_s)


class _BatchItem:
    """Hold one operation of a batch until its result is known."""

    def __init__(self, payload: bytes) -> None:
        self.payload = payload
        self.is_batched = Event()
        self.reply: AsyncResult = AsyncResult()


class PeerClaimForwarder(ClaimForwarder):
    """Forward over the links of the peer service.

    A message between hosts costs about as much CPU time as the rest of an operation,
    so deferrable operations are batched with the next urgent one.
    """

    def __init__(self, peers: PeerService) -> None:
        self._peers = peers
        self._deferred: dict[str, list[_BatchItem]] = {}

    def forward(self, host: str, payload: bytes, *, timeout_s: float) -> bytes | None:
        """Send the operation and the deferred ones in one claim request."""
        item = _BatchItem(payload)
        self._send(host, [*self._take_deferred(host, len(payload)), item], timeout_s)
        return item.reply.get()

    def forward_later(
        self, host: str, payload: bytes, *, timeout_s: float
    ) -> bytes | None:
        """Send the operation with the next urgent one, or after ``DEFER_S``."""
        item = _BatchItem(payload)
        self._deferred.setdefault(host, []).append(item)
        item.is_batched.wait(DEFER_S)
        # Another task may take the item between the timeout and this line.
        if not item.is_batched.is_set():
            self._deferred[host].remove(item)
            self._send(
                host, [item, *self._take_deferred(host, len(payload))], timeout_s
            )
        return item.reply.get()

    def _take_deferred(self, host: str, size_bytes: int) -> list[_BatchItem]:
        waiting = self._deferred.get(host, [])
        taken: list[_BatchItem] = []
        while waiting and size_bytes + len(waiting[0].payload) <= MAX_BATCH_BYTES:
            item = waiting.pop(0)
            size_bytes += len(item.payload)
            item.is_batched.set()
            taken.append(item)
        return taken

    def _send(self, host: str, batch: list[_BatchItem], timeout_s: float) -> None:
        """Send a batch and resolve each item, even if the task is killed."""
        replies: list[bytes] | list[None] = [None] * len(batch)
        error: ConnectionError | None = None
        try:
            replies = self._request(host, [i.payload for i in batch], timeout_s)
        except PeerUnanswered as unanswered:
            if not unanswered.sent:
                error = ConnectionError(str(unanswered))
        except ProtocolError as malformed:
            logger.warning("[once] malformed reply from {}: {}", host, malformed)
        finally:
            for item, reply in zip(batch, replies, strict=True):
                if error is not None:
                    item.reply.set_exception(error)
                else:
                    item.reply.set(reply)

    def _request(
        self, host: str, payloads: list[bytes], timeout_s: float
    ) -> list[bytes]:
        if len(payloads) == 1:
            return [self._peers.request(host, payloads[0], timeout_s=timeout_s)]
        reply = self._peers.request(host, encode_batch(payloads), timeout_s=timeout_s)
        replies = decode_batch(reply)
        if replies is None or len(replies) != len(payloads):
            raise ProtocolError("batch of claim results has a wrong length")
        return replies


def encode_batch(payloads: list[bytes]) -> bytes:
    """Encode several encoded operations or results as one payload."""
    return cbor2.dumps(payloads)


def decode_batch(payload: bytes) -> list[bytes] | None:
    """Return the parts of a batch, or ``None`` for any other payload.

    Raises ``ProtocolError`` if the payload is not valid CBOR.
    """
    plain = decode_plain(payload)
    if not isinstance(plain, list) or not plain:
        return None
    is_batch = all(isinstance(part, bytes) for part in plain)
    return plain if is_batch else None


def _answer_fields(answer: StoredAnswer | None) -> list[Any] | None:
    if answer is None:
        return None
    return [answer.status, answer.content_type, answer.body, answer.body_digest]


def encode_operation(operation: Operation) -> bytes:
    """Encode an operation for its owner."""
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
    """Decode an operation; raise ``ProtocolError`` if it is malformed."""
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
    """Encode the result that the owner sends back."""
    entry = result.entry and result.entry.encode()
    return cbor2.dumps([result.effect.value, entry, result.reason])


def decode_result(payload: bytes) -> Result:
    """Decode a result; raise ``ProtocolError`` if it is malformed."""
    match decode_plain(payload):
        case [str(effect), bytes() | None as entry, str(reason)]:
            try:
                decoded = Entry.decode(entry) if entry is not None else None
                return Result(Effect(effect), decoded, reason)
            except (ValueError, TypeError, cbor2.CBORError) as error:
                raise ProtocolError(f"claim result is malformed: {error}") from None
    raise ProtocolError("claim result has wrong fields")
