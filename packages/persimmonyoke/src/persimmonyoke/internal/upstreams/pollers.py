"""Tasks that read load reports and cache events from each engine."""

import hashlib
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import gevent
from loguru import logger

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.upstreams.api import (
    CacheEventBatch,
    EngineClient,
    EngineFailure,
    EngineState,
    LoadReport,
    Upstream,
)

POLL_INTERVAL_S = 1.0
MAX_BACKOFF_S = 8.0
# Number of polls per read of the state. Load reports don't list models, so a model that
# an order has loaded is visible in the state only.
POLLS_PER_STATE_READ = 5
# Number of polls per read of the cache events while there are none. Engines publish
# them late anyway, and on an idle host these reads are almost half of the calls.
IDLE_POLLS_PER_EVENTS_READ = 2


@dataclass(frozen=True)
class PollHandlers:
    """Hold the callbacks for the results of the pollers.

    The last argument of each is the monotonic time of receipt.
    """

    on_load: Callable[[LoadReport, float], None]
    on_cache_events: Callable[[Upstream, CacheEventBatch, float], None]
    on_state: Callable[[EngineState, float], None] = lambda state, now_s: None
    on_failure: Callable[[Upstream, EngineFailure, float], None] = (
        lambda upstream, failure, now_s: None
    )


class EnginePoller:
    """Poll one engine at an interval, with exponential backoff while it fails.

    The state is read at the start, after each failure, at every
    ``POLLS_PER_STATE_READ``-th poll, and whenever a load report shows another
    incarnation or role, because the report may lag and the state does not.
    """

    def __init__(
        self,
        upstream: Upstream,
        client: EngineClient,
        handlers: PollHandlers,
        *,
        interval_s: float = POLL_INTERVAL_S,
        max_backoff_s: float = MAX_BACKOFF_S,
        rng: random.Random | None = None,
    ) -> None:
        if interval_s <= 0:
            raise ValueError(f"interval_s must be positive, got {interval_s}")
        self.upstream = upstream
        self.failures = 0
        self._client = client
        self._handlers = handlers
        self._interval_s = interval_s
        self._max_backoff_s = max(max_backoff_s, interval_s)
        self._rng = rng or random.Random()
        self._next_number = 0
        self._cache_incarnation = ""
        self._cache_reset = False
        self._state: EngineState | None = None
        self._polls_until_state = 0
        self._polls_until_events = 0

    def run(self) -> None:
        """Poll until the greenlet is killed."""
        while True:
            self.poll_once(time.monotonic())
            gevent.sleep(self.delay_s())

    def poll_once(self, now_s: float) -> bool:
        """Read the load, and state and cache events if due; return success."""
        try:
            self._polls_until_state -= 1
            if self._state is None or self._polls_until_state <= 0:
                self._read_state()
            self._read_load()
            self._polls_until_events -= 1
            if self._polls_until_events <= 0:
                self._read_cache_events()
        except (EngineFailure, ProtocolError) as error:
            self._note_failure(error, now_s)
            return False
        except Exception:
            # An error in a handler must not stop the polling of this engine.
            logger.exception(
                "[upstreams] unexpected error while polling {}", self.upstream.name
            )
            self.failures += 1
            return False
        self.failures = 0
        return True

    def delay_s(self) -> float:
        """Return the time until the next poll, with jitter.

        The jitter keeps the entry hosts from polling an engine at the same time.
        """
        if not self.failures:
            return self._interval_s * self._rng.uniform(0.9, 1.1)
        exponent = min(self.failures, 10)
        limit_s = min(self._interval_s * 2**exponent, self._max_backoff_s)
        return self._rng.uniform(self._interval_s / 2, limit_s)

    def _read_state(self) -> None:
        self._state = self._client.state()
        self._polls_until_state = POLLS_PER_STATE_READ
        if self._state.incarnation != self._cache_incarnation:
            # A new process restarts its event numbers and begins with an empty cache.
            self._polls_until_events = 0
            self._cache_reset = bool(self._cache_incarnation)
            self._cache_incarnation = self._state.incarnation
            self._next_number = 0
        self._handlers.on_state(self._state, time.monotonic())

    def _read_load(self) -> None:
        report = self._client.load()
        self._handlers.on_load(report, time.monotonic())
        state = self._state
        if state is not None and (
            report.incarnation != state.incarnation or report.role != state.role
        ):
            self._read_state()

    def _read_cache_events(self) -> None:
        batch = self._client.cache_events(since=self._next_number)
        self._next_number = batch.next_number
        if self._cache_reset:
            batch = replace(batch, gap=True)
            self._cache_reset = False
        self._polls_until_events = IDLE_POLLS_PER_EVENTS_READ
        if batch.events or batch.gap:
            self._polls_until_events = 0
            self._handlers.on_cache_events(self.upstream, batch, time.monotonic())

    def _note_failure(self, error: Exception, now_s: float) -> None:
        self.failures += 1
        self._state = None
        if self.failures == 1:
            logger.warning(
                "[upstreams] poll of {} failed: {}", self.upstream.name, error
            )
        if isinstance(error, EngineFailure):
            self._handlers.on_failure(self.upstream, error, now_s)


def assign_polling_hosts(
    engines: Iterable[str], hosts: Iterable[str]
) -> dict[str, str]:
    """Return, by engine, the host that polls it on behalf of all hosts.

    Each engine is assigned to the host with the highest rendezvous hash among those
    with free capacity. All hosts have the same capacity; without this bound, one of
    three hosts got 9 of 14 engines.
    """
    names, capacity_by_host = sorted(engines), dict.fromkeys(hosts, 0)
    if not capacity_by_host:
        return {}
    capacity_by_host = dict.fromkeys(
        capacity_by_host, -(-len(names) // len(capacity_by_host))
    )
    host_by_engine = {}
    for engine in names:

        def score(host: str, engine: str = engine) -> bytes:
            data = f"{engine}\0{host}".encode()
            return hashlib.blake2b(data, digest_size=8).digest()

        host = max(
            (h for h, capacity in capacity_by_host.items() if capacity), key=score
        )
        capacity_by_host[host] -= 1
        host_by_engine[engine] = host
    return host_by_engine


class PollerGroup:
    """Run one poller for each engine that this process polls."""

    def __init__(
        self,
        handlers: PollHandlers,
        client_for: Callable[[Upstream], EngineClient],
        *,
        interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        self._handlers = handlers
        self._client_for = client_for
        self._interval_s = interval_s
        self._tasks: dict[tuple[str, str], gevent.Greenlet] = {}

    def sync(self, engines: Iterable[Upstream]) -> None:
        """Start pollers for new engines and stop those of removed engines."""
        wanted = {(engine.name, engine.address): engine for engine in engines}
        for key in self._tasks.keys() - wanted.keys():
            self._tasks.pop(key).kill(block=False)
        for key in wanted.keys() - self._tasks.keys():
            poller = EnginePoller(
                wanted[key],
                self._client_for(wanted[key]),
                self._handlers,
                interval_s=self._interval_s,
            )
            self._tasks[key] = gevent.spawn(poller.run)

    def names(self) -> frozenset[str]:
        """Return the names of the polled engines."""
        return frozenset(name for name, _ in self._tasks)

    def stop(self) -> None:
        """Stop all pollers."""
        self.sync(())
