"""Checks of an answer that goes on with a stream of which the client has a part."""

from collections.abc import Sequence

from persimmonyoke.internal.gateway.answers import ResponseHead
from persimmonyoke.internal.gateway.connections import ConnectionEnded
from persimmonyoke.internal.gateway.events import EventSplitter, StreamEvent

EVENT_STREAM = b"text/event-stream"


class StreamJoin:
    """Tell the events of one run from an error that a replica wrote instead.

    In a first run the whole body is the replica's and is passed on, but once events
    have ids, bytes that are no event end the run.
    """

    def __init__(self, head: ResponseHead, *, continues: bool) -> None:
        self._head = head
        self._type = _media_type(head)
        self._continues = continues
        self._has_ids = False

    @property
    def is_event_stream(self) -> bool:
        """Return whether the body may hold events that continue the stream."""
        return not self._continues or self._type in (None, EVENT_STREAM)

    def check_end(self, splitter: EventSplitter, *, begun: bool) -> None:
        """Raise ``ConnectionEnded`` if the stream was broken off.

        The end of a stream without a length or chunks can't be told from that of its
        connection, so it must hold at least one event.
        """
        if splitter.rest:
            raise ConnectionEnded("stream ended inside an event")
        is_empty = not begun and not self._head.self_delimited
        if is_empty or not self._may_end:
            raise ConnectionEnded("stream ended before its first event")

    @property
    def _may_end(self) -> bool:
        """Return whether the end of the run may be that of the stream.

        A run without an event ends a stream of which the client has all events, if
        the replica shows that it wrote an event stream to its end.
        """
        if self._has_ids or not self._continues:
            return True
        is_typed = self._type == EVENT_STREAM
        has_length = self._head.header(b"content-length") is not None
        return self._head.self_delimited and (is_typed or not has_length)

    def sound(self, events: Sequence[StreamEvent]) -> list[StreamEvent]:
        """Return the events before the first one that may be an error."""
        sound: list[StreamEvent] = []
        for event in events:
            if event.event_id is not None:
                self._has_ids = True
            elif not self._allows_without_id(event):
                break
            sound.append(event)
        return sound

    def _allows_without_id(self, event: StreamEvent) -> bool:
        if event.is_comment:
            return True
        return event.has_field if self._has_ids else not self._continues


def _media_type(head: ResponseHead) -> bytes | None:
    value = head.header(b"content-type")
    return None if value is None else value.split(b";")[0].strip().lower()
