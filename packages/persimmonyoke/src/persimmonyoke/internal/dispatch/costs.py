"""Cost model for prefill and KV cache transfer on an engine."""

from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import EngineLimits


@dataclass(frozen=True)
class EngineSpeed:
    """Hold the speed parameters of one type of engine.

    The defaults describe the engines on the deployment sheets: 51.1 prompt tokens per
    millisecond, steps of 5.09 ms and chunks of 2,048 tokens.
    """

    prefill_tokens_per_s: float = 51_100.0
    attention_s_per_token_pair: float = 0.323e-9
    step_s: float = 0.00509
    step_s_per_running: float = 0.0000303
    chunk_tokens: int = 2_048
    transfer_setup_s: float = 0.0053
    decode_prefill_factor: float = 0.5
    decode_chunk_tokens: int = 512


DEFAULT_SPEED = EngineSpeed()


def prefill_s(new_tokens: int, cached_tokens: int, speed: EngineSpeed) -> float:
    """Return the time that a prefill engine needs for tokens after a cached prefix."""
    if new_tokens <= 0:
        return speed.step_s
    pairs = new_tokens * (cached_tokens + new_tokens / 2)
    chunks = -(-new_tokens // speed.chunk_tokens)
    return (
        new_tokens / speed.prefill_tokens_per_s
        + pairs * speed.attention_s_per_token_pair
        + chunks * speed.step_s
    )


def local_prefill_s(new_tokens: int, cached_tokens: int, speed: EngineSpeed) -> float:
    """Return the prefill time on a decode engine, interleaved with its decode steps."""
    chunks = -(-max(1, new_tokens) // speed.decode_chunk_tokens)
    pairs = new_tokens * (cached_tokens + new_tokens / 2)
    return (
        new_tokens / (speed.prefill_tokens_per_s * speed.decode_prefill_factor)
        + pairs * speed.attention_s_per_token_pair
        + chunks * speed.step_s
    )


def transfer_s(
    tokens: int, limits: EngineLimits, *, same_zone: bool, speed: EngineSpeed
) -> float:
    """Return the time to transfer the KV cache of tokens between two engines."""
    if tokens <= 0:
        return 0.0
    seconds = tokens * limits.kv_token_bytes / limits.link_bytes_per_s
    return speed.transfer_setup_s + (seconds if same_zone else 2 * seconds)
