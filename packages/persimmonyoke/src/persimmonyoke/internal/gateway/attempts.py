"""Sends of one request to replicas, as its log line tells them."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AttemptStart:
    """Hold what is known when a replica has been chosen for a send."""

    stage: str
    replica: str
    started_s: float
    view_age_s: float


@dataclass(frozen=True)
class Attempt:
    """Hold one send whose result is known."""

    stage: str
    replica: str
    result: str
    ms: int
    view_age_ms: int

    def __str__(self) -> str:
        fields = (self.stage, self.replica, self.result, self.ms, self.view_age_ms)
        return ":".join(map(str, fields))


def end_attempt(start: AttemptStart, result: str, *, now_s: float) -> Attempt:
    """Return the send with its result."""
    return Attempt(
        stage=start.stage,
        replica=start.replica,
        result=result,
        ms=int((now_s - start.started_s) * 1_000),
        view_age_ms=int(start.view_age_s * 1_000),
    )
