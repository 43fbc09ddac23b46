"""One incarnation of the simulated engine: the state that a crash discards."""

import itertools
import random
import time
from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import gevent
import orjson
from gevent.event import Event
from gevent.pool import Group

from persimmonyoke.internal.upstreams.api import Phase, Role
from persimmonyoke.internal.upstreams.pieces import piece_digests
from persimmonyoke_testing.engine_cache import CacheEventLog, PrefixCache
from persimmonyoke_testing.engine_orders import Configuration, OrderHandler
from persimmonyoke_testing.engine_record import EngineRecord, RequestRun
from persimmonyoke_testing.engine_scheduler import Scheduler, Sequence
from persimmonyoke_testing.engine_settings import EngineFaults, EngineSettings
from persimmonyoke_testing.engine_text import prompt_tag

CLEANUP_INTERVAL_S = 0.25
# More frequent load snapshots would cost more time than serving the streams.
MIN_LOAD_INTERVAL_S = 0.02

ROLE_PHASES = {
    Role.MIXED: frozenset(Phase),
    Role.PREFILL: frozenset({Phase.PREFILL}),
    Role.DECODE: frozenset({Phase.DECODE}),
}


class Rejection(Exception):
    """Signal that a call is rejected without being executed."""

    def __init__(self, status: int, error: str) -> None:
        super().__init__(error)
        self.status = status
        self.error = error


@dataclass(frozen=True)
class KvEntry:
    """Describe the KV cache produced by a prefill."""

    tag: str
    tokens: int

    def blob(self, bytes_per_token: int) -> bytes:
        """Return the exported form: a JSON line and padding to a realistic size."""
        head = orjson.dumps({"tag": self.tag, "tokens": self.tokens})
        return head + b"\n" + bytes(self.tokens * bytes_per_token)

    @classmethod
    def parse(cls, blob: bytes) -> "KvEntry":
        """Parse an exported KV cache; raise ``Rejection`` if it is malformed."""
        try:
            head = orjson.loads(blob.split(b"\n", 1)[0])
            return cls(tag=str(head["tag"]), tokens=int(head["tokens"]))
        except (ValueError, KeyError, TypeError) as error:
            raise Rejection(400, "damaged KV cache") from error


class EngineCore:
    """Run generations, orders and load reports until stopped."""

    def __init__(
        self,
        settings: EngineSettings,
        faults: EngineFaults,
        configuration: Configuration,
        record: EngineRecord,
        *,
        incarnation: str,
    ) -> None:
        self.settings = settings
        self.faults = faults
        self.configuration = configuration
        self.record = record
        self.incarnation = incarnation
        self.crash_requested = Event()
        self.tasks = Group()
        timing = settings.timing
        self.cache_log = CacheEventLog(
            delay_s=timing.scaled(timing.cache_event_delay_s),
            loss=settings.cache_event_loss,
            limit=settings.cache_log_events,
            rng=random.Random(f"{settings.seed} {settings.name} {incarnation}"),
        )
        self.cache = PrefixCache(
            capacity_pieces=settings.cache_pieces, log=self.cache_log
        )
        self.scheduler = Scheduler(settings, faults, self.cache, record)
        self.scheduler.crash_requested = self.crash_requested
        self.orders = OrderHandler(
            settings,
            faults,
            configuration,
            record,
            incarnation=incarnation,
            drained=self.scheduler.drained,
            crash=self.crash_requested.set,
            spawn=self.tasks.spawn,
        )
        self.streams: OrderedDict[str, Sequence] = OrderedDict()
        self.kv_by_request: OrderedDict[str, KvEntry] = OrderedDict()
        self.kv_by_handle: OrderedDict[str, KvEntry] = OrderedDict()
        self._numbers = itertools.count(1)
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()

    def start(self) -> None:
        """Start the batching loop and the background tasks."""
        self._reports.append((time.monotonic(), self._load_now()))
        for task in (self.scheduler.run, self._report_loop, self._cleanup_loop):
            self.tasks.spawn(task)

    def stop(self) -> None:
        """Stop all tasks and record the sequences that are interrupted."""
        for sequence in self.scheduler.unfinished():
            self.record.interrupted.append(sequence.request_id)
        self.tasks.kill(block=False)

    def generate(self, body: Mapping[str, Any]) -> Sequence:
        """Start a generation; raise ``Rejection`` if the engine does not accept it."""
        sequence = self._parse(body)
        self._check_acceptance(body, sequence)
        if self.settings.cache_pieces and sequence.needs_prefill:
            words = body["prompt"].split()
            sequence.pieces = piece_digests(words)
        self.record.requests.append(
            RequestRun(
                request_id=sequence.request_id,
                phase=sequence.phase.value,
                incarnation=self.incarnation,
                prompt_tokens=sequence.prompt_tokens,
                cached_tokens=self._cached_tokens(sequence),
                prefix_tokens=sequence.prefix_tokens,
            )
        )
        self.streams[sequence.stream_id] = sequence
        if sequence.phase is Phase.PREFILL:
            entry = KvEntry(sequence.tag, sequence.prompt_tokens)
            self._store_kv(self.kv_by_request, sequence.request_id, entry)
        if sequence.produced >= sequence.end and sequence.phase is not Phase.PREFILL:
            sequence.finish_reason = "length"
            sequence.finished_s = time.monotonic()
        else:
            self.scheduler.submit(sequence)
        return sequence

    def cancel(self, request_id: str) -> bool:
        """Cancel a request's unfinished sequences; return whether there were any."""
        found = [s for s in self.scheduler.unfinished() if s.request_id == request_id]
        for sequence in found:
            self.scheduler.cancel(sequence)
        if found:
            self.record.cancelled.append(request_id)
        return bool(found)

    def export_kv(self, request_id: str) -> bytes:
        """Return the KV cache of a request whose prefill is finished."""
        entry = self.kv_by_request.get(request_id)
        running = any(
            s.request_id == request_id and s.phase is Phase.PREFILL
            for s in self.scheduler.unfinished()
        )
        if entry is None or running:
            raise Rejection(404, "no KV cache of this request")
        return entry.blob(self.settings.kv_bytes_per_token)

    def import_kv(self, blob: bytes) -> str:
        """Store a KV cache and return its handle."""
        handle = f"kv-{self.incarnation}-{next(self._numbers)}"
        self._store_kv(self.kv_by_handle, handle, KvEntry.parse(blob))
        return handle

    def state(self) -> dict[str, Any]:
        """Return the current state, without reporting lag."""
        return {
            "name": self.settings.name,
            "incarnation": self.incarnation,
            "role": self.configuration.role.value,
            "models": list(self.configuration.models),
            "adapters": list(self.configuration.adapters),
            "version": self.configuration.version,
            "fencing": self.configuration.fencing,
            "open_order_id": self.orders.open_order_id,
            "last_order_id": self.orders.last_order_id,
            "last_order_status": self.orders.last_order_status,
            "running_sequences": len(self.scheduler.unfinished()),
        }

    def load(self) -> dict[str, Any]:
        """Return the newest load report that is at least as old as the lag."""
        timing = self.settings.timing
        lag_s = timing.scaled(timing.load_lag_s)
        if lag_s <= 0:
            return self._load_now()
        limit_s = time.monotonic() - lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= limit_s:
            self._reports.popleft()
        return self._reports[0][1]

    def read_cache_events(self, since: int) -> dict[str, Any]:
        """Return the published cache events numbered ``since`` or higher."""
        answer = self.cache_log.read(since, time.monotonic())
        return answer | {"incarnation": self.incarnation}

    def _load_now(self) -> dict[str, Any]:
        timing = self.settings.timing
        return {
            "engine": self.settings.name,
            "incarnation": self.incarnation,
            "taken_unix_s": time.time(),
            "queued_prefill_tokens": self.scheduler.queued_prefill_tokens(),
            "running_sequences": self.scheduler.running_sequences(),
            "queued_sequences": self.scheduler.queued_sequences(),
            "prefill_tokens_per_s": timing.prefill_rate(),
            "decode_tokens_per_s": timing.decode_rate(self.settings.max_sequences),
            "max_sequences": self.settings.max_sequences,
            "role": self.configuration.role.value,
        }

    def _parse(self, body: Mapping[str, Any]) -> Sequence:
        try:
            phase = Phase(body.get("phase", Phase.BOTH))
            prompt = body["prompt"]
            return Sequence(
                request_id=str(body["request_id"]),
                stream_id=f"{self.incarnation}-{next(self._numbers)}",
                tag=prompt_tag(prompt),
                phase=phase,
                priority=int(body.get("priority", 0)),
                crashes=self._contains_crash_marker(prompt),
                pieces=(),
                prompt_tokens=len(prompt.split()),
                prefix_tokens=len((body.get("prefix_text") or "").split()),
                end=int(body["max_tokens"]),
                needs_prefill=not body.get("kv_handle"),
            )
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            raise Rejection(400, f"malformed generation: {error!r}") from error

    def _contains_crash_marker(self, prompt: str) -> bool:
        marker = self.faults.crash_marker
        return marker is not None and marker in prompt

    def _check_acceptance(self, body: Mapping[str, Any], sequence: Sequence) -> None:
        if self.faults.refuse:
            raise Rejection(503, "engine refuses new work")
        if self.orders.changing_role:
            raise Rejection(503, "engine changes its role")
        if sequence.phase not in ROLE_PHASES[self.configuration.role]:
            raise Rejection(409, f"role {self.configuration.role} does not serve this")
        if body.get("model") not in self.configuration.models:
            raise Rejection(404, "model is not loaded")
        adapter = body.get("adapter")
        if adapter and adapter not in self.configuration.adapters:
            raise Rejection(404, "adapter is not loaded")
        if self.scheduler.queued_sequences() >= self.settings.max_queued:
            raise Rejection(503, "engine queue is full")
        self._check_kv(body, sequence)

    def _check_kv(self, body: Mapping[str, Any], sequence: Sequence) -> None:
        handle = body.get("kv_handle")
        if sequence.phase is Phase.DECODE and not handle:
            raise Rejection(409, "decoding needs a kv_handle")
        if not handle:
            return
        entry = self.kv_by_handle.get(handle)
        if entry is None:
            raise Rejection(409, "unknown kv_handle")
        if entry.tag != sequence.tag:
            raise Rejection(409, "kv_handle belongs to another prompt")

    def _cached_tokens(self, sequence: Sequence) -> int:
        return self.cache.cached_tokens(sequence.pieces)

    def _store_kv(
        self, entries: OrderedDict[str, KvEntry], key: str, entry: KvEntry
    ) -> None:
        entries[key] = entry
        if len(entries) > self.settings.kv_entries:
            entries.popitem(last=False)

    def _report_loop(self) -> None:
        timing = self.settings.timing
        interval_s = max(MIN_LOAD_INTERVAL_S, timing.scaled(timing.load_interval_s))
        while timing.load_lag_s > 0:
            gevent.sleep(interval_s)
            self._reports.append((time.monotonic(), self._load_now()))
            self.load()

    def _cleanup_loop(self) -> None:
        while True:
            gevent.sleep(CLEANUP_INTERVAL_S)
            self._expire_streams(time.monotonic())

    def _expire_streams(self, now_s: float) -> None:
        timing = self.settings.timing
        finished = [s for s in self.streams.values() if s.finish_reason]
        excess = len(finished) - self.settings.finished_streams
        for number, sequence in enumerate(finished):
            age_s = now_s - sequence.finished_s
            if number < excess or age_s > timing.scaled(timing.finished_keep_s):
                del self.streams[sequence.stream_id]
        for sequence in list(self.streams.values()):
            if sequence.readers or sequence.finish_reason:
                continue
            # A stream without a reader can be resumed for a limited time.
            unread_s = now_s - sequence.last_read_s
            if unread_s > timing.scaled(timing.orphan_keep_s):
                self.scheduler.cancel(sequence)
