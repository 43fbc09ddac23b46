"""Bounded send queue of one link."""

from collections import OrderedDict, deque

from gevent.event import Event

from persimmonyoke.internal.membership.messages import (
    Digest,
    Heartbeat,
    Leaving,
    Load,
    Message,
    RevisionMessage,
)

MAX_LOADS = 256
MAX_OTHER_MESSAGES = 512
# A mark is permanent for its incarnation, so the number of queued marks is bounded by
# the number of replicas and hosts that leave while a link is stalled (a few seconds).
MAX_LEAVING_MARKS = 4_096


class SendQueue:
    """Queue the messages of a link, dropping only what later messages replace.

    A newer revision, heartbeat or digest replaces an older one that is still queued.
    Load reports are dropped oldest first. Other messages are refused when the queue is
    full, so that their sender knows that they were not sent.
    """

    def __init__(self) -> None:
        self._leaving: OrderedDict[tuple[str, str], Leaving] = OrderedDict()
        self._latest: dict[type[Message], Message] = {}
        self._other_messages: deque[Message] = deque()
        self._loads: OrderedDict[str, Load] = OrderedDict()
        self._ready = Event()
        self.dropped_loads = 0

    def offer(self, message: Message) -> bool:
        """Queue a message; return whether it will be sent if the link stays up."""
        accepted = self._store(message)
        if accepted:
            self._ready.set()
        return accepted

    def _store(self, message: Message) -> bool:
        match message:
            case Leaving():
                if len(self._leaving) >= MAX_LEAVING_MARKS:
                    return False
                self._leaving[message.name, message.incarnation] = message
            case RevisionMessage():
                waiting = self._latest.get(RevisionMessage)
                if waiting is None or waiting.number <= message.number:
                    self._latest[RevisionMessage] = message
            case Heartbeat() | Digest():
                self._latest[type(message)] = message
            case Load():
                self._loads.pop(message.engine, None)
                self._loads[message.engine] = message
                if len(self._loads) > MAX_LOADS:
                    self._loads.popitem(last=False)
                    self.dropped_loads += 1
            case _:
                if len(self._other_messages) >= MAX_OTHER_MESSAGES:
                    return False
                self._other_messages.append(message)
        return True

    def take(self, *, timeout_s: float | None) -> Message | None:
        """Return the most urgent message, or ``None`` after the timeout.

        A ``timeout_s`` of ``None`` waits indefinitely.
        """
        if not self._ready.wait(timeout_s):
            return None
        message = self._pop()
        if not len(self):
            self._ready.clear()
        return message

    def _pop(self) -> Message | None:
        if self._leaving:
            return self._leaving.popitem(last=False)[1]
        # Heartbeats go before revisions: a large revision on a slow link must not make
        # the sender look silent.
        for kind in (Heartbeat, RevisionMessage, Digest):
            if kind in self._latest:
                return self._latest.pop(kind)
        if self._other_messages:
            return self._other_messages.popleft()
        return self._loads.popitem(last=False)[1] if self._loads else None

    def take_loads(self) -> list[Load]:
        """Return all queued load reports, to send them in one message."""
        loads = list(self._loads.values())
        self._loads.clear()
        if not len(self):
            self._ready.clear()
        return loads

    def __len__(self) -> int:
        return (
            len(self._leaving)
            + len(self._latest)
            + len(self._other_messages)
            + len(self._loads)
        )
