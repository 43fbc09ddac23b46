"""Read an engine's streams into the answer of one request."""

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
from persimmonyoke.internal.delivery.parts import DeliveryContext
from persimmonyoke.internal.delivery.silence import (
    DeadlineExceeded,
    IdleWatchdog,
    StreamIdleTimeout,
)
from persimmonyoke.internal.delivery.steps import AttemptFailed
from persimmonyoke.internal.upstreams.api import StreamEvent


class StreamReader:
    """Read streams of one request until they finish, go idle or reach the deadline."""

    def __init__(
        self, context: DeliveryContext, answer: Answer, *, deadline_s: float
    ) -> None:
        self._context = context
        self._answer = answer
        self._deadline_s = deadline_s

    def read(
        self,
        open_stream: Callable[[], Iterator[StreamEvent]],
        choice: RouteChoice,
        *,
        first_idle_s: float,
    ) -> str:
        """Return the finish reason; raises ``AttemptFailed`` and ``EngineFailure``."""
        idle_watchdog = self.idle_watchdog(first_idle_s)
        events: Iterator[StreamEvent] = iter(())
        finished = False
        try:
            with idle_watchdog:
                idle_watchdog.waiting = True
                events = open_stream()
                reason = self._pump(events, idle_watchdog, choice)
            finished = True
            return reason
        except StreamIdleTimeout:
            self._context.counts[DeliveryCount.SILENCES] += 1
            raise AttemptFailed(
                "no event within the idle timeout", choice.engine
            ) from None
        except (StreamFault, PersimmonyokeError) as fault:
            ended_by_engine = isinstance(fault, StreamEnded)
            raise AttemptFailed(
                str(fault), choice.engine, ended_by_engine=ended_by_engine
            ) from fault
        finally:
            if finished:
                # Reading the end of the response lets the client reuse the connection.
                self._context.spawn(drain, self._context, events)
            else:
                close(events)

    def idle_watchdog(self, idle_s: float) -> IdleWatchdog:
        """Return a watchdog for the idle timeout and the deadline."""
        return IdleWatchdog(
            self._context.clock,
            self._context.awake,
            idle_s=idle_s,
            deadline_s=self._deadline_s,
        )

    def first_idle_s(self, choice: RouteChoice) -> float:
        """Return the idle timeout up to the first event."""
        options = self._context.options
        expected_s = options.first_idle_factor * choice.expected_first_token_s
        return max(options.min_first_idle_s, expected_s)

    def inter_idle_s(self, choice: RouteChoice) -> float:
        """Return the idle timeout between events."""
        options = self._context.options
        expected_s = options.inter_idle_factor * choice.expected_inter_token_s
        return max(options.min_inter_idle_s, expected_s)

    def _pump(
        self,
        events: Iterator[StreamEvent],
        idle_watchdog: IdleWatchdog,
        choice: RouteChoice,
    ) -> str:
        clock = self._context.clock
        deadline_s = self._deadline_s
        process_event = self._answer.process_event
        first = True
        while True:
            idle_watchdog.note_event()
            if clock() >= deadline_s:
                raise DeadlineExceeded
            idle_watchdog.waiting = True
            event = next(events, None)
            idle_watchdog.waiting = False
            if event is None:
                raise StreamFault("the stream ended without a finish reason")
            reason = process_event(event)
            if reason is not None:
                return reason
            if first:
                first = False
                idle_watchdog.note_event()
                idle_watchdog.set_idle(self.inter_idle_s(choice))
