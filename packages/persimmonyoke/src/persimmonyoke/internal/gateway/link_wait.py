"""Waiting of streams that have begun while this host reaches no replica."""

import time

import gevent

from persimmonyoke.internal.dispatch.placement import FIRST_EVENT_OVERHEAD_S
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.state import GatewayState

LINK_RETRY_S = 0.1
"""Pause between the attempts of a stream that waits for a replica to be reached."""


class LinkWait:
    """Let one stream wait for a replica if its client holds a part of the answer.

    A refusal would lose that part: a client resumes a stream only a few times, at
    once after it broke off. A request that has not begun is refused instead, as its
    client may return later.
    """

    def __init__(self, state: GatewayState, exchange: Exchange) -> None:
        self._state = state
        self._exchange = exchange
        self._waiting = False

    def pause(self, reason: str) -> bool:
        """Pause before the next attempt; return false if the request is to end."""
        exchange, now_s = self._exchange, time.monotonic()
        left_s = exchange.event_wait_left_s(now_s) - FIRST_EVENT_OVERHEAD_S
        if not exchange.holds_part or left_s <= 0.0:
            return False
        self._log_start(reason, left_s)
        gevent.sleep(min(LINK_RETRY_S, left_s))
        exchange.cancel_scope.raise_if_cancelled()
        return True

    def _log_start(self, reason: str, left_s: float) -> None:
        if self._waiting:
            return
        self._waiting = True
        self._state.journal.event(
            "stream_waits_for_links",
            request_id=self._exchange.metadata.request_id,
            reason=reason,
            links=self._state.links.state,
            begun_here=self._exchange.response_started,
            left_ms=int(left_s * 1_000),
        )
