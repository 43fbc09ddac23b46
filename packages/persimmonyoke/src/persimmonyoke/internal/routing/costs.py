"""Cost model for routing scores, in seconds."""

from dataclasses import dataclass

from persimmonyoke.internal.routing.load import LoadEstimate
from persimmonyoke.internal.upstreams.api import Upstream

# Used for an engine that has never reported, so a wrong value only matters until its
# first report. Typical of a replica with eight accelerators.
FALLBACK_PREFILL_TOKENS_PER_S = 8_000.0
FALLBACK_DECODE_TOKENS_PER_S = 1_600.0
FALLBACK_MAX_SEQUENCES = 32


@dataclass(frozen=True)
class TransferCosts:
    """Hold the transfer costs of KV caches and requests by distance.

    The seconds per token result from about 200 KB of KV cache per token at 25, 12 and
    1 GB/s.
    """

    same_zone_s_per_token: float = 8e-6
    cross_zone_s_per_token: float = 1.7e-5
    cross_region_s_per_token: float = 2e-4
    cross_zone_latency_s: float = 0.001
    cross_region_latency_s: float = 0.03

    def kv_transfer_s(self, source: Upstream, target: Upstream, tokens: int) -> float:
        """Return the time to transfer the KV cache of a prompt between engines."""
        if source.region != target.region:
            return self.cross_region_latency_s + tokens * self.cross_region_s_per_token
        if source.availability_zone != target.availability_zone:
            return self.cross_zone_latency_s + tokens * self.cross_zone_s_per_token
        return tokens * self.same_zone_s_per_token

    def request_latency_s(self, zone: str, region: str, target: Upstream) -> float:
        """Return the added latency of a request from a host to an engine."""
        if region and target.region and region != target.region:
            return self.cross_region_latency_s
        if zone and zone != target.availability_zone:
            return self.cross_zone_latency_s
        return 0.0


DEFAULT_TRANSFER_COSTS = TransferCosts()


@dataclass(frozen=True)
class EngineLoad:
    """Hold the load of one engine in the units of the cost model."""

    prefill_wait_s: float
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    running_sequences: float
    max_sequences: int

    @property
    def occupancy(self) -> float:
        """Return the share of decode slots in use."""
        return min(1.0, self.running_sequences / self.max_sequences)

    def decode_wait_s(self, output_tokens: int) -> float:
        """Return the wait for a decode slot plus a cost for the slots in use.

        Each sequence beyond the number of slots waits until another one ends. Occupancy
        counts as a share of that time, so that decode work is spread before engines
        are full.
        """
        slot_release_s = output_tokens / self.decode_tokens_per_s
        excess = max(0.0, self.running_sequences + 1 - self.max_sequences)
        return slot_release_s * (excess + self.occupancy)


def engine_load(estimate: LoadEstimate | None) -> EngineLoad:
    """Convert an estimate, with fallback values for unknown rates."""
    if estimate is None:
        return EngineLoad(
            0.0,
            FALLBACK_PREFILL_TOKENS_PER_S,
            FALLBACK_DECODE_TOKENS_PER_S,
            0.0,
            FALLBACK_MAX_SEQUENCES,
        )
    prefill_rate = estimate.prefill_tokens_per_s or FALLBACK_PREFILL_TOKENS_PER_S
    return EngineLoad(
        prefill_wait_s=max(0.0, estimate.queued_prefill_tokens) / prefill_rate,
        prefill_tokens_per_s=prefill_rate,
        decode_tokens_per_s=(
            estimate.decode_tokens_per_s or FALLBACK_DECODE_TOKENS_PER_S
        ),
        running_sequences=max(0.0, estimate.running_sequences),
        max_sequences=estimate.max_sequences or FALLBACK_MAX_SEQUENCES,
    )
