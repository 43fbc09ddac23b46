"""Authority of one host over the stages of the engines.

The store shows one holder by a key under a lease. Engines may not check fencing
numbers, and the key may vanish while its holder does not know it, so a new holder waits
until the former one has stopped by itself and a full lease has passed after that.
"""

from dataclasses import dataclass
from enum import StrEnum

from persimmonyoke.internal.fleet.interfaces import TermRecord

USABLE_SHARE = 0.5
"""Share of the lease after a renewal in which orders may be sent."""

TAKEOVER_SLACK_S = 0.6
"""Bound of the time between sending an order and its arrival at the engine."""


class TermState(StrEnum):
    """Name how far a host has got with becoming the holder."""

    NONE = "none"
    WAITING = "waiting"
    ACTIVE = "active"


@dataclass(frozen=True)
class ClockReading:
    """Hold both clocks; only ``boot_s`` counts time in which the host was suspended."""

    steady_s: float
    boot_s: float


class OrderTerm:
    """Decide when this host may send orders."""

    def __init__(self, holder: str, *, lease_s: float) -> None:
        self._holder = holder
        self._lease_s = lease_s
        self.state = TermState.NONE
        self.fencing_number = 0
        self.lease_id = 0
        self._renewed: ClockReading | None = None
        self._may_start_s = float("inf")

    def acquired(
        self,
        *,
        fencing_number: int,
        lease_id: int,
        last: TermRecord | None,
        sent: ClockReading,
        now_s: float,
    ) -> None:
        """Note that the store accepted this host as the holder."""
        self.state = TermState.WAITING
        self.fencing_number = fencing_number
        self.lease_id = lease_id
        self._renewed = sent
        alone = last is None or last.holder == self._holder
        self._may_start_s = now_s if alone else now_s + self.takeover_wait_s

    @property
    def takeover_wait_s(self) -> float:
        """Return how long a new holder waits for the orders of another one."""
        return self._lease_s * (1 + USABLE_SHARE) + TAKEOVER_SLACK_S

    def may_activate(self, now_s: float) -> bool:
        """Return whether the wait for the former holder has ended."""
        return self.state is TermState.WAITING and now_s >= self._may_start_s

    def activate(self) -> None:
        """Note that the store records this host as the sender of orders."""
        self.state = TermState.ACTIVE

    def renewed(self, sent: ClockReading) -> None:
        """Note a renewal by the clocks before it was sent."""
        self._renewed = sent

    def lost(self) -> None:
        """Give up authority."""
        self.state = TermState.NONE
        self._renewed = None
        self._may_start_s = float("inf")

    def may_order(self, clocks: ClockReading) -> bool:
        """Return whether an order may be sent now."""
        return self.state is TermState.ACTIVE and self._fresh(clocks)

    def lapsed(self, clocks: ClockReading) -> bool:
        """Return whether a held term is so old that another host may have taken it."""
        if self.state is TermState.NONE or self._renewed is None:
            return False
        return self._age_s(clocks) > self._lease_s

    def _fresh(self, clocks: ClockReading) -> bool:
        return self._age_s(clocks) < self._lease_s * USABLE_SHARE

    def _age_s(self, clocks: ClockReading) -> float:
        if self._renewed is None:
            return float("inf")
        return max(
            clocks.steady_s - self._renewed.steady_s,
            clocks.boot_s - self._renewed.boot_s,
        )
