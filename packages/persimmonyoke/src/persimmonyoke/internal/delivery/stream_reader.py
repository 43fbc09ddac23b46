"""Reading of an engine's stream into the answer of one request."""

from collections.abc import Callable, Iterator

from persimmonyoke.errors import PersimmonyokeError
from persimmonyoke.internal.delivery.answer import (
    Answer,
    DeliveryCount,
    StreamEnded,
    StreamFault,
)
from persimmonyoke.internal.delivery.api import RouteChoice
from persimmonyoke.internal.delivery.engine_checks import close, drain
from persimmonyoke.internal.delivery.parts import DeliveryParts
from persimmonyoke.internal.delivery.silence import (
    DeadlinePassed,
    SilenceWatch,
    StreamSilent,
)
from persimmonyoke.internal.delivery.steps import Broken
from persimmonyoke.internal.upstreams.api import StreamEvent


class StreamReader:
    """Read streams of one request up to their finish, silence or deadline."""

    def __init__(
        self, parts: DeliveryParts, answer: Answer, *, deadline_s: float
    ) -> None:
        self._parts = parts
        self._answer = answer
        self._deadline_s = deadline_s

    def read(
        self,
        open_stream: Callable[[], Iterator[StreamEvent]],
        choice: RouteChoice,
        *,
        first_idle_s: float,
    ) -> str:
        """Return the finish reason; raises ``Broken`` and ``EngineFailure``."""
        watch = self.watch(first_idle_s)
        events: Iterator[StreamEvent] = iter(())
        finished = False
        try:
            with watch:
                watch.waiting = True
                events = open_stream()
                reason = self._pump(events, watch, choice)
            finished = True
            return reason
        except StreamSilent:
            self._parts.counts[DeliveryCount.SILENCES] += 1
            raise Broken("no event within the idle timeout", choice.engine) from None
        except (StreamFault, PersimmonyokeError) as fault:
            ended = isinstance(fault, StreamEnded)
            raise Broken(str(fault), choice.engine, ended=ended) from fault
        finally:
            if finished:
                # The client reads the end of the response and keeps the connection.
                self._parts.spawn(drain, self._parts, events)
            else:
                close(events)

    def watch(self, idle_s: float) -> SilenceWatch:
        """Return a watch of the engine's silence and of the deadline."""
        return SilenceWatch(
            self._parts.clock,
            self._parts.awake,
            idle_s=idle_s,
            deadline_s=self._deadline_s,
        )

    def first_idle_s(self, choice: RouteChoice) -> float:
        """Return the idle timeout up to the first event."""
        options = self._parts.options
        expected_s = options.first_idle_factor * choice.expected_first_token_s
        return max(options.min_first_idle_s, expected_s)

    def inter_idle_s(self, choice: RouteChoice) -> float:
        """Return the idle timeout between events."""
        options = self._parts.options
        expected_s = options.inter_idle_factor * choice.expected_inter_token_s
        return max(options.min_inter_idle_s, expected_s)

    def _pump(
        self, events: Iterator[StreamEvent], watch: SilenceWatch, choice: RouteChoice
    ) -> str:
        clock = self._parts.clock
        deadline_s = self._deadline_s
        take = self._answer.take
        first = True
        while True:
            watch.note_event()
            if clock() >= deadline_s:
                raise DeadlinePassed
            watch.waiting = True
            event = next(events, None)
            watch.waiting = False
            if event is None:
                raise StreamFault("the stream ended without a finish reason")
            reason = take(event)
            if reason is not None:
                return reason
            if first:
                first = False
                watch.note_event()
                watch.set_idle(self.inter_idle_s(choice))
