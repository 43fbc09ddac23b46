"""What routing has to know of an upstream's load."""

from typing import Protocol


class LoadEstimate(Protocol):
    """Describe the load of one upstream as far as this host knows it.

    ``age_s`` is the age of the last report, infinite if there was none. Rates of zero
    mean that they are unknown.
    """

    @property
    def queued_prefill_tokens(self) -> float:
        """Return the prompt tokens that wait for prefill."""

    @property
    def running_sequences(self) -> float:
        """Return the sequences that run or wait for a decode slot."""

    @property
    def age_s(self) -> float:
        """Return the age of the last report."""

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the prefill rate of the whole engine."""

    @property
    def decode_tokens_per_s(self) -> float:
        """Return the decode rate of the whole engine with all slots in use."""

    @property
    def max_sequences(self) -> int:
        """Return the number of decode slots."""


class LoadSource(Protocol):
    """Estimate the load of upstreams; ``None`` stands for an unknown upstream."""

    def estimate(self, engine_name: str, now_s: float) -> LoadEstimate | None:
        """Return the estimate for one upstream."""
