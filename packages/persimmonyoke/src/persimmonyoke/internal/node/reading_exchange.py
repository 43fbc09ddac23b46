"""Exchange of engine readings between nodes: loads, profiles and cache events."""

import hashlib
import math
import struct
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.codec import decode_plain
from persimmonyoke.internal.membership.messages import Load
from persimmonyoke.internal.upstreams.api import (
    CacheEvent,
    CacheEventBatch,
    EngineState,
    LoadReport,
    Role,
)

# Prefixes of the engine name in load messages that hold no load report.
PROFILE_PREFIX = "profile/"
CACHE_PREFIX = "cache/"
# A node that missed a profile can't decode the reports that refer to it and polls the
# engine itself until the profile is repeated.
PROFILE_REPEAT_S = 10.0
# Rate of cache events that one node may receive from all others together. Events beyond
# it are dropped and marked as a gap; the index entries that they may concern age out.
EVENT_BYTES_PER_S = 2_000.0
EVENT_BURST_S = 2.0
MAX_EVENTS = 200
MAX_COUNT = 2**16 - 1
MAX_TOKENS = 2**32 - 1

# Profile digest, time in tenths of a second modulo 2**16, queued prefill tokens,
# running sequences, queued sequences.
_REPORT = struct.Struct("<HHIHH")
_TICKS_PER_S = 10
_TICKS = 2**16


@dataclass(frozen=True)
class CacheReading:
    """Hold a batch of cache events that a peer read from an engine."""

    engine: str
    batch: CacheEventBatch


@dataclass
class _Profile:
    state: EngineState
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    max_sequences: int
    read_unix_s: float

    def fields(self) -> list:
        state = self.state
        return [
            state.incarnation,
            state.role.value,
            list(state.models),
            list(state.adapters),
            state.version,
            self.prefill_tokens_per_s,
            self.decode_tokens_per_s,
            self.max_sequences,
        ]


Reading = LoadReport | EngineState | CacheReading


class ReadingExchange:
    """Encode this node's engine readings for peers and decode those of peers.

    A report has 12 bytes. Values that seldom change are sent as a profile of the
    engine, on each change and every ``PROFILE_REPEAT_S``.
    """

    def __init__(
        self,
        broadcast: Callable[[Load], None],
        *,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._broadcast = broadcast
        self._unix_clock = unix_clock
        self._states: dict[str, EngineState] = {}
        self._sent: dict[str, tuple[int, float]] = {}
        self._profiles: dict[str, tuple[int, _Profile]] = {}
        self._last_report_s: dict[str, float] = {}
        self._next_events: dict[str, int] = {}
        self._event_bytes = EVENT_BYTES_PER_S
        self._refilled_s = -math.inf

    def keep_only(self, engines: Iterable[str]) -> None:
        """Discard the data of all other engines."""
        names = set(engines)
        kept = (
            self._states,
            self._sent,
            self._profiles,
            self._last_report_s,
            self._next_events,
        )
        for table in kept:
            for name in table.keys() - names:
                del table[name]

    def last_report_s(self, engine: str) -> float:
        """Return the monotonic time of a peer's last decodable report on the engine."""
        return self._last_report_s.get(engine, -math.inf)

    # Sending

    def note_state(self, state: EngineState) -> None:
        """Store an engine's state for its profile."""
        self._states[state.name] = state

    def send_load(self, report: LoadReport, now_s: float) -> None:
        """Send a report, and the engine's profile if it is due."""
        state = self._states.get(report.engine)
        if state is None or (state.incarnation, state.role) != (
            report.incarnation,
            report.role,
        ):
            # The poller reads the state next, and the next report will match it.
            return
        profile = _Profile(
            state,
            _rounded(report.prefill_tokens_per_s),
            _rounded(report.decode_tokens_per_s),
            report.max_sequences,
            self._unix_clock(),
        )
        digest = _digest(profile.fields())
        sent = self._sent.get(report.engine)
        if sent is None or sent[0] != digest or now_s - sent[1] >= PROFILE_REPEAT_S:
            self._sent[report.engine] = (digest, now_s)
            payload = cbor2.dumps([profile.read_unix_s, profile.fields()])
            self._broadcast(Load(f"{PROFILE_PREFIX}{report.engine}", payload))
        payload = _REPORT.pack(
            digest,
            int(report.taken_unix_s * _TICKS_PER_S) % _TICKS,
            min(report.queued_prefill_tokens, MAX_TOKENS),
            min(report.running_sequences, MAX_COUNT),
            min(report.queued_sequences, MAX_COUNT),
        )
        self._broadcast(Load(report.engine, payload))

    def send_events(
        self, engine: str, batch: CacheEventBatch, now_s: float, *, hosts: int
    ) -> None:
        """Send the newest events within this host's share of the rate limit."""
        rate = EVENT_BYTES_PER_S / max(1, hosts)
        added = (now_s - self._refilled_s) * rate
        self._event_bytes = min(EVENT_BURST_S * rate, self._event_bytes + added)
        self._refilled_s = now_s
        length = len(batch.events[0].piece) if batch.events else 1
        count = min(MAX_EVENTS, int(self._event_bytes) // (length + 1))
        events = batch.events[-count:] if count > 0 else ()
        events = tuple(e for e in events if len(e.piece) == length)
        gap = batch.gap or len(events) < len(batch.events)
        if not events:
            # The receiver detects the gap from the number of the next event it gets.
            return
        self._event_bytes -= len(events) * (length + 1)
        first = events[0].number
        data = b"".join(bytes((e.stored,)) + e.piece for e in events)
        payload = cbor2.dumps([first, batch.next_number, gap, length, data])
        self._broadcast(Load(f"{CACHE_PREFIX}{engine}", payload))

    # Receiving

    def receive(self, message: Load, now_s: float) -> Reading | None:
        """Return the reading in a message, or ``None`` for an unusable or stale one.

        Raises ``ProtocolError`` if the message is malformed.
        """
        if message.engine.startswith(PROFILE_PREFIX):
            return self._receive_profile(message)
        if message.engine.startswith(CACHE_PREFIX):
            return self._receive_events(message)
        if len(message.payload) != _REPORT.size:
            return None
        digest, taken, prefill, running, queued = _REPORT.unpack(message.payload)
        known = self._profiles.get(message.engine)
        if known is None or known[0] != digest:
            return None
        self._last_report_s[message.engine] = now_s
        profile = known[1]
        return LoadReport(
            engine=message.engine,
            incarnation=profile.state.incarnation,
            taken_unix_s=self._nearest_unix_s(taken),
            queued_prefill_tokens=prefill,
            running_sequences=running,
            queued_sequences=queued,
            prefill_tokens_per_s=profile.prefill_tokens_per_s,
            decode_tokens_per_s=profile.decode_tokens_per_s,
            max_sequences=profile.max_sequences,
            role=profile.state.role,
        )

    def _nearest_unix_s(self, ticks: int) -> float:
        now_ticks = int(self._unix_clock() * _TICKS_PER_S)
        late = (now_ticks - ticks + _TICKS // 2) % _TICKS - _TICKS // 2
        return (now_ticks - late) / _TICKS_PER_S

    def _receive_profile(self, message: Load) -> EngineState | None:
        engine = message.engine.removeprefix(PROFILE_PREFIX)
        match decode_plain(message.payload):
            case [int() | float() as read_unix_s, list(fields)]:
                profile = _profile(engine, fields, float(read_unix_s))
            case _:
                raise ProtocolError("profile of an engine is malformed")
        known = self._profiles.get(engine)
        if known is not None and profile.read_unix_s < known[1].read_unix_s:
            # A host that was partitioned may still send an older profile.
            return None
        self._profiles[engine] = (_digest(profile.fields()), profile)
        return profile.state

    def _receive_events(self, message: Load) -> CacheReading:
        engine = message.engine.removeprefix(CACHE_PREFIX)
        match decode_plain(message.payload):
            case [
                int(first),
                int(next_number),
                bool(gap),
                int(length),
                bytes(data),
            ] if length > 0 and len(data) % (length + 1) == 0:
                pass
            case _:
                raise ProtocolError("cache events of a peer are malformed")
        expected = self._next_events.get(engine)
        self._next_events[engine] = next_number
        starts = range(0, len(data), length + 1)
        events = tuple(
            CacheEvent(first + i, bool(data[at]), data[at + 1 : at + 1 + length])
            for i, at in enumerate(starts)
        )
        # A message was superseded on a slow link, or another node polls the engine now.
        lost = gap or (expected is not None and first != expected)
        return CacheReading(engine, CacheEventBatch(events, next_number, lost))


def _profile(engine: str, fields: list, read_unix_s: float) -> _Profile:
    match fields:
        case [
            str(incarnation),
            str(role),
            list(models),
            list(adapters),
            str(version),
            float(prefill_rate),
            float(decode_rate),
            int(max_sequences),
        ] if role in tuple(Role) and all(isinstance(m, str) for m in models + adapters):
            state = EngineState(
                name=engine,
                incarnation=incarnation,
                role=Role(role),
                models=tuple(models),
                adapters=tuple(adapters),
                version=version,
                fencing=0,
                open_order_id=None,
                last_order_id=None,
                last_order_status=None,
                running_sequences=0,
            )
            return _Profile(
                state, prefill_rate, decode_rate, max_sequences, read_unix_s
            )
    raise ProtocolError("profile of an engine is malformed")


def _digest(fields: list) -> int:
    data = cbor2.dumps(fields)
    return int.from_bytes(hashlib.blake2b(data, digest_size=2).digest(), "little")


def _rounded(rate: float) -> float:
    """Round to two significant digits, so that few reports change the profile."""
    return float(f"{rate:.2g}")
