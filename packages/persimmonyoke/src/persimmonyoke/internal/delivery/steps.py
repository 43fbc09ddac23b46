"""Describe the attempts of a generation and their failures."""

from dataclasses import dataclass

from persimmonyoke.internal.delivery.api import RouteChoice
from persimmonyoke.internal.upstreams.api import Upstream


@dataclass(frozen=True)
class AttemptPlan:
    """Describe the next attempt; ``resumes`` counts those on the same engine."""

    choice: RouteChoice
    resume_stream: str | None = None
    resumes: int = 0

    @property
    def engine(self) -> Upstream:
        return self.choice.engine


class AttemptFailed(Exception):
    """Report why an attempt ended before the answer was complete."""

    def __init__(
        self,
        reason: str,
        engine: Upstream,
        *,
        sent: bool = True,
        refused: bool = False,
        ended_by_engine: bool = False,
    ) -> None:
        super().__init__(reason)
        self.engine = engine
        self.not_run = refused or not sent
        self.ended_by_engine = ended_by_engine
