"""Answers that were lost after a request had been sent to a replica."""

from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.attempts import AttemptStart
from persimmonyoke.internal.gateway.connections import AnswerLost
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.state import GatewayState


class CrashWatch:
    """Note which requests were running when an answer was lost."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def note_lost(
        self,
        exchange: Exchange,
        replica: Replica,
        start: AttemptStart,
        error: AnswerLost,
        *,
        now_s: float,
    ) -> None:
        """Log a lost answer with the content of its request."""
        self._state.journal.event(
            "answer_lost",
            request_id=exchange.metadata.request_id,
            content=exchange.content,
            replica=replica.replica_id,
            born_unix_ms=replica.born_unix_ms,
            stage=start.stage,
            running_ms=int((now_s - start.started_s) * 1_000),
            error=f"{type(error).__name__}: {error}",
        )
