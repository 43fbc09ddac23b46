"""Limits of the claims."""

from dataclasses import dataclass

# Answers longer than a message are never sent to the owner whole.
MAX_ANSWER_BYTES = 64 * 1024


@dataclass(frozen=True)
class ClaimSettings:
    """Hold the limits of the claims.

    The spacings bound the writes: 37 a second for the active span of UUIDv7 keys, and
    40 for all other keys together.
    """

    keep_s: float = 86_400.0
    claim_timeout_s: float = 2.0
    forward_timeout_s: float = 0.75
    finish_timeout_s: float = 2.0
    retry_for_s: float = 600.0
    answer_limit_bytes: int = 4_096
    shard_limit_bytes: int = 900_000
    timed_spacing_s: float = 0.027
    hash_spacing_s: float = 0.1

    def __post_init__(self) -> None:
        for name, value in vars(self).items():
            if value < 0:
                raise ValueError(f"{name} must be at least 0, is {value}")
        if self.answer_limit_bytes > MAX_ANSWER_BYTES:
            raise ValueError(
                f"answer_limit_bytes must be at most {MAX_ANSWER_BYTES}, "
                f"is {self.answer_limit_bytes}"
            )
