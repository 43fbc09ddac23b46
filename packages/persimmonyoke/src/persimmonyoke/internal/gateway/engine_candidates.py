"""Engines that may serve one generation request now."""

import time
from collections.abc import Callable

from persimmonyoke.internal.dispatch.engine_silence import (
    engines_to_continue,
    engines_to_probe,
)
from persimmonyoke.internal.dispatch.services import choose_replica
from persimmonyoke.internal.fleet.model import Replica, Stage
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.state import GatewayState


class EngineCandidates:
    """Narrow the engines of a service down to those that may serve one request.

    Engines in ``excluded`` are left out, those in ``avoided`` unless there is no other.
    """

    def __init__(
        self,
        state: GatewayState,
        exchange: Exchange,
        allows: Callable[[Replica], bool],
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._allows = allows
        self.excluded: set[str] = set()
        self.avoided: set[str] = set()
        self.not_connected: set[str] = set()
        """Replicas of a plain service to which no connection could be opened."""

        self.paused_until_s: dict[str, float] = {}
        """Engines at which a move failed, with the time of the next attempt."""

        self.continue_on: frozenset[str] | None = None
        """The only decode engines allowed while a silent stream is being moved."""

    def engines(self) -> list[Replica]:
        """Return the engines that this host considers reachable."""
        now_s = time.monotonic()
        return [
            engine
            for engine in self._usable_engines(now_s)
            if not self._state.health.paused(engine.replica_id, now_s)
        ]

    def any_stage_paused(self) -> bool:
        """Return whether all engines of some stage are paused, though not gone."""
        now_s = time.monotonic()
        stages: dict[Stage | None, list[bool]] = {}
        for engine in self._usable_engines(now_s):
            paused = self._state.health.paused(engine.replica_id, now_s)
            stages.setdefault(engine.stage, []).append(paused)
        return any(all(paused) for paused in stages.values())

    def decoders(self) -> list[Replica]:
        """Return the candidate decode engines whose limits allow a request now."""
        return self.within_limits(self.reachable_decoders())

    def within_limits(self, engines: list[Replica]) -> list[Replica]:
        """Return the engines of some whose limits allow a request now."""
        limits, now_s = self._state.replica_limits, time.monotonic()
        return [e for e in engines if limits.wait_s(e.replica_id, now_s) <= 0.0]

    def reachable_decoders(self) -> list[Replica]:
        """Return the candidate decode engines, with or without a limit.

        Failing engines and those on which this request failed are left out unless
        there is no other.
        """
        decoders = [e for e in self.engines() if e.stage is Stage.DECODE]
        if not decoders:
            decoders = self._leaving_decoders()
        decoders = self._without_reserved(decoders)
        decoders = [e for e in decoders if e.replica_id not in self.avoided] or decoders
        health, now_s = self._state.health, time.monotonic()
        return [
            e for e in decoders if not health.failing(e.replica_id, now_s)
        ] or decoders

    def choose_plain(self, *, now_s: float) -> Replica | None:
        """Return a replica for a run on a service whose replicas have no stage."""
        state, service = self._state, self._exchange.service.name
        replicas = [
            replica
            for replica in state.sendable_replicas(service, now_s=now_s)
            if self._allows(replica)
            and (self.continue_on is None or replica.replica_id in self.continue_on)
        ]
        others = [r for r in replicas if r.replica_id not in self.avoided]
        return choose_replica(
            others or replicas,
            ledger=state.ledger,
            health=state.health,
            excluded=self.excluded | self.not_connected,
            own_zone=state.settings.availability_zone,
            now_s=now_s,
            rng=state.rng,
        )

    def engines_beside(self, silent: Replica) -> list[Replica]:
        """Return the engines on which a stream of a silent engine may go on now."""
        limits, now_s = self._state.replica_limits, time.monotonic()
        engines = engines_to_continue(
            self.engines(),
            left=silent,
            avoided=self.avoided,
            silences=self._state.silences,
            now_s=now_s,
        )
        return [
            engine
            for engine in self._without_reserved(engines)
            if limits.wait_s(engine.replica_id, now_s) <= 0.0
            and now_s >= self.paused_until_s.get(engine.replica_id, 0.0)
        ]

    def engines_to_probe(self, silent: Replica) -> list[Replica]:
        """Return engines to ask for a sign of life while an engine is silent."""
        return engines_to_probe(
            self.engines(),
            left=silent,
            avoided=self.avoided,
            rng=self._state.rng,
        )

    def _without_reserved(self, decoders: list[Replica]) -> list[Replica]:
        """Leave out engines reserved for others, which a crash may be about to lose.

        Half of the engines stay in use, as many requests may be suspects at once.
        """
        reserved = self._state.suspects.isolated_engines(time.monotonic())
        own = self._exchange.isolated_on
        free = [e for e in decoders if e.replica_id not in reserved - {own}]
        return free if 2 * len(free) >= len(decoders) else decoders

    def decoders_back_in_s(self, now_s: float) -> float | None:
        """Return when the back-off of a decode engine ends, if one asked for it."""
        engines = self._state.replicas.usable(self._exchange.service.name, now_s=now_s)
        decoders = [e for e in engines if e.stage is Stage.DECODE]
        return self._state.backoff_left_s(decoders, now_s)

    def _leaving_decoders(self) -> list[Replica]:
        """Return decode engines that started to drain and still accept requests."""
        now_s = time.monotonic()
        return [
            engine
            for engine in self._state.leaving_replicas(
                self._exchange.service.name, now_s=now_s
            )
            if engine.stage is Stage.DECODE
            and self._allows(engine)
            and self._may_continue(engine)
            and not self._state.health.paused(engine.replica_id, now_s)
        ]

    def _usable_engines(self, now_s: float) -> list[Replica]:
        return [
            engine
            for engine in self._state.usable_replicas(
                self._exchange.service.name, now_s=now_s
            )
            if engine.replica_id not in self.excluded
            and self._allows(engine)
            and self._may_continue(engine)
            and not self._state.stage_changes.is_pending(engine, now_s)
        ]

    def _may_continue(self, engine: Replica) -> bool:
        if self.continue_on is None or engine.stage is not Stage.DECODE:
            return True
        return engine.replica_id in self.continue_on
