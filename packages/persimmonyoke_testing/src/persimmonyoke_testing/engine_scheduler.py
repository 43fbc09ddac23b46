"""Continuous batching of the simulated engine."""

import heapq
import itertools
import time
from collections import deque
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from persimmonyoke.internal.upstreams.api import Phase
from persimmonyoke_testing.engine_cache import PrefixCache
from persimmonyoke_testing.engine_record import EngineRecord
from persimmonyoke_testing.engine_settings import EngineFaults, EngineSettings

# Without enough CPU time the process falls behind the timing model. Beyond this lag it
# does not run the overdue steps back to back, which would starve the request handlers.
MAX_STEP_LAG_S = 0.25


@dataclass(eq=False)
class Sequence:
    """Track one request while it runs and while its stream is retained.

    ``produced`` and ``end`` count tokens of the whole answer, including the prefix.
    """

    request_id: str
    stream_id: str
    tag: str
    phase: Phase
    priority: int
    crashes: bool
    pieces: tuple[bytes, ...]
    prompt_tokens: int
    prefix_tokens: int
    end: int
    needs_prefill: bool = True
    produced: int = 0
    prefill_left: int = 0
    finish_reason: str | None = None
    finished_s: float = 0.0
    readers: int = 0
    last_read_s: float = field(default_factory=time.monotonic)
    changed: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        self.produced = self.prefix_tokens
        self.prefill_left = self.prompt_tokens + self.prefix_tokens


class Scheduler:
    """Run sequences in steps: one prefill chunk, then one token for each sequence."""

    def __init__(
        self,
        settings: EngineSettings,
        faults: EngineFaults,
        cache: PrefixCache,
        record: EngineRecord,
    ) -> None:
        self.settings = settings
        self.faults = faults
        self.cache = cache
        self.record = record
        self.crash_requested = Event()
        self.drained = Event()
        self.drained.set()
        self._queued: list[tuple[int, int, Sequence]] = []
        self._arrivals = itertools.count()
        self._prefilling: deque[Sequence] = deque()
        self._decoding: list[Sequence] = []
        self._work = Event()

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence; higher priorities run first."""
        entry = (-sequence.priority, next(self._arrivals), sequence)
        heapq.heappush(self._queued, entry)
        self.drained.clear()
        self._work.set()

    def cancel(self, sequence: Sequence) -> None:
        """Cancel a sequence; a later step frees its slot."""
        if sequence.finish_reason is None:
            self._finish(sequence, "cancelled")
            self._work.set()

    def unfinished(self) -> list[Sequence]:
        """Return the sequences that are queued or running."""
        queued = [sequence for _, _, sequence in self._queued]
        everything = [*queued, *self._prefilling, *self._decoding]
        return [sequence for sequence in everything if not sequence.finish_reason]

    def queued_prefill_tokens(self) -> int:
        """Return the number of tokens that still have to be prefilled."""
        waiting = [sequence for _, _, sequence in self._queued]
        return sum(s.prefill_left for s in [*waiting, *self._prefilling])

    def queued_sequences(self) -> int:
        """Return how many sequences are waiting for a slot in the batch."""
        return len(self._queued)

    def running_sequences(self) -> int:
        """Return how many sequences are being prefilled or decoded."""
        return len(self._prefilling) + len(self._decoding)

    def run(self) -> None:
        """Execute steps until the task is killed."""
        due_s = time.monotonic()
        while True:
            self._admit()
            if not self.running_sequences():
                self.drained.set()
                self._work.clear()
                self._work.wait()
                due_s = time.monotonic()
                continue
            chunk = self._prefill_chunk()
            batch = list(self._decoding)
            tokens = sum(count for _, count in chunk)
            step_s = self.settings.timing.step_s(tokens, len(batch))
            due_s += step_s * self.faults.slow_factor
            due_s = self._sleep_until(due_s)
            self._finish_chunk(chunk)
            self._decode(batch)

    def _sleep_until(self, due_s: float) -> float:
        delay_s = due_s - time.monotonic()
        # Sleeping for 0 s lets the request handlers run when steps are overdue.
        gevent.sleep(max(0.0, delay_s))
        if delay_s < -MAX_STEP_LAG_S:
            return time.monotonic()
        return due_s

    def _admit(self) -> None:
        while self._queued and self.running_sequences() < self.settings.max_sequences:
            _, _, sequence = heapq.heappop(self._queued)
            if sequence.finish_reason is None:
                self._start(sequence)

    def _start(self, sequence: Sequence) -> None:
        if not sequence.needs_prefill:
            sequence.prefill_left = 0
            self._decoding.append(sequence)
            return
        cached = min(self.cache.cached_tokens(sequence.pieces), sequence.prompt_tokens)
        # The last prompt token is always computed, as its output is the first token.
        sequence.prefill_left = max(1, sequence.prefill_left - cached)
        self.record.counts["cached_tokens"] += cached
        self.record.counts["prefill_tokens"] += sequence.prefill_left
        self._prefilling.append(sequence)

    def _prefill_chunk(self) -> list[tuple[Sequence, int]]:
        budget = self.settings.timing.prefill_chunk_tokens
        chunk = []
        for sequence in self._prefilling:
            if budget <= 0:
                break
            count = min(budget, sequence.prefill_left)
            chunk.append((sequence, count))
            budget -= count
        return chunk

    def _finish_chunk(self, chunk: list[tuple[Sequence, int]]) -> None:
        for sequence, count in chunk:
            sequence.prefill_left -= count
        while self._prefilling and (
            self._prefilling[0].prefill_left <= 0 or self._prefilling[0].finish_reason
        ):
            self._finish_prefill(self._prefilling.popleft())

    def _finish_prefill(self, sequence: Sequence) -> None:
        if sequence.finish_reason is not None:
            return
        if sequence.crashes:
            self.crash_requested.set()
            return
        self.cache.store(sequence.pieces, time.monotonic())
        if sequence.phase is Phase.PREFILL:
            self._finish(sequence, "prefilled")
            return
        self._decoding.append(sequence)
        self._decode([sequence])

    def _decode(self, batch: list[Sequence]) -> None:
        per_event = self.settings.tokens_per_event
        ended = False
        produced = 0
        for sequence in batch:
            if sequence.finish_reason is None:
                sequence.produced += 1
                produced += 1
                if sequence.produced >= sequence.end:
                    self._finish(sequence, "length")
            if sequence.finish_reason is not None:
                ended = True
                continue
            sent = sequence.produced - sequence.prefix_tokens
            if sent == 1 or sent % per_event == 0:
                sequence.changed.set()
        self.record.counts["tokens"] += produced
        if ended:
            self._decoding = [s for s in self._decoding if s.finish_reason is None]

    def _finish(self, sequence: Sequence, reason: str) -> None:
        sequence.finish_reason = reason
        sequence.finished_s = time.monotonic()
        sequence.changed.set()
