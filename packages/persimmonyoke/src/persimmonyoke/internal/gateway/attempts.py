"""Record the attempts of a request for its log line."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AttemptStart:
    """Represent an attempt when its replica has been chosen."""

    stage: str
    replica: str
    started_s: float
    view_age_s: float


@dataclass(frozen=True)
class Attempt:
    """Represent a finished attempt."""

    stage: str
    replica: str
    result: str
    ms: int
    view_age_ms: int

    def __str__(self) -> str:
        fields = (self.stage, self.replica, self.result, self.ms, self.view_age_ms)
        return ":".join(map(str, fields))


def end_attempt(start: AttemptStart, result: str, *, now_s: float) -> Attempt:
    """Return the finished attempt with its result."""
    return Attempt(
        stage=start.stage,
        replica=start.replica,
        result=result,
        ms=int((now_s - start.started_s) * 1_000),
        view_age_ms=int(start.view_age_s * 1_000),
    )
