"""Settings and limits of claims."""

from dataclasses import dataclass

# Bounds ``answer_limit_bytes``, so that each stored answer fits into a message to the
# owner.
MAX_ANSWER_BYTES = 64 * 1024


@dataclass(frozen=True)
class ClaimSettings:
    """Hold the settings of claims.

    The spacings bound the write rate: 37 writes/s for the active time slot of UUIDv7
    keys, and 40 writes/s for all other keys together.
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


@dataclass(frozen=True)
class WriterLimits:
    """Bound a shard's document and the rate of its commits.

    ``spacing_s`` is the minimum time between the starts of two commits; an idle shard
    commits at once. ``keep_s`` is ``None`` for shards that are deleted as a whole.
    """

    spacing_s: float
    limit_bytes: int
    answer_limit_bytes: int
    keep_s: float | None
    max_pending: int = 10_000


def writer_limits(settings: ClaimSettings, *, timed: bool) -> WriterLimits:
    """Return the limits of a shard, by whether its keys carry a timestamp."""
    return WriterLimits(
        spacing_s=settings.timed_spacing_s if timed else settings.hash_spacing_s,
        limit_bytes=settings.shard_limit_bytes,
        answer_limit_bytes=settings.answer_limit_bytes,
        keep_s=None if timed else settings.keep_s,
    )
