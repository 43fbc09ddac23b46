"""Share of a host's link that its datagrams to peers may take."""

BYTES_PER_MBIT = 125_000

LINK_SHARE = 0.4
"""Share of the link; requests, answers, tunnels and store calls need the rest.

Beyond the capacity of a link, calls wait behind datagrams until they time out.
"""

BURST_S = 0.2
"""Time for which unused bytes are kept."""


class SendBudget:
    """Count the bytes of datagrams with a token bucket, which may go into debt.

    Without a known capacity of the link nothing is limited.
    """

    def __init__(self, link_mbit_per_s: float) -> None:
        self._bytes_per_s = LINK_SHARE * BYTES_PER_MBIT * link_mbit_per_s
        self._room_bytes = BURST_S * self._bytes_per_s
        self._updated_s: float | None = None

    def room_bytes(self, now_s: float) -> float:
        """Return how many bytes may be sent now; negative in debt."""
        if self._bytes_per_s <= 0.0:
            return float("inf")
        self._refill(now_s)
        return self._room_bytes

    def take(self, size_bytes: int, now_s: float) -> None:
        """Count bytes that are sent now."""
        self._refill(now_s)
        self._room_bytes -= size_bytes

    def wait_s(self, now_s: float) -> float:
        """Return the time until bytes may be sent that can wait."""
        room_bytes = self.room_bytes(now_s)
        return 0.0 if room_bytes > 0.0 else -room_bytes / self._bytes_per_s

    def _refill(self, now_s: float) -> None:
        if self._updated_s is not None:
            refilled = (now_s - self._updated_s) * self._bytes_per_s
            limit = BURST_S * self._bytes_per_s
            self._room_bytes = min(limit, self._room_bytes + refilled)
        self._updated_s = now_s
