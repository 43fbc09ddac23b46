"""Fake engines, services and collaborators of delivery, with scripted faults."""

import time
import zlib
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

import gevent

from persimmonyoke.errors import ErrorKind
from persimmonyoke.internal.delivery.api import (
    Clock,
    CompletionRequest,
    CompletionSink,
    GateGranted,
    GateOutcome,
    NoRoute,
    ResumePoint,
    RouteChoice,
    RouteQuery,
    TextProgress,
    content_digest,
)
from persimmonyoke.internal.delivery.delivery import Delivery
from persimmonyoke.internal.delivery.parts import DeliveryOptions
from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.delivery.suspects import SuspectRegister
from persimmonyoke.internal.upstreams.api import (
    CacheEventBatch,
    EngineClient,
    EngineFailure,
    EngineState,
    GenerateCall,
    LoadReport,
    Order,
    OrderOutcome,
    Phase,
    Role,
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
    ServiceOutcome,
    StreamEvent,
    Upstream,
)

FAST_OPTIONS = DeliveryOptions(
    min_first_idle_s=0.2,
    first_idle_factor=0.0,
    min_inter_idle_s=0.1,
    inter_idle_factor=0.0,
    probe_timeout_s=0.2,
    cancel_timeout_s=0.5,
)
HANG_S = 30.0


def answer_words(prompt: str, count: int) -> list[str]:
    """Return the words of the answer that each fake engine gives to a prompt."""
    seed = zlib.crc32(prompt.encode())
    return [f"w{(seed * (i + 1)) % 9973}é " for i in range(count)]


def answer_text(prompt: str, count: int) -> str:
    """Return the complete answer that each fake engine gives to a prompt."""
    return "".join(answer_words(prompt, count))


class Fault(Enum):
    """Name the faults that a fake engine can inject before its next event."""

    CRASH = auto()
    RESET = auto()
    SILENCE = auto()
    STALL_ENGINE = auto()
    MISROUTE = auto()
    DUPLICATE = auto()
    OVERLAP = auto()
    SKIP = auto()
    EARLY_END = auto()
    CANCELLED = auto()


Script = Callable[["FakeEngine", GenerateCall, int], Fault | None]


class FakeEngine(EngineClient):
    """Generate deterministic words; ``script`` chooses a fault for each offset."""

    def __init__(self, name: str, *, token_s: float = 0.0) -> None:
        self.name = name
        self.token_s = token_s
        self.alive = True
        self.stalled = False
        self.incarnation = 1
        self.script: Script = lambda engine, call, offset: None
        self.calls: list[GenerateCall] = []
        self.resumes: list[tuple[str, int]] = []
        self.cancelled: list[str] = []
        self.running: Counter[str] = Counter()
        self.imported: dict[str, bytes] = {}
        self.crashes = 0
        self._streams: dict[str, GenerateCall] = {}

    @property
    def upstream(self) -> Upstream:
        """Return how the directory describes this engine."""
        return Upstream(
            self.name, "pool", "addr", "zone", incarnation=str(self.incarnation)
        )

    def crash(self) -> None:
        """Simulate the end of the process and of all connections to it."""
        self.alive = False
        self.crashes += 1
        self.incarnation += 1
        self._streams.clear()

    def generate(self, call: GenerateCall) -> Iterator[StreamEvent]:
        self._connect(sent=False)
        self.calls.append(call)
        stream_id = f"{self.name}-{call.request_id}-{len(self.calls)}"
        self._streams[stream_id] = call
        return self._events(stream_id, call, call.prefix_tokens)

    def resume(self, stream_id: str, *, offset: int) -> Iterator[StreamEvent]:
        self._connect(sent=False)
        self.resumes.append((stream_id, offset))
        if stream_id not in self._streams:
            raise EngineFailure("unknown stream", refused=True)
        return self._events(stream_id, self._streams[stream_id], offset)

    def cancel(self, request_id: str) -> None:
        self._connect(sent=False)
        self.cancelled.append(request_id)
        for stream_id, call in list(self._streams.items()):
            if call.request_id == request_id:
                del self._streams[stream_id]

    def state(self) -> EngineState:
        self._connect(sent=False)
        if self.stalled:
            gevent.sleep(HANG_S)
        return EngineState(
            name=self.name,
            incarnation=str(self.incarnation),
            role=Role.MIXED,
            models=(),
            adapters=(),
            version="1",
            fencing=0,
            open_order_id=None,
            last_order_id=None,
            last_order_status=None,
            running_sequences=self.running.total(),
        )

    def export_kv(self, request_id: str) -> bytes:
        self._connect()
        return request_id.encode()

    def import_kv(self, blob: bytes) -> str:
        self._connect()
        handle = f"kv-{len(self.imported)}"
        self.imported[handle] = blob
        return handle

    def load(self) -> LoadReport:
        raise EngineFailure("this engine reports no load", refused=True)

    def cache_events(self, *, since: int) -> CacheEventBatch:
        raise EngineFailure(f"no cache events since {since}", refused=True)

    def order(self, order: Order, *, timeout_s: float) -> OrderOutcome:
        raise EngineFailure(f"this engine takes no order: {order}", refused=True)

    def _connect(self, *, sent: bool = True) -> None:
        if not self.alive:
            raise EngineFailure("connection refused", sent=sent, crashed=True)

    def _events(
        self, stream_id: str, call: GenerateCall, offset: int
    ) -> Iterator[StreamEvent]:
        incarnation = self.incarnation
        self.running[call.request_id] += 1
        try:
            if call.phase is Phase.PREFILL:
                gevent.sleep(self.token_s)
                return
            words = answer_words(call.prompt, call.max_tokens)
            while offset <= len(words):
                gevent.sleep(self.token_s)
                fault = self.script(self, call, offset)
                if fault is not None:
                    yield from self._fail(fault, stream_id, call, words, offset)
                if fault in (Fault.EARLY_END, Fault.CANCELLED):
                    return
                if self.incarnation != incarnation:
                    raise EngineFailure("connection reset", crashed=True)
                if fault is Fault.SKIP:
                    offset += 1
                yield self._event(stream_id, call, words, offset)
                offset += 1
        finally:
            self.running[call.request_id] -= 1

    def _event(
        self, stream_id: str, call: GenerateCall, words: list[str], offset: int
    ) -> StreamEvent:
        if offset >= len(words):
            reason = "length"
            return StreamEvent(call.request_id, stream_id, offset, "", 0, reason)
        return StreamEvent(call.request_id, stream_id, offset, words[offset], 1)

    def _fail(
        self,
        fault: Fault,
        stream_id: str,
        call: GenerateCall,
        words: list[str],
        offset: int,
    ) -> Iterator[StreamEvent]:
        if fault is Fault.CRASH:
            self.crash()
        elif fault is Fault.RESET:
            raise EngineFailure("connection reset")
        elif fault is Fault.SILENCE:
            gevent.sleep(HANG_S)
        elif fault is Fault.STALL_ENGINE:
            self.stalled = True
            gevent.sleep(HANG_S)
        elif fault is Fault.MISROUTE:
            yield StreamEvent("another-request", stream_id, offset, "secret ", 1)
        elif fault is Fault.DUPLICATE and offset > 0:
            yield self._event(stream_id, call, words, offset - 1)
        elif fault is Fault.OVERLAP and 0 < offset < len(words):
            text = words[offset - 1] + words[offset]
            yield StreamEvent(call.request_id, stream_id, offset - 1, text, 2)
        elif fault is Fault.CANCELLED:
            reason = "cancelled"
            yield StreamEvent(call.request_id, stream_id, offset, "", 0, reason)


class FakeFleet:
    """Act as router and engine pool over a few fake engines."""

    def __init__(
        self, engines: list[FakeEngine], *, routes_to_crashed: bool = True
    ) -> None:
        self.engines = {engine.name: engine for engine in engines}
        self.prefill_engine: str | None = None
        self.open_dispatches = 0
        # Whether the router still offers engines that have crashed, as it does until
        # the directory learns of the crash.
        self.routes_to_crashed = routes_to_crashed

    def choose(self, query: RouteQuery, *, now_s: float) -> RouteChoice | NoRoute:
        free = [
            engine
            for engine in self.engines.values()
            if engine.name not in query.excluded
            and engine.name != self.prefill_engine
            and (engine.alive or self.routes_to_crashed)
        ]
        if not free:
            return NoRoute(ErrorKind.UPSTREAM_UNAVAILABLE, "no engine", 1.0)
        engine = min(free, key=lambda item: item.running.total())
        prefill = self.engines.get(self.prefill_engine or "")
        return RouteChoice(engine.upstream, prefill and prefill.upstream)

    def note_dispatch(
        self, choice: RouteChoice, query: RouteQuery, *, now_s: float
    ) -> object:
        self.open_dispatches += 1
        return choice

    def note_completion(self, dispatch: object, *, now_s: float) -> None:
        self.open_dispatches -= 1

    def find(self, name: str) -> Upstream | None:
        engine = self.engines.get(name)
        return engine.upstream if engine is not None else None

    def client(self, engine: Upstream, *, fresh: bool = False) -> EngineClient:
        return self.engines[engine.name]

    @property
    def crashes(self) -> int:
        """Return how many times engines of the fleet crashed."""
        return sum(engine.crashes for engine in self.engines.values())


class RecordingSink(CompletionSink):
    """Record an answer and its resume points."""

    def __init__(self) -> None:
        self.text = ""
        self.offset = 0
        self.streams: list[tuple[str, str]] = []
        self.points: list[ResumePoint] = []
        self.finish_reasons: list[str] = []
        self.on_event: Callable[[StreamEvent], None] = lambda event: None

    def begin_stream(self, upstream: Upstream, stream_id: str) -> None:
        self.streams.append((upstream.name, stream_id))
        self._upstream = upstream

    def deliver(self, event: StreamEvent, progress: TextProgress) -> None:
        self.text += event.text
        self.offset = progress.offset
        if event.finish_reason is not None:
            self.finish_reasons.append(event.finish_reason)
        self.points.append(
            ResumePoint(
                engine=self._upstream.name,
                stream_id=event.stream_id,
                offset=progress.offset,
                text_bytes=progress.text_bytes,
                text_crc=progress.crc,
                incarnation=self._upstream.incarnation,
            )
        )
        self.on_event(event)


class FakeServices:
    """Act as a pool of service replicas with scripted outcomes."""

    def __init__(self, *replica_names: str) -> None:
        self.replica_names = replica_names
        self.outcomes: dict[str, list[ServiceOutcome]] = {
            name: [] for name in replica_names
        }
        self.stored: dict[str, ServiceAnswer] = {}
        self.calls: list[tuple[str, ServiceCall]] = []

    def choose(
        self, pool: str, excluded: frozenset[str], *, now_s: float
    ) -> Upstream | None:
        for replica in self.replicas(pool, now_s=now_s):
            if replica.name not in excluded:
                return replica
        return None

    def replicas(self, pool: str, *, now_s: float) -> tuple[Upstream, ...]:
        return tuple(
            Upstream(name, pool, "addr", "zone") for name in self.replica_names
        )

    def client(self, replica: Upstream) -> ServiceClient:
        return _FakeServiceClient(self, replica.name)


class _FakeServiceClient(ServiceClient):
    def __init__(self, services: FakeServices, name: str) -> None:
        self._services = services
        self._name = name

    def call(self, call: ServiceCall, *, timeout_s: float) -> ServiceOutcome:
        self._services.calls.append((self._name, call))
        scripted = self._services.outcomes[self._name]
        return scripted.pop(0) if scripted else ServiceAnswer(200, {}, b"done")

    def outcome(self, idempotency_key: str) -> ServiceAnswer | None:
        return self._services.stored.get(idempotency_key)


@dataclass
class FakeGate:
    """Grant each claim or return the scripted outcome; record the later calls."""

    outcome: GateOutcome = field(default_factory=lambda: GateGranted("claim"))
    claimed: list[tuple[str, str]] = field(default_factory=list)
    finished: list[ServiceAnswer] = field(default_factory=list)
    released: list[object] = field(default_factory=list)
    abandoned: list[object] = field(default_factory=list)

    def claim(
        self, workspace: str, key: str, body_digest: bytes, *, now_s: float
    ) -> GateOutcome:
        self.claimed.append((workspace, key))
        return self.outcome

    def finish(self, claim: object, answer: ServiceAnswer) -> None:
        self.finished.append(answer)

    def release(self, claim: object) -> None:
        self.released.append(claim)

    def abandon(self, claim: object) -> None:
        self.abandoned.append(claim)


def build_delivery(
    fleet: FakeFleet,
    *,
    services: FakeServices | None = None,
    gate: FakeGate | None = None,
    budget: RetryBudget | None = None,
    suspects: SuspectRegister | None = None,
    options: DeliveryOptions = FAST_OPTIONS,
    clock: Clock = time.monotonic,
) -> Delivery:
    """Return a delivery that uses fakes and short timeouts."""
    return Delivery(
        router=fleet,
        engines=fleet,
        services=services or FakeServices("s1", "s2"),
        gate=gate or FakeGate(),
        budget=budget or RetryBudget(floor=100),
        suspects=suspects or SuspectRegister("host"),
        options=options,
        clock=clock,
    )


def build_request(
    prompt: str = "tell me",
    *,
    max_tokens: int = 8,
    request_id: str = "r1",
    deadline_after_s: float = 10.0,
    resume: ResumePoint | None = None,
    with_body: bool = True,
) -> CompletionRequest:
    """Return a request whose answer is ``answer_text(prompt, max_tokens)``."""
    return CompletionRequest(
        request_id=request_id,
        workspace="workspace",
        model="model",
        prompt=prompt if with_body else None,
        max_tokens=max_tokens,
        deadline_s=time.monotonic() + deadline_after_s,
        content_digest=content_digest("model", None, prompt),
        resume=resume,
    )
