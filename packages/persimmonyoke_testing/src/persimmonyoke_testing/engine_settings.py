"""Timing, limits and injected faults of the simulated engine."""

from dataclasses import dataclass, field

from persimmonyoke.internal.upstreams.api import Role


@dataclass(frozen=True)
class EngineTiming:
    """Set the speed of an engine; ``time_scale`` multiplies every duration.

    The defaults give 2,800 tokens/s at a full batch of 64 and 23 ms between tokens,
    which a prefill chunk of 200 tokens extends to 33 ms.
    """

    prefill_tokens_per_s: float = 20_000.0
    prefill_chunk_tokens: int = 200
    decode_base_s: float = 0.010
    decode_per_sequence_s: float = 0.0002
    role_change_s: float = 5.0
    load_model_s: float = 3.0
    load_adapter_s: float = 0.5
    load_lag_s: float = 0.5
    load_interval_s: float = 0.1
    cache_event_delay_s: float = 0.5
    finished_keep_s: float = 60.0
    orphan_keep_s: float = 30.0
    time_scale: float = 1.0

    def step_s(self, prefill_tokens: int, sequences: int) -> float:
        """Return the duration of one step, in scaled seconds."""
        duration_s = prefill_tokens / self.prefill_tokens_per_s
        if sequences:
            duration_s += self.decode_base_s + self.decode_per_sequence_s * sequences
        return duration_s * self.time_scale

    def scaled(self, duration_s: float) -> float:
        """Return a duration multiplied by the time scale."""
        return duration_s * self.time_scale

    def prefill_rate(self) -> float:
        """Return the prefill rate that clients observe, in tokens/s."""
        return self.prefill_tokens_per_s / self.time_scale

    def decode_rate(self, sequences: int) -> float:
        """Return the decode rate that clients observe at a batch size, in tokens/s."""
        return sequences / self.step_s(0, sequences)


@dataclass(frozen=True)
class EngineSettings:
    """Describe one simulated engine."""

    name: str = "engine-0"
    pool: str = "llm-pool"
    availability_zone: str = "zone-a"
    region: str = "region-a"
    role: Role = Role.MIXED
    models: tuple[str, ...] = ("base-model",)
    version: str = "1"
    checks_fencing: bool = True
    # Resets the fencing number on a restart. By default it persists, since an engine
    # that refuses stale numbers has to remember the highest one.
    forgets_fencing: bool = False
    max_sequences: int = 64
    max_queued: int = 512
    tokens_per_event: int = 1
    cache_pieces: int = 256
    cache_event_loss: float = 0.0
    cache_log_events: int = 10_000
    kv_entries: int = 256
    kv_bytes_per_token: int = 4
    finished_streams: int = 1_024
    seed: int = 1
    timing: EngineTiming = field(default_factory=EngineTiming)


@dataclass
class EngineFaults:
    """Hold the faults that a test can inject while the engine runs."""

    refuse: bool = False
    """Answer new generations with 503 without running them."""
    refuse_orders: bool = False
    """Answer orders with 409 without accepting them."""
    slow_factor: float = 1.0
    """Multiply the duration of each step."""
    crash_marker: str | None = None
    """Crash as soon as a prompt that contains this text has been prefilled."""
    restart_after_s: float | None = None
    """Restart this many scaled seconds after a crash; ``None`` disables the restart."""
    crash_in_role_change: bool = False
    """Crash halfway through the next role change."""
    crossed_events: int = 0
    """Send this many of the next events with the ids of another request."""
    lose_order_answers: int = 0
    """Close the connection of this many accepted orders instead of answering."""
    reset_generates: int = 0
    """Reset the connection of this many generations after reading the request."""
    cut_streams_after: int | None = None
    """Close each newly opened stream after this many events; generation continues."""
