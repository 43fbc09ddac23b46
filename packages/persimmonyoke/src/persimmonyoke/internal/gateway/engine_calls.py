"""Query the state and cache of engines and send them orders."""

import time

import gevent

from persimmonyoke.internal.fleet.interfaces import (
    EngineReport,
    RawCall,
    StageOrder,
)
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    CompleteResponse,
    NotConnected,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.upstream_call import (
    CallSlot,
    CancelScope,
    UpstreamCaller,
)

CALL_TIMEOUT_S = 0.4
"""Engines respond to reports and orders within a few milliseconds."""

OK = 200


class EngineCalls:
    """Send control calls to engines and log those that get no response."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._caller = UpstreamCaller(state)

    def report(
        self, engine: Replica, *, slot: CallSlot = CallSlot.NEEDED
    ) -> EngineReport | None:
        """Return the state of an engine, or ``None`` without a valid response."""
        wire = self._state.wire
        call = wire.report_call(engine.replica_id)
        response = self._call(engine, call, "report", slot=slot)
        if response is None or response.head.status != OK:
            return None
        return wire.decode_report(response.body)

    def order(self, engine: Replica, order: StageOrder) -> int | None:
        """Send an order; return the status, or ``None`` without a response."""
        call = self._state.wire.order_call(order)
        # The order belongs to the report before it.
        response = self._call(
            engine, call, "order", slot=CallSlot.UNCONDITIONAL, directly=True
        )
        return None if response is None else response.head.status

    def learn_cache(self, engine: Replica) -> None:
        """Ask an engine in the background which prompt parts its cache holds."""
        gevent.spawn(self._learn_cache, engine)

    def _learn_cache(self, engine: Replica) -> None:
        wire = self._state.wire
        response = self._call(engine, wire.cache_call(engine.replica_id), "cache")
        if response is None or response.head.status != OK:
            return
        parts = wire.decode_cache(response.body)
        if parts is None:
            self._state.journal.event("cache_malformed", replica=engine.replica_id)
            return
        self._state.note_cached(engine, parts, now_s=time.monotonic())
        self._state.journal.event(
            "cache_learnt", replica=engine.replica_id, parts=len(parts)
        )

    def _call(
        self,
        engine: Replica,
        call: RawCall,
        name: str,
        *,
        slot: CallSlot = CallSlot.NEEDED,
        directly: bool = False,
    ) -> CompleteResponse | None:
        deadline_s = time.monotonic() + CALL_TIMEOUT_S
        cancel_scope = CancelScope()
        try:
            opened = self._caller.start(
                engine,
                call,
                cancel_scope,
                request_id="",
                deadline_s=deadline_s,
                slot=slot,
                directly=directly,
            )
            body = self._caller.read_body(opened, cancel_scope, deadline_s=deadline_s)
        except (NotConnected, AnswerLost) as error:
            self._state.journal.failure(
                f"{name}_without_answer", error, replica=engine.replica_id
            )
            return None
        return CompleteResponse(opened.head, body)
