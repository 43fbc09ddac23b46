"""Send calls to replicas and match the responses by request id."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from persimmonyoke.internal.fleet.interfaces import RawCall, ResponseMetadata
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.answers import ResponseHead
from persimmonyoke.internal.gateway.body_buffer import Body
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    AnswerTimeout,
    ConnectionEnded,
    LostCall,
    ReplicaWaits,
    UpstreamConnection,
)
from persimmonyoke.internal.gateway.hedge import AnswerWait
from persimmonyoke.internal.gateway.held_memory import AnswerRoom, HeldBytes
from persimmonyoke.internal.gateway.state import GatewayState

MAX_MISMATCHED_RESPONSES = 2
"""Responses to other requests that are skipped before the connection is closed."""


REFUSAL_TIMEOUT_S = 0.2
"""Time within which the body of a refusal is read."""


class CallSlot(Enum):
    """Say how a call is counted against the limit that its replica names.

    A call with ``UNCONDITIONAL`` is sent in any case; later ones wait for longer.
    """

    NEEDED = auto()
    TAKEN = auto()
    UNCONDITIONAL = auto()


class CancelScope:
    """Track the connections of one request, and allow it to be cancelled."""

    def __init__(self) -> None:
        self._cause: Exception | None = None
        self.used_connections: list[UpstreamConnection] = []
        """Connections that carried this request's id and may bring an old answer."""

        self.connection_ended = False
        """Whether a connection ended under this request.

        Idle ones may have ended with it, which only their next call shows.
        """

        self._connection: UpstreamConnection | None = None
        self._on_cancel: Callable[[], None] | None = None

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Set the callback for a cancellation, replacing an earlier one."""
        self._on_cancel = callback

    @property
    def cause(self) -> Exception | None:
        """Return why the request has been cancelled, if it has."""
        return self._cause

    @property
    def cancelled(self) -> bool:
        """Return whether the request has been cancelled."""
        return self._cause is not None

    def reattach(self, connection: UpstreamConnection) -> None:
        """Register a connection that was opened under a child scope."""
        self.raise_if_cancelled()
        self._connection = connection

    def cancel(self, cause: Exception) -> None:
        """Interrupt the wait or the call in progress, which then raises the cause."""
        if self._cause is None:
            self._cause = cause
        if self._on_cancel is not None:
            self._on_cancel()
        if self._connection is not None:
            self._connection.interrupt()

    def connect(
        self, take_connection: Callable[[], UpstreamConnection]
    ) -> UpstreamConnection:
        """Return a connection for a call."""
        return take_connection()

    def attach(self, connection: UpstreamConnection) -> None:
        """Register the connection in use; raise the cause if cancelled."""
        self.raise_if_cancelled()
        self._connection = connection
        self.used_connections.append(connection)

    def detach(self, connection: UpstreamConnection) -> None:
        """Unregister a connection, unless another one has replaced it."""
        if self._connection is connection:
            self._connection = None

    def note_error(self, error: BaseException) -> None:
        """Record the error that ended a call of this request."""
        if isinstance(error, ConnectionEnded):
            self.connection_ended = True

    def raise_if_cancelled(self) -> None:
        """Raise the cause of the cancellation, if there was one."""
        if self._cause is not None:
            raise self._cause


@dataclass
class OpenResponse:
    """Represent a response whose body has not been read yet."""

    connection: UpstreamConnection
    head: ResponseHead
    facts: ResponseMetadata


class UpstreamCaller:
    """Send calls to replicas over pooled connections."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def start(
        self,
        replica: Replica,
        call: RawCall,
        cancel_scope: CancelScope,
        *,
        request_id: str,
        deadline_s: float,
        slot: CallSlot = CallSlot.NEEDED,
        directly: bool = False,
        wait: AnswerWait | None = None,
        in_backoff: bool = False,
    ) -> OpenResponse:
        """Send a call and return its response with the body still unread.

        With ``directly`` it is sent over this host's links only. With ``wait`` that
        says how long the answer is waited for, also beyond the deadline. With
        ``in_backoff`` it is sent though the replica asked for no requests.

        Raises ``NotConnected``, ``AnswerLost`` or the cause of a cancellation; the
        connection is then closed, unless ``wait`` keeps it.
        """
        now_s = time.monotonic()
        if not in_backoff and self._state.backoff.active(replica.replica_id, now_s):
            raise ReplicaWaits(f"{replica.address} asked for no requests for a while")
        self._use_slot(replica, slot, now_s)
        connection = cancel_scope.connect(
            lambda: self._state.pool.take(
                replica,
                timeout_s=deadline_s - now_s,
                now_s=now_s,
                avoid=cancel_scope.used_connections,
                new_only=cancel_scope.connection_ended,
                directly=directly,
                repeatable=call.repeatable,
            )
        )
        sent_s = time.monotonic()
        try:
            cancel_scope.attach(connection)
            connection.send(call, timeout_s=deadline_s - sent_s)
            return self._read_matching_response(
                connection, request_id, deadline_s, sent_s=sent_s, wait=wait
            )
        except BaseException as error:
            self._end_call(connection, cancel_scope, error, wait)
            if isinstance(error, AnswerLost):
                cancel_scope.raise_if_cancelled()
                self._state.on_call_lost(
                    LostCall(connection, error, sent_s, deadline_s)
                )
            raise

    def resume(
        self,
        connection: UpstreamConnection,
        cancel_scope: CancelScope,
        *,
        request_id: str,
        deadline_s: float,
        wait: AnswerWait,
    ) -> OpenResponse:
        """Return the response to a call that was left open, as ``start`` does."""
        resumed_s = time.monotonic()
        try:
            cancel_scope.reattach(connection)
            return self._read_matching_response(
                connection, request_id, deadline_s, sent_s=resumed_s, wait=wait
            )
        except BaseException as error:
            self._end_call(connection, cancel_scope, error, wait)
            if isinstance(error, AnswerLost):
                cancel_scope.raise_if_cancelled()
            raise

    def late_answer(
        self, connection: UpstreamConnection, *, request_id: str, deadline_s: float
    ) -> OpenResponse:
        """Return the response to a call that was given up; raise ``AnswerLost``."""
        try:
            return self._read_matching_response(
                connection, request_id, deadline_s, sent_s=time.monotonic()
            )
        except BaseException:
            connection.discard()
            raise

    def read_body(
        self,
        response: OpenResponse,
        cancel_scope: CancelScope,
        *,
        deadline_s: float,
        held: HeldBytes | None = None,
        room_until_s: float = 0.0,
    ) -> Body:
        """Read the complete body and return the connection to the pool.

        With ``held`` the body stays counted there, and is waited for until
        ``room_until_s`` while this host has no memory left.
        """
        room = None
        if held is not None:
            room = AnswerRoom(
                held,
                until_s=room_until_s,
                raise_if_cancelled=cancel_scope.raise_if_cancelled,
            )
        try:
            body = response.connection.read_body(
                timeout_s=deadline_s - time.monotonic(),
                declared_bytes=declared_bytes(response.head),
                room=room,
            )
            cancel_scope.raise_if_cancelled()
        except BaseException as error:
            self.abandon(response, cancel_scope, error)
            if isinstance(error, AnswerLost):
                cancel_scope.raise_if_cancelled()
            raise
        self.finish(response, cancel_scope)
        return body

    def answer_after(
        self, refusal: OpenResponse, cancel_scope: CancelScope, *, request_id: str
    ) -> OpenResponse | None:
        """Read a refusal and return the answer that follows it at once, if any.

        A replica may write an earlier refusal of the request again before its answer.
        """
        connection = refusal.connection
        deadline_s = time.monotonic() + REFUSAL_TIMEOUT_S
        try:
            connection.read_body(timeout_s=deadline_s - time.monotonic())
            if connection.has_more_input:
                return self._read_matching_response(
                    connection, request_id, deadline_s, sent_s=time.monotonic()
                )
        except BaseException as error:
            self.abandon(refusal, cancel_scope)
            if isinstance(error, AnswerLost):
                cancel_scope.raise_if_cancelled()
            raise
        self.finish(refusal, cancel_scope)
        return None

    def finish(self, response: OpenResponse, cancel_scope: CancelScope) -> None:
        """Return the connection to the pool after the response has been read."""
        cancel_scope.detach(response.connection)
        response.connection.mark_response_complete(
            response.head, now_s=time.monotonic()
        )
        self._state.pool.put(response.connection)

    def abandon(
        self,
        response: OpenResponse,
        cancel_scope: CancelScope,
        error: BaseException | None = None,
    ) -> None:
        """Close the connection, which makes the replica stop the request."""
        cancel_scope.detach(response.connection)
        if error is not None:
            cancel_scope.note_error(error)
        response.connection.close()

    def _note_answer(self, connection: UpstreamConnection) -> None:
        if connection.peer is None:
            self._state.links.note_answer(connection.replica, time.monotonic())
        else:
            self._state.links.note_answer_by_peer()

    @staticmethod
    def _end_call(
        connection: UpstreamConnection,
        cancel_scope: CancelScope,
        error: BaseException,
        wait: AnswerWait | None,
    ) -> None:
        """Close the connection of a lost call, unless ``wait`` keeps it."""
        is_late = isinstance(error, AnswerTimeout) and wait is not None
        if not is_late or not wait.keep(connection):
            connection.discard()
        cancel_scope.detach(connection)
        cancel_scope.note_error(error)

    def _use_slot(self, replica: Replica, slot: CallSlot, now_s: float) -> None:
        """Count the call against the replica's limit; raise ``ReplicaWaits``."""
        limits = self._state.replica_limits
        if slot is CallSlot.UNCONDITIONAL:
            limits.take(replica.replica_id, now_s)
        elif slot is CallSlot.NEEDED and not limits.try_take(replica.replica_id, now_s):
            raise ReplicaWaits(f"{replica.address} limits its requests")

    def _read_matching_response(
        self,
        connection: UpstreamConnection,
        request_id: str,
        deadline_s: float,
        *,
        sent_s: float,
        wait: AnswerWait | None = None,
    ) -> OpenResponse:
        for _ in range(MAX_MISMATCHED_RESPONSES + 1):
            head = _read_head(connection, sent_s, deadline_s, wait)
            self._note_answer(connection)
            facts = self._state.wire.response_metadata(head.headers)
            self._state.note_answer(
                connection.replica,
                head.status,
                facts,
                sent_s=sent_s,
                now_s=time.monotonic(),
            )
            if facts.request_id is None or facts.request_id == request_id:
                return OpenResponse(connection, head, facts)
            self._state.journal.event(
                "foreign_answer",
                request_id=request_id,
                answered_id=facts.request_id,
                replica=connection.replica.replica_id,
            )
            limit_s = wait.first_limit_s(sent_s, deadline_s) if wait else deadline_s
            connection.read_body(timeout_s=limit_s - time.monotonic())
        raise AnswerLost("too many answers to other requests")


def declared_bytes(head: ResponseHead) -> int:
    """Return the length that a response declares, or 0."""
    value = head.header(b"content-length") or b""
    return int(value) if value.isdigit() else 0


def _read_head(
    connection: UpstreamConnection,
    sent_s: float,
    deadline_s: float,
    wait: AnswerWait | None,
) -> ResponseHead:
    """Return the head of the next response, waiting as long as ``wait`` says."""
    limit_s = wait.first_limit_s(sent_s, deadline_s) if wait else deadline_s
    while True:
        try:
            return connection.read_head(timeout_s=limit_s - time.monotonic())
        except AnswerTimeout:
            later_s = wait.wait_until_s(time.monotonic()) if wait else None
            if later_s is None:
                raise
            limit_s = later_s
