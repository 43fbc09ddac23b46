"""Simulated plain HTTP service that counts executed calls by idempotency key."""

import errno
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import gevent
import orjson

from persimmonyoke.internal.upstreams.api import Upstream
from persimmonyoke_testing.held_port import HeldPort
from persimmonyoke_testing.loopback import CONNECTION_KEY, LoopbackServer

MAX_STORED_OUTCOMES = 100_000
OUTCOMES_PATH = "/outcomes/"
HEALTH_PATH = "/health"

Environ = Mapping[str, Any]
StartResponse = Callable[..., Any]


@dataclass(frozen=True)
class StoredOutcome:
    """Store the answer of an executed call."""

    status: str
    body: bytes


@dataclass(frozen=True)
class ServiceRun:
    """Record that the service executed a call."""

    method: str
    path: str
    key: str | None
    body: bytes
    started_s: float


@dataclass
class ServiceFaults:
    """Hold the faults that a test can inject while the service runs."""

    crash_before_answer: int = 0
    """Crash this many times after executing a call and before answering it."""
    drop_before_answer: int = 0
    """Close the connection of this many calls after executing them, without a crash."""
    reject_unrun: bool = False
    """Answer 503 with ``X-Not-Run: true`` without executing the call."""
    fail_unmarked: bool = False
    """Answer 503 without ``X-Not-Run``, although the call is not executed."""
    slow_s: float = 0.0
    """Wait this long between executing a call and answering it."""
    slow_before_s: float = 0.0
    """Wait this long before executing a call."""
    crash_marker: bytes | None = None
    """Crash before executing a call whose body contains this."""


@dataclass
class ServiceRecord:
    """Record the executed calls across restarts."""

    runs: list[ServiceRun] = field(default_factory=list)
    runs_by_key: Counter[str] = field(default_factory=Counter)
    crashes: int = 0

    def keys_run_twice(self) -> list[str]:
        """Return the idempotency keys whose call was executed more than once."""
        return [key for key, runs in self.runs_by_key.items() if runs > 1]


class ServiceStandIn:
    """Run a simulated service until stopped; usable as a context manager.

    A request to any other path executes a call, also if its key was used before:
    duplicates are recorded, not prevented. ``GET /outcomes/<key>`` returns the stored
    answer with its status in ``X-Outcome-Status`` if ``keeps_outcomes`` is set.
    Replicas that are given the same ``outcomes`` share their outcomes, and those that
    are given the same ``record`` share their counts.
    """

    def __init__(
        self,
        name: str = "service-0",
        *,
        pool: str = "registry-api",
        availability_zone: str = "zone-a",
        keeps_outcomes: bool = True,
        outcomes: OrderedDict[str, StoredOutcome] | None = None,
        record: ServiceRecord | None = None,
        port: int = 0,
    ) -> None:
        self.name = name
        self.pool = pool
        self.availability_zone = availability_zone
        self.keeps_outcomes = keeps_outcomes
        self.faults = ServiceFaults()
        self.record = record if record is not None else ServiceRecord()
        self._outcomes = outcomes if outcomes is not None else OrderedDict()
        self._server: LoopbackServer | None = None
        self._port = HeldPort(port)

    def __enter__(self) -> "ServiceStandIn":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def address(self) -> str:
        """Return ``host:port``, which is stable across restarts."""
        return self._port.address

    @property
    def running(self) -> bool:
        """Return whether the service accepts connections."""
        return self._server is not None

    def upstream(self) -> Upstream:
        """Return the directory entry of this replica."""
        return Upstream(
            name=self.name,
            pool=self.pool,
            address=self.address,
            availability_zone=self.availability_zone,
        )

    def start(self) -> None:
        """Start the service; after a crash it has the same address."""
        if self._server is not None:
            raise RuntimeError(f"service {self.name} is already running")
        self._server = LoopbackServer(self._port.number, self._answer)
        self._server.start()

    def stop(self) -> None:
        """Close all connections and refuse new ones."""
        server, self._server = self._server, None
        if server is not None:
            server.drop_all()

    def crash(self) -> None:
        """Simulate a crash; the stored outcomes persist, as in a database."""
        if self._server is not None:
            self.record.crashes += 1
            self.stop()

    def silence_open_connections(self) -> None:
        """Stop responding on open connections; new connections work normally."""
        if self._server is not None:
            self._server.silence()

    def _answer(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        environ[CONNECTION_KEY].wait_if_silenced()
        path = environ["PATH_INFO"]
        if path == HEALTH_PATH:
            return self._reply(start, "200 OK", b"{}")
        if path.startswith(OUTCOMES_PATH) and environ["REQUEST_METHOD"] == "GET":
            return self._outcome(path.removeprefix(OUTCOMES_PATH), start)
        body = environ["wsgi.input"].read()
        return self._call(environ, body, start)

    def _call(
        self, environ: Environ, body: bytes, start: StartResponse
    ) -> Iterable[bytes]:
        faults = self.faults
        if faults.reject_unrun:
            headers = [("X-Not-Run", "true")]
            return self._reply(start, "503 Service Unavailable", b"{}", headers)
        if faults.fail_unmarked:
            return self._reply(start, "503 Service Unavailable", b"{}")
        if faults.crash_marker is not None and faults.crash_marker in body:
            self._crash_without_answer()
        if faults.slow_before_s:
            gevent.sleep(faults.slow_before_s)
        outcome = self._run(environ, body)
        if faults.slow_s:
            gevent.sleep(faults.slow_s)
        if faults.crash_before_answer > 0:
            faults.crash_before_answer -= 1
            self._crash_without_answer()
        if faults.drop_before_answer > 0:
            faults.drop_before_answer -= 1
            environ[CONNECTION_KEY].drop()
        return self._reply(start, outcome.status, outcome.body)

    def _run(self, environ: Environ, body: bytes) -> StoredOutcome:
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        run = ServiceRun(method, path, key, body, time.monotonic())
        self.record.runs.append(run)
        number = len(self.record.runs)
        answer = {"run": number, "replica": self.name, "path": path, "key": key}
        status = "201 Created" if method == "POST" else "200 OK"
        outcome = StoredOutcome(status, orjson.dumps(answer))
        if key is not None:
            self.record.runs_by_key[key] += 1
            self._outcomes[key] = outcome
            if len(self._outcomes) > MAX_STORED_OUTCOMES:
                self._outcomes.popitem(last=False)
        return outcome

    def _outcome(self, key: str, start: StartResponse) -> Iterable[bytes]:
        outcome = self._outcomes.get(key) if self.keeps_outcomes else None
        if outcome is None:
            return self._reply(start, "404 Not Found", b"{}")
        headers = [("X-Outcome-Status", outcome.status.split()[0])]
        return self._reply(start, "200 OK", outcome.body, headers)

    def _crash_without_answer(self) -> None:
        # In a separate greenlet, since stopping the server also kills this one.
        gevent.spawn(self.crash)
        gevent.sleep(1.0)
        raise BrokenPipeError(errno.EPIPE, "service crashed")

    @staticmethod
    def _reply(
        start: StartResponse,
        status: str,
        body: bytes,
        headers: list[tuple[str, str]] | None = None,
    ) -> Iterable[bytes]:
        start(status, [("Content-Type", "application/json"), *(headers or [])])
        return [body]
