"""Predict the goodput of a pool for a split into roles."""

from dataclasses import dataclass

from persimmonyoke.internal.presets.model import Deadlines
from persimmonyoke.internal.roles.split import Split

# Ratio of the 95th percentile of the wait to its mean, about three. Prefill runs in
# order, so the wait grows with 1 / (1 - utilisation).
TAIL_OVER_MEAN = 3.0
MIN_PREFILL_UTILISATION = 0.3
MAX_PREFILL_UTILISATION = 0.97
BISECTIONS = 12


@dataclass(frozen=True)
class EngineRates:
    """Describe one engine of a pool.

    ``mixed_interference`` is the share of an engine's capacity that is lost when it
    spends half of its time on each phase. ``change_s`` is the time for which a role
    change makes an engine unavailable after its drain, and ``sequence_s`` the mean
    duration of a sequence's decode, which bounds the drain.
    """

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    mixed_interference: float = 0.3
    change_s: float = 5.0
    sequence_s: float = 4.0
    prompt_tokens: float = 2_000.0

    def __post_init__(self) -> None:
        for name in ("prefill_tokens_per_s", "decode_tokens_per_s"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be positive, not {getattr(self, name)}")


@dataclass(frozen=True)
class OfferedWork:
    """Hold offered work as the number of engines it would keep fully busy."""

    prefill_engines: float
    decode_engines: float

    @property
    def engines(self) -> float:
        """Return the work of both phases."""
        return self.prefill_engines + self.decode_engines

    @property
    def prefill_share(self) -> float:
        """Return the share of prefill, or one half if there is no work."""
        return self.prefill_engines / self.engines if self.engines > 0 else 0.5

    @classmethod
    def from_share(cls, engines: float, prefill_share: float) -> "OfferedWork":
        """Return work of a given size and prefill share."""
        return cls(engines * prefill_share, engines * (1 - prefill_share))


class GoodputModel:
    """Predict the share of the offered work that meets its deadlines.

    The rest is refused at admission, so an overload lowers the share and does not
    raise the latency of admitted requests.
    """

    def __init__(self, rates: EngineRates, deadlines: Deadlines) -> None:
        self.rates = rates
        self._max_prefill_utilisation = self._prefill_utilisation_limit(deadlines)

    def served_share(self, split: Split, work: OfferedWork) -> float:
        """Return the largest share of the work that the split can serve."""
        if work.engines <= 0:
            return 1.0
        if not split.covers_both_phases:
            return 0.0
        if self._fits(split, work, 1.0):
            return 1.0
        low, high = 0.0, 1.0
        for _ in range(BISECTIONS):
            middle = (low + high) / 2
            if self._fits(split, work, middle):
                low = middle
            else:
                high = middle
        return low

    def goodput_engines(self, split: Split, work: OfferedWork) -> float:
        """Return the goodput in units of fully utilised engines."""
        return self.served_share(split, work) * work.engines

    def _fits(self, split: Split, work: OfferedWork, share: float) -> bool:
        """Return whether mixed engines can serve the work beyond the other engines."""
        prefill = work.prefill_engines * share / self._max_prefill_utilisation
        decode = work.decode_engines * share
        prefill_left = max(0.0, prefill - split.prefill)
        decode_left = max(0.0, decode - split.decode)
        left = prefill_left + decode_left
        if left <= 0:
            return True
        balance = min(prefill_left, decode_left) / left
        lost_share = 2 * balance * self.rates.mixed_interference
        return left <= split.mixed * (1 - lost_share)

    def _prefill_utilisation_limit(self, deadlines: Deadlines) -> float:
        """Return the utilisation at which the tail meets the first-token deadline."""
        service_s = self.rates.prompt_tokens / self.rates.prefill_tokens_per_s
        spare_s = max(0.0, deadlines.first_token_s - service_s)
        # Mean wait with constant service time (M/D/1): service x u / (2 (1 - u)).
        ratio = 2 * spare_s / (TAIL_OVER_MEAN * service_s)
        return min(
            MAX_PREFILL_UTILISATION, max(MIN_PREFILL_UTILISATION, ratio / (1 + ratio))
        )
