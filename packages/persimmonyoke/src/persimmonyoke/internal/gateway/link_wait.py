"""Waiting of streams that have begun while this host reaches no replica."""

import time

import gevent

from persimmonyoke.internal.dispatch.placement import FIRST_EVENT_OVERHEAD_S
from persimmonyoke.internal.fleet.replica_links import LinkState
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.state import GatewayState

LINK_RETRY_S = 0.1
"""Least pause before the next attempt of a stream after no replica was reached."""

LINK_POLL_S = 0.03
"""Interval at which a waiting stream looks whether a replica has been reached."""


class LinkWait:
    """Let one stream wait for a replica if its client holds a part of the answer.

    A refusal would lose that part: a client resumes a stream only a few times, at
    once after it broke off. A request that has not begun is refused instead, as its
    client may return later.
    """

    def __init__(self, state: GatewayState, exchange: Exchange) -> None:
        self._state = state
        self._exchange = exchange
        self._logged = False

    def pause(self, reason: str) -> bool:
        """Wait for the next attempt; return false if the request is to end.

        While no replica is reached there are no attempts, as the probes of the links
        tell when one is.
        """
        left_s = self._left_s()
        if not self._exchange.holds_part or left_s <= 0.0:
            return False
        self._log_start(reason, left_s)
        self._sleep(min(LINK_RETRY_S, left_s))
        while self._state.links.state is LinkState.UNCONFIRMED:
            if self._left_s() <= 0.0:
                return False
            self._sleep(LINK_POLL_S)
        return True

    def _left_s(self) -> float:
        wait_left_s = self._exchange.event_wait_left_s(time.monotonic())
        return wait_left_s - FIRST_EVENT_OVERHEAD_S

    def _sleep(self, duration_s: float) -> None:
        gevent.sleep(duration_s)
        self._exchange.cancel_scope.raise_if_cancelled()

    def _log_start(self, reason: str, left_s: float) -> None:
        if self._logged:
            return
        self._logged = True
        self._state.journal.event(
            "stream_waits_for_links",
            request_id=self._exchange.metadata.request_id,
            reason=reason,
            links=self._state.links.state,
            begun_here=self._exchange.response_started,
            left_ms=int(left_s * 1_000),
        )
