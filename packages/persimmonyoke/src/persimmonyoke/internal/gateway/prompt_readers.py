"""Engines that may prefill the prompt of one request."""

from persimmonyoke.internal.fleet.model import Replica, Stage
from persimmonyoke.internal.gateway.engine_candidates import EngineCandidates
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.suspect_guard import SuspectGuard


class PromptReaders:
    """Narrow the candidate engines down to those that may prefill a prompt."""

    def __init__(
        self, guard: SuspectGuard, candidates: EngineCandidates, exchange: Exchange
    ) -> None:
        self._guard = guard
        self._candidates = candidates
        self._exchange = exchange
        self._is_suspect = False
        self._runs_alone = False

    def needs_reservation(self) -> bool:
        """Return whether the request has to run alone on the engine of its prefill.

        Prompt parts crash engines that begin to write an answer, so a request with a
        suspected part needs a reservation only if a decode engine prefills it.
        """
        status = self._guard.status(self._exchange)
        self._is_suspect = self._guard.is_suspect_itself(self._exchange)
        self._runs_alone = self._guard.must_run_alone(status)
        is_local = any(engine.stage is Stage.DECODE for engine in self.engines())
        return self._is_suspect or is_local

    def engines(self) -> list[Replica]:
        """Return the engines that may prefill the prompt.

        A request that may crash engines is never prefilled on a decode engine, since
        a crash there would break the streams of other requests. One of which a prompt
        part may crash engines is prefilled there if there is no prefill engine.
        """
        engines = self._candidates.engines()
        if not self._is_suspect and not self._runs_alone:
            return engines
        readers = [e for e in engines if e.stage is Stage.PREFILL]
        if not readers and not self._is_suspect:
            readers = engines
        isolated_on = self._exchange.isolated_on
        return [e for e in readers if isolated_on in (None, e.replica_id)]

    def free_engines(self) -> list[Replica]:
        """Return the engines whose limits allow them a prompt now."""
        return self._candidates.within_limits(self.engines())
