"""Probes that tell an engine that is silent from a stream that is lost."""

import time
from collections.abc import Sequence

import gevent

from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.connections import AnswerLost, NotConnected
from persimmonyoke.internal.gateway.engine_calls import CALL_TIMEOUT_S
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.upstream_call import CancelScope, UpstreamCaller


class EngineProbes:
    """Ask engines for their state while streams wait for them.

    A silent process leaves its connections open, and the kernel accepts more for it,
    so only an answer shows that the engine works.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._caller = UpstreamCaller(state)
        self._probed: set[str] = set()

    def start_all(self, engines: Sequence[Replica]) -> None:
        """Ask engines in the background, except those that are being asked."""
        for engine in engines:
            if engine.replica_id not in self._probed:
                self._probed.add(engine.replica_id)
                gevent.spawn(self._probe, engine)

    def _probe(self, engine: Replica) -> None:
        try:
            self._ask(engine)
        except (NotConnected, AnswerLost) as error:
            self._state.journal.failure(
                "engine_silent", error, replica=engine.replica_id
            )
        finally:
            self._probed.discard(engine.replica_id)

    def _ask(self, engine: Replica) -> None:
        scope = CancelScope()
        # Idle connections may have been cut together with that of the stream.
        scope.connection_ended = True
        opened = self._caller.start(
            engine,
            self._state.wire.report_call(engine.replica_id),
            scope,
            request_id="",
            deadline_s=time.monotonic() + CALL_TIMEOUT_S,
        )
        self._caller.abandon(opened, scope)
