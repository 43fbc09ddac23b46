"""One call to one replica, matched to its answer by the request's id."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from persimmonyoke.internal.fleet.interfaces import RawCall, ResponseMetadata
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.answers import AnswerHead
from persimmonyoke.internal.gateway.client_connection import ClientGone
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    ReplicaWaits,
    UpstreamConnection,
)
from persimmonyoke.internal.gateway.state import GatewayState

MAX_FOREIGN_ANSWERS = 2
"""Answers to earlier requests that are skipped before a connection is given up."""


class Work:
    """Hold the upstream connection of one request, so that its end can be forced."""

    def __init__(self) -> None:
        self.cancelled = False
        self._connection: UpstreamConnection | None = None
        self._on_cancel: Callable[[], None] | None = None

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Call back when the client leaves, in place of an earlier callback."""
        self._on_cancel = callback

    def cancel(self) -> None:
        """End the wait or the call that is under way, if any."""
        self.cancelled = True
        if self._on_cancel is not None:
            self._on_cancel()
        if self._connection is not None:
            self._connection.interrupt()

    def attach(self, connection: UpstreamConnection) -> None:
        """Note the connection that is used now; raise ``ClientGone`` if cancelled."""
        self.check()
        self._connection = connection

    def detach(self) -> None:
        """Note that no connection is used."""
        self._connection = None

    def check(self) -> None:
        """Raise ``ClientGone`` if the client has left."""
        if self.cancelled:
            raise ClientGone("client left before its answer")


@dataclass
class OpenAnswer:
    """Hold an answer whose body is still to be read."""

    connection: UpstreamConnection
    head: AnswerHead
    facts: ResponseMetadata


class UpstreamCaller:
    """Send calls of requests to replicas and keep account of connections."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def start(
        self,
        replica: Replica,
        call: RawCall,
        work: Work,
        *,
        request_id: str,
        deadline_s: float,
    ) -> OpenAnswer:
        """Send a call and return its answer up to the head.

        Raises ``NotConnected``, ``AnswerLost`` or ``ClientGone``; the connection is
        then closed.
        """
        now_s = time.monotonic()
        if self._state.backoff.active(replica.replica_id, now_s):
            raise ReplicaWaits(f"{replica.address} asked for no requests for a while")
        connection = self._state.pool.take(
            replica, timeout_s=deadline_s - now_s, now_s=now_s
        )
        try:
            work.attach(connection)
            connection.send(call, timeout_s=deadline_s - time.monotonic())
            return self._own_answer(connection, request_id, deadline_s)
        except BaseException as error:
            connection.discard()
            work.detach()
            if isinstance(error, AnswerLost):
                work.check()
            raise

    def read_whole(self, answer: OpenAnswer, work: Work, *, deadline_s: float) -> bytes:
        """Return the whole body and give the connection back."""
        try:
            body = answer.connection.read_body(timeout_s=deadline_s - time.monotonic())
            work.check()
        except BaseException as error:
            self.abandon(answer, work)
            if isinstance(error, AnswerLost):
                work.check()
            raise
        self.finish(answer, work)
        return body

    def finish(self, answer: OpenAnswer, work: Work) -> None:
        """Give the connection of a completely read answer back."""
        work.detach()
        answer.connection.note_answered(answer.head, now_s=time.monotonic())
        self._state.pool.put(answer.connection)

    def abandon(self, answer: OpenAnswer, work: Work) -> None:
        """Close the connection, which ends the work at the replica."""
        work.detach()
        answer.connection.close()

    def _own_answer(
        self, connection: UpstreamConnection, request_id: str, deadline_s: float
    ) -> OpenAnswer:
        for _ in range(MAX_FOREIGN_ANSWERS + 1):
            head = connection.read_head(timeout_s=deadline_s - time.monotonic())
            facts = self._state.wire.response_metadata(head.headers)
            self._state.note_answer(
                connection.replica, head.status, facts, now_s=time.monotonic()
            )
            if facts.request_id is None or facts.request_id == request_id:
                return OpenAnswer(connection, head, facts)
            self._state.journal.event(
                "foreign_answer",
                request_id=request_id,
                answered_id=facts.request_id,
                replica=connection.replica.replica_id,
            )
            connection.read_body(timeout_s=deadline_s - time.monotonic())
        raise AnswerLost("too many answers to other requests")
