"""Estimate moving averages of the offered work and the duration of its mix."""

from dataclasses import dataclass
from math import exp

from persimmonyoke.internal.roles.goodput import EngineRates, OfferedWork

# Changes of the mix are detected on the shortest average. A noisy share there, as with
# few requests, shortens the expected duration, which makes the policy more cautious.
INSTANT_S = 1.0
FAST_S = 8.0
SLOW_S = 300.0
AVERAGE_TIMES_S = (INSTANT_S, FAST_S, SLOW_S)
# The long-run mix is a histogram of the prefill share with this many bands, because the
# mean alone would hide that a pool alternates between two mixes.
BANDS = 10
# A mix counts as changed once its prefill share has moved by about one engine of six.
MIX_CHANGE_THRESHOLD = 0.12
INITIAL_DURATION_S = 60.0
DURATION_WEIGHT = 0.3
MIN_DURATION_S = 2.0
MAX_DURATION_S = 600.0


@dataclass(frozen=True)
class MixEstimate:
    """Hold the current work, the long-run work and the expected duration of the mix.

    ``band_weights`` are the shares of recent time that the prefill share spent in each
    band of equal width between 0 and 1.
    """

    fast: OfferedWork
    slow: OfferedWork
    expected_duration_s: float
    band_weights: tuple[float, ...]

    def long_run(self) -> list[tuple[float, OfferedWork]]:
        """Return the long-run mixes and their weights at the current amount of work."""
        return [
            (weight, OfferedWork.from_share(self.fast.engines, (band + 0.5) / BANDS))
            for band, weight in enumerate(self.band_weights)
            if weight > 0.01
        ]


class DecayedRate:
    """Average tokens per second with exponentially decaying weights."""

    def __init__(self, time_s: float) -> None:
        self._time_s = time_s
        self._weighted_tokens = 0.0

    def advance(self, elapsed_s: float) -> None:
        """Decay the weights."""
        self._weighted_tokens *= exp(-elapsed_s / self._time_s)

    def add(self, tokens: float) -> None:
        """Add tokens at the current time."""
        self._weighted_tokens += tokens

    def per_s(self, observed_s: float) -> float:
        """Return the rate, corrected for the short observation time after the start."""
        covered_s = self._time_s * (1 - exp(-max(observed_s, 1.0) / self._time_s))
        return self._weighted_tokens / covered_s


class MixEstimator:
    """Estimate the mix of a pool from the tokens offered to it, in constant memory."""

    def __init__(self, rates: EngineRates) -> None:
        self._rates = rates
        self._prefill = tuple(DecayedRate(time_s) for time_s in AVERAGE_TIMES_S)
        self._decode = tuple(DecayedRate(time_s) for time_s in AVERAGE_TIMES_S)
        self._bands = [0.0] * BANDS
        self._start_s: float | None = None
        self._now_s = 0.0
        self._reference_share = 0.5
        self._reference_s = 0.0
        self._duration_s = INITIAL_DURATION_S

    def set_rates(self, rates: EngineRates) -> None:
        """Replace the rates that weight tokens; recorded tokens are kept."""
        self._rates = rates

    def note(
        self, prefill_tokens: float, decode_tokens: float, *, now_s: float
    ) -> None:
        """Record work that was offered, whether or not it was admitted."""
        self._advance(now_s)
        for rate in self._prefill:
            rate.add(prefill_tokens)
        for rate in self._decode:
            rate.add(decode_tokens)

    def estimate(self, now_s: float) -> MixEstimate:
        """Return the estimate; a clock that does not advance changes nothing."""
        self._advance(now_s)
        total = sum(self._bands)
        fast, slow = self._work(1), self._work(2)
        if total > 0:
            weights = tuple(weight / total for weight in self._bands)
        else:
            weights = tuple(float(b == _band(fast)) for b in range(BANDS))
        return MixEstimate(fast, slow, self._expected_duration_s(), weights)

    def _advance(self, now_s: float) -> None:
        if self._start_s is None:
            self._start_s = self._now_s = self._reference_s = now_s
        elapsed_s = now_s - self._now_s
        if elapsed_s <= 0:
            return
        self._now_s = now_s
        for rate in (*self._prefill, *self._decode):
            rate.advance(elapsed_s)
        instant = self._work(0)
        if instant.engines > 0 and now_s - self._start_s >= INSTANT_S:
            self._note_share(instant, elapsed_s)

    def _note_share(self, instant: OfferedWork, elapsed_s: float) -> None:
        keep = exp(-elapsed_s / SLOW_S)
        self._bands = [weight * keep for weight in self._bands]
        self._bands[_band(instant)] += 1 - keep
        if abs(instant.prefill_share - self._reference_share) < MIX_CHANGE_THRESHOLD:
            return
        lasted_s = self._now_s - self._reference_s
        self._duration_s += DURATION_WEIGHT * (lasted_s - self._duration_s)
        self._reference_share = instant.prefill_share
        self._reference_s = self._now_s

    def _expected_duration_s(self) -> float:
        """Return the expected remaining duration of the mix.

        A mix that has outlasted the mean is expected to last about as long again.
        """
        lasted_s = self._now_s - self._reference_s
        expected_s = max(self._duration_s, lasted_s)
        return min(MAX_DURATION_S, max(MIN_DURATION_S, expected_s))

    def _work(self, index: int) -> OfferedWork:
        observed_s = self._now_s - (self._start_s or 0.0)
        prefill = self._prefill[index].per_s(observed_s)
        decode = self._decode[index].per_s(observed_s)
        return OfferedWork(
            prefill / self._rates.prefill_tokens_per_s,
            decode / self._rates.decode_tokens_per_s,
        )


def _band(work: OfferedWork) -> int:
    return min(BANDS - 1, int(work.prefill_share * BANDS))
