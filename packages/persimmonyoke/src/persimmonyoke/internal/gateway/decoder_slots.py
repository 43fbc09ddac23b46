"""Slots of decode engines that limit their requests."""

import time
from collections.abc import Callable
from typing import NoReturn

import gevent

from persimmonyoke.internal.dispatch.limits import Slot
from persimmonyoke.internal.fleet.model import Replica, Stage
from persimmonyoke.internal.gateway.engine_candidates import EngineCandidates
from persimmonyoke.internal.gateway.exchange import RETRY_AFTER_REJECTED_S, Exchange
from persimmonyoke.internal.gateway.state import GatewayState

SLOT_POLL_S = 0.02
"""Interval at which a request that waits for a slot looks whether it is cancelled."""

DECODERS_LIMITED = "decode engines limit their requests"


class DecoderSlots:
    """Hold the slot of one request while all decode engines limit their requests.

    ``refuse`` raises the error for a request that is given up, with the time after
    which its client may come back.
    """

    def __init__(
        self,
        state: GatewayState,
        exchange: Exchange,
        candidates: EngineCandidates,
        refuse: Callable[[str, float], NoReturn],
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._candidates = candidates
        self._refuse = refuse
        self._slot: Slot | None = None

    @property
    def held(self) -> bool:
        """Return whether a slot is held."""
        return self._slot is not None

    def give_back(self) -> None:
        """Give back the slot that is held, if there is one."""
        slot, self._slot = self._slot, None
        if slot is not None:
            self._state.replica_limits.give_back(slot)

    def take_before_prefill(self) -> None:
        """Take a slot if all decode engines have limits, so that no prefill is wasted.

        Refuse the request if the next slot would miss its target.
        """
        if not any(
            engine.stage is Stage.PREFILL for engine in self._candidates.engines()
        ):
            return
        exchange, now_s = self._exchange, time.monotonic()
        patience_s = exchange.started_s + exchange.route.target_latency_s - now_s
        if exchange.response_started:
            patience_s = exchange.event_wait_left_s(now_s)
        self._take(patience_s)

    def wait(self) -> Replica | None:
        """Wait for the slot of a decode engine; ``None`` if none is needed."""
        exchange = self._exchange
        self._take(exchange.event_wait_left_s(time.monotonic()))
        slot = self._slot
        if slot is None:
            return None
        self._await(slot)
        self._slot = None
        for engine in self._candidates.reachable_decoders():
            if engine.replica_id == slot.replica_id:
                exchange.slot_at = slot.replica_id
                return engine
        return None

    def _await(self, slot: Slot) -> None:
        """Wait for a slot; give it back if the request is cancelled meanwhile."""
        scope = self._exchange.cancel_scope
        try:
            while (left_s := slot.at_s - time.monotonic()) > 0.0:
                gevent.sleep(min(SLOT_POLL_S, left_s))
                scope.raise_if_cancelled()
            scope.raise_if_cancelled()
        except BaseException:
            self.give_back()
            raise

    def _take(self, patience_s: float) -> None:
        """Take the next slot of the decode engines if all of them have limits."""
        limits = self._state.replica_limits
        decoders = self._candidates.reachable_decoders()
        if self._slot is not None or not decoders:
            return
        if not all(limits.is_limited(engine.replica_id) for engine in decoders):
            return
        self._slot = limits.reserve(
            [engine.replica_id for engine in decoders],
            now_s=time.monotonic(),
            patience_s=patience_s,
        )
        if self._slot is None:
            service = self._exchange.service.name
            retry_after_s = self._state.retry_after_s(service, decoders)
            self._refuse(DECODERS_LIMITED, retry_after_s or RETRY_AFTER_REJECTED_S)
