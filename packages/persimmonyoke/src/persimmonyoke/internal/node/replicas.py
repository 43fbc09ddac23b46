"""Choice of replicas of plain services, and tracking of their open calls."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from persimmonyoke.internal.routing import (
    ServiceChoice,
    ServiceRoute,
    choose_service,
)
from persimmonyoke.internal.routing.health import UpstreamHealth
from persimmonyoke.internal.upstreams.api import (
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
    ServiceOutcome,
    Upstream,
)
from persimmonyoke.internal.upstreams.clients import UpstreamClients
from persimmonyoke.internal.upstreams.directory import Directory

# A replica with open calls that returns no answer for this time, or for SILENT_FACTOR
# times the average answer time if that is longer, gets no more calls while another one
# answers: a call times out after several seconds, in which a silent replica would
# accumulate calls.
SILENT_AFTER_S = 0.5
SILENT_FACTOR = 5.0
ANSWER_TIME_WEIGHT = 0.1


@dataclass(frozen=True)
class CallsInFlight:
    """Represent a replica's load by the calls that this host has in flight."""

    running_sequences: float
    queued_prefill_tokens: float = 0.0
    age_s: float = 0.0
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    max_sequences: int = 0


class CallCounts:
    """Count the calls in flight at each replica."""

    def __init__(self) -> None:
        self.in_flight: Counter[str] = Counter()
        self.calls = 0
        self._answer_s = 0.0
        # For replicas with open calls: time since which none has been answered.
        self._unanswered_since_s: dict[str, float] = {}

    def begin(self, name: str, now_s: float) -> None:
        """Count the start of a call."""
        self.calls += 1
        self.in_flight[name] += 1
        self._unanswered_since_s.setdefault(name, now_s)

    def end(self, name: str, started_s: float, now_s: float, *, answered: bool) -> None:
        """Count the end of a call."""
        self.in_flight[name] -= 1
        if answered:
            change_s = now_s - started_s - self._answer_s
            self._answer_s += ANSWER_TIME_WEIGHT * change_s
        if not self.in_flight[name]:
            del self._unanswered_since_s[name]
        elif answered:
            self._unanswered_since_s[name] = now_s

    def is_silent(self, name: str, now_s: float) -> bool:
        """Return whether a replica with open calls has not answered for too long."""
        since_s = self._unanswered_since_s.get(name, now_s)
        return now_s - since_s > max(SILENT_AFTER_S, SILENT_FACTOR * self._answer_s)

    def estimate(self, name: str, now_s: float) -> CallsInFlight:
        """Return the estimate for one replica."""
        return CallsInFlight(float(self.in_flight[name]))


class CountingClient(ServiceClient):
    """Count a call as in flight while it runs."""

    def __init__(
        self,
        client: ServiceClient,
        name: str,
        counts: CallCounts,
        health: UpstreamHealth,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._name = name
        self._counts = counts
        self._health = health
        self._clock = clock

    def call(self, call: ServiceCall, *, timeout_s: float) -> ServiceOutcome:
        """Send one call, record its result and return its outcome."""
        started_s = self._clock()
        self._health.note_dispatch(self._name, started_s)
        self._counts.begin(self._name, started_s)
        answered = False
        try:
            outcome = self._client.call(call, timeout_s=timeout_s)
            answered = isinstance(outcome, ServiceAnswer)
        finally:
            self._counts.end(self._name, started_s, self._clock(), answered=answered)
        if answered:
            self._health.note_success(self._name, started_s)
        else:
            self._health.note_failure(self._name, self._clock())
        return outcome

    def outcome(self, idempotency_key: str) -> ServiceAnswer | None:
        """Return the stored answer of an earlier call; raise ``ConnectionError``."""
        return self._client.outcome(idempotency_key)


class ReplicaPool:
    """Choose replicas by health and calls in flight."""

    def __init__(
        self,
        *,
        directory: Directory,
        clients: UpstreamClients,
        availability_zone: str,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._zone = availability_zone
        self._clock = clock
        self._rng = rng
        self.counts = CallCounts()
        self._health = UpstreamHealth()

    def choose(
        self, pool: str, excluded: frozenset[str], *, now_s: float
    ) -> Upstream | None:
        """Return a replica outside ``excluded``, or ``None``."""
        route = ServiceRoute(availability_zone=self._zone, exclude=excluded)
        candidates = self._directory.services(pool, now_s)
        allowed = [r for r in candidates if r.name not in excluded]
        # Failing and silent replicas are used only if all replicas are so.
        answering = [
            r for r in allowed if self._is_responsive(r.name, now_s)
        ] or allowed
        choice = choose_service(
            route, answering, self.counts, now_s=now_s, rng=self._rng
        )
        if not isinstance(choice, ServiceChoice):
            return None
        # The choice never includes leaving replicas; this checks the invariant.
        if not self._directory.check_dispatch(choice.replica, now_s):
            return None
        return choice.replica

    def _is_responsive(self, name: str, now_s: float) -> bool:
        held = self._health.in_backoff(name, now_s)
        return not held and not self.counts.is_silent(name, now_s)

    def replicas(self, pool: str, *, now_s: float) -> tuple[Upstream, ...]:
        """Return all replicas that may hold the outcome of an earlier call."""
        return self._directory.services(pool, now_s)

    def client(self, replica: Upstream) -> ServiceClient:
        """Return a client of the replica."""
        client = self._clients.service(replica)
        return CountingClient(
            client, replica.name, self.counts, self._health, self._clock
        )
