"""Preparation of the next run of a stream whose engine is silent."""

import time
from collections.abc import Sequence
from dataclasses import dataclass

import gevent

from persimmonyoke.errors import RequestError
from persimmonyoke.internal.dispatch.engine_silence import LOOK_AGAIN_S
from persimmonyoke.internal.dispatch.placement import FIRST_EVENT_OVERHEAD_S
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.connections import UpstreamConnection
from persimmonyoke.internal.gateway.engine_probe import EngineProbes
from persimmonyoke.internal.gateway.engine_selection import (
    EngineChoice,
    EngineSelection,
)
from persimmonyoke.internal.gateway.exchange import Exchange, StreamBroken
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.upstream_call import CancelScope

RESUME_POLL_S = 0.02
"""Interval at which a preparation looks whether the silent engine goes on."""

LEFT, RESUMED = "left", "engine goes on"
NEXT_SILENT = "next engine is silent"


@dataclass(frozen=True)
class Preparation:
    """Hold what the next run needs, if it was prepared, and the outcome to log."""

    choice: EngineChoice | None
    outcome: str


class EngineResumed(Exception):
    """Signal that a silent engine goes on with its stream."""


class StreamMove:
    """Prepare the next run of a silent stream while its connection stays open.

    The stream gives up its engine only with another one and the prompt in hand, since
    a client resumes a stream that broke off only a few times.
    """

    def __init__(
        self,
        state: GatewayState,
        selection: EngineSelection,
        probes: EngineProbes,
        exchange: Exchange,
    ) -> None:
        self._state = state
        self._selection = selection
        self._probes = probes
        self._exchange = exchange
        self._logged: set[str] = set()

    def prepare(
        self,
        engine: Replica,
        connection: UpstreamConnection,
        engines: Sequence[Replica],
        *,
        silent_since_s: float,
    ) -> EngineChoice | None:
        """Return what the next run needs, or ``None`` if the stream stays.

        Raises the cause if the request is cancelled meanwhile.
        """
        prepared = self._try(engine, connection, engines)
        if prepared.choice is not None:
            prepared = self._confirm(prepared.choice, connection)
        if prepared.outcome not in self._logged:
            self._logged.add(prepared.outcome)
            now_s = time.monotonic()
            self._log(engine, engines, prepared.outcome, silent_since_s, now_s)
        return prepared.choice

    def _confirm(
        self, choice: EngineChoice, connection: UpstreamConnection
    ) -> Preparation:
        """Discard what was prepared if it is of no use any more."""
        still_answers = self._still_answers(choice.engine, connection)
        if still_answers and not connection.goes_on:
            return Preparation(choice, LEFT)
        self._selection.discard(choice)
        return Preparation(None, RESUMED if connection.goes_on else NEXT_SILENT)

    def _try(
        self,
        engine: Replica,
        connection: UpstreamConnection,
        engines: Sequence[Replica],
    ) -> Preparation:
        scope = self._exchange.cancel_scope
        preparation = self._exchange.cancel_scope = scope.child()
        watcher = gevent.spawn(_cancel_when_resumed, connection, preparation)
        try:
            choice = self._selection.prepare_to_continue(engine, engines)
            return Preparation(choice, LEFT)
        except EngineResumed:
            return Preparation(None, RESUMED)
        except (RequestError, StreamBroken) as error:
            return Preparation(None, str(error))
        finally:
            watcher.kill()
            self._exchange.cancel_scope = scope
            if preparation.cancelled and not _is_resumed(preparation):
                scope.cancel(preparation.cause)

    def _still_answers(self, engine: Replica, connection: UpstreamConnection) -> bool:
        """Return whether the next engine answers in time, after a long preparation.

        Bytes or the end of the silent connection end the wait.
        """
        probe_s = 0.0
        while not connection.has_more_input:
            now_s = time.monotonic()
            if self._state.silences.answers(engine, now_s):
                return True
            if self._exchange.event_wait_left_s(now_s) <= FIRST_EVENT_OVERHEAD_S:
                return False
            if now_s >= probe_s:
                self._probes.start_all([engine])
                probe_s = now_s + LOOK_AGAIN_S
            gevent.sleep(RESUME_POLL_S)
        return True

    def _log(
        self,
        engine: Replica,
        engines: Sequence[Replica],
        outcome: str,
        silent_since_s: float,
        now_s: float,
    ) -> None:
        ages_s = [self._state.silences.age_s(other, now_s) for other in engines]
        heard_s = [age_s for age_s in ages_s if age_s is not None]
        self._state.journal.event(
            "stream_move",
            request_id=self._exchange.metadata.request_id,
            replica=engine.replica_id,
            outcome=outcome,
            silent_ms=int((now_s - silent_since_s) * 1_000),
            engines=len(engines),
            newest_ms=int(min(heard_s) * 1_000) if heard_s else None,
            left_ms=int(self._exchange.event_wait_left_s(now_s) * 1_000),
        )


def _cancel_when_resumed(
    connection: UpstreamConnection, preparation: CancelScope
) -> None:
    """Cancel a preparation as soon as the silent engine writes."""
    while not connection.goes_on:
        gevent.sleep(RESUME_POLL_S)
    preparation.cancel(EngineResumed("engine goes on"))


def _is_resumed(preparation: CancelScope) -> bool:
    return isinstance(preparation.cause, EngineResumed)
