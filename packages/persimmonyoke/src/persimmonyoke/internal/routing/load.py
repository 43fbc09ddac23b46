"""Interfaces for the load estimates that routing uses."""

from typing import Protocol


class LoadEstimate(Protocol):
    """Describe the estimated load of one upstream.

    ``age_s`` is the age of the last report, infinite if there was none. A rate of zero
    means that it is unknown.
    """

    @property
    def queued_prefill_tokens(self) -> float:
        """Return the number of prompt tokens queued for prefill."""

    @property
    def running_sequences(self) -> float:
        """Return the number of sequences that run or wait for a decode slot."""

    @property
    def age_s(self) -> float:
        """Return the age of the last report."""

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the prefill rate of the whole engine."""

    @property
    def decode_tokens_per_s(self) -> float:
        """Return the decode rate of the whole engine at full occupancy."""

    @property
    def max_sequences(self) -> int:
        """Return the number of decode slots."""


class LoadSource(Protocol):
    """Estimate the load of upstreams."""

    def estimate(self, engine_name: str, now_s: float) -> LoadEstimate | None:
        """Return the estimate for one upstream, ``None`` if it is unknown."""
