"""Load estimates of engines from lagging reports and this host's dispatches."""

import itertools
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from persimmonyoke.internal.upstreams.api import LoadReport, Role

# Report age at which the report and the mean of all engines of the same role contribute
# equally to an estimate. Reports lag by about 2 s.
REPORT_HALF_LIFE_S = 5.0
# A larger difference between receipt and time stamp is attributed to clock skew.
MAX_LAG_S = 10.0
# A dispatch whose completion was not recorded is dropped after this time.
MAX_DISPATCH_S = 600.0
MAX_ENGINES = 4_096
MAX_OPEN_PER_ENGINE = 4_096

DispatchId = int


@dataclass(frozen=True)
class LoadEstimate:
    """Hold the estimated load of one engine.

    ``running_sequences`` counts the accepted sequences, running and queued.
    ``age_s`` is the age of the last report, infinite without one. The rates and
    ``max_sequences`` are 0 before the first report.
    """

    queued_prefill_tokens: float
    running_sequences: float
    age_s: float
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    max_sequences: int


@dataclass
class Dispatch:
    """Hold one dispatch of this host."""

    engine: str
    prefill_tokens: int
    output_tokens: int
    dispatched_s: float
    prefilled_s: float | None = None


@dataclass
class EngineLoad:
    """Hold the last report of an engine and the corrections for this host's work.

    The counters correct what the report cannot reflect: ``new_*`` is work dispatched
    after its time stamp that is still running, ``ended_*`` is work that the report
    includes and that has ended since.
    """

    report: LoadReport | None = None
    taken_s: float = float("-inf")
    min_delay_s: float = float("inf")
    open: OrderedDict[DispatchId, Dispatch] = field(default_factory=OrderedDict)
    ended: list[tuple[Dispatch, float]] = field(default_factory=list)
    new_sequences: int = 0
    new_prefill_tokens: int = 0
    ended_sequences: int = 0
    ended_prefill_tokens: int = 0
    # Prefill tokens dispatched after the report's time stamp, whether completed or not.
    sent: deque[tuple[float, int]] = field(default_factory=deque)
    sent_prefill_tokens: int = 0


@dataclass
class RoleMean:
    """Sum the reports of the engines of one role."""

    engines: int = 0
    queued_prefill_tokens: float = 0.0
    running_sequences: float = 0.0

    def add(self, report: LoadReport, sign: int) -> None:
        """Add or, with sign -1, remove a report."""
        self.engines += sign
        self.queued_prefill_tokens += sign * report.queued_prefill_tokens
        self.running_sequences += sign * total_sequences(report)


def total_sequences(report: LoadReport) -> int:
    """Return the sequences that an engine has accepted."""
    return report.running_sequences + report.queued_sequences


class LoadView:
    """Estimate the load of all engines in bounded memory.

    Times are monotonic seconds. Reports carry wall-clock time stamps, which
    ``unix_clock`` converts when a report arrives.
    """

    def __init__(self, *, unix_clock: Callable[[], float] = time.time) -> None:
        self._unix_clock = unix_clock
        self._engines: OrderedDict[str, EngineLoad] = OrderedDict()
        self._dispatches: dict[DispatchId, str] = {}
        self._ids = itertools.count(1)
        self._means: dict[Role, RoleMean] = {}
        # Number of hosts, including this one, that are assumed to dispatch at the same
        # rate. With 0 the estimate ignores both the work of other hosts and the work
        # that engines have completed since their reports.
        self.live_hosts = 0

    def note_report(self, report: LoadReport, now_s: float) -> None:
        """Record a report; one that is older than the last is ignored."""
        load = self._load(report.engine)
        if is_outdated(report, load.report):
            return
        taken_s = now_s - self._age_s(load, report)
        if load.report is None or load.report.incarnation == report.incarnation:
            load.taken_s = max(load.taken_s, taken_s)
        else:
            self._drop_before(load, taken_s)
            load.taken_s = taken_s
        self._replace_report(load, report)
        self._recount(load, now_s)

    def note_dispatch(
        self, engine: str, prefill_tokens: int, output_tokens: int, now_s: float
    ) -> DispatchId:
        """Record work that this host has just sent to an engine."""
        load = self._load(engine)
        dispatch_id = next(self._ids)
        dispatch = Dispatch(engine, prefill_tokens, output_tokens, now_s)
        load.open[dispatch_id] = dispatch
        self._dispatches[dispatch_id] = engine
        load.new_sequences += 1
        load.new_prefill_tokens += prefill_tokens
        load.sent.append((now_s, prefill_tokens))
        load.sent_prefill_tokens += prefill_tokens
        if len(load.sent) > MAX_OPEN_PER_ENGINE:
            load.sent_prefill_tokens -= load.sent.popleft()[1]
        if len(load.open) > MAX_OPEN_PER_ENGINE:
            self.note_completion(next(iter(load.open)), now_s)
        return dispatch_id

    def note_first_token(self, dispatch_id: DispatchId, now_s: float) -> None:
        """Record that the prefill of a dispatch is complete."""
        load, dispatch = self._find(dispatch_id)
        if dispatch is None or dispatch.prefilled_s is not None:
            return
        dispatch.prefilled_s = now_s
        if dispatch.dispatched_s > load.taken_s:
            load.new_prefill_tokens -= dispatch.prefill_tokens
        else:
            load.ended_prefill_tokens += dispatch.prefill_tokens

    def note_completion(self, dispatch_id: DispatchId, now_s: float) -> None:
        """Record that a dispatch has ended; unknown ids are ignored."""
        load, dispatch = self._find(dispatch_id)
        if dispatch is None:
            return
        self.note_first_token(dispatch_id, now_s)
        del load.open[dispatch_id]
        del self._dispatches[dispatch_id]
        if dispatch.dispatched_s > load.taken_s:
            load.new_sequences -= 1
        else:
            load.ended_sequences += 1
        # A report that arrives later may have been taken before this completion.
        load.ended.append((dispatch, now_s))
        if len(load.ended) > MAX_OPEN_PER_ENGINE:
            del load.ended[: MAX_OPEN_PER_ENGINE // 2]

    def estimate(self, engine: str, now_s: float) -> LoadEstimate:
        """Return the estimated load of an engine."""
        load = self._engines.get(engine) or EngineLoad()
        report = load.report
        if report is None:
            return self._estimate_without_report(load)
        age_s = max(0.0, now_s - load.taken_s)
        weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        mean = self._means[report.role]
        prefill = interpolate(
            report.queued_prefill_tokens,
            mean.queued_prefill_tokens / mean.engines,
            weight,
        )
        sequences = interpolate(
            total_sequences(report), mean.running_sequences / mean.engines, weight
        )
        # This host's own work is known exactly, so it counts in full however old the
        # report is.
        prefill = max(0.0, prefill - load.ended_prefill_tokens)
        sequences = max(0.0, sequences - load.ended_sequences)
        queued = prefill + load.new_prefill_tokens
        if self.live_hosts:
            queued = self._scaled_prefill(load, report, age_s)
        return LoadEstimate(
            queued_prefill_tokens=queued,
            running_sequences=sequences + load.new_sequences,
            age_s=age_s,
            prefill_tokens_per_s=report.prefill_tokens_per_s,
            decode_tokens_per_s=report.decode_tokens_per_s,
            max_sequences=report.max_sequences,
        )

    def _scaled_prefill(
        self, load: EngineLoad, report: LoadReport, age_s: float
    ) -> float:
        """Return the prefill queue including other hosts' work, less completed work."""
        arrived = self.live_hosts * load.sent_prefill_tokens
        done = report.prefill_tokens_per_s * age_s
        return max(0.0, report.queued_prefill_tokens + arrived - done)

    def report(self, engine: str) -> LoadReport | None:
        """Return the last report of an engine."""
        load = self._engines.get(engine)
        return load.report if load else None

    def forget(self, engine: str) -> None:
        """Remove an engine that is no longer in the directory."""
        load = self._engines.pop(engine, None)
        if load is None:
            return
        if load.report is not None:
            self._means[load.report.role].add(load.report, -1)
        for dispatch_id in load.open:
            del self._dispatches[dispatch_id]

    def _estimate_without_report(self, load: EngineLoad) -> LoadEstimate:
        engines = sum(mean.engines for mean in self._means.values())
        prefill = sum(mean.queued_prefill_tokens for mean in self._means.values())
        running = sum(mean.running_sequences for mean in self._means.values())
        # An engine without a report gets the mean load; it is not assumed to be idle.
        return LoadEstimate(
            queued_prefill_tokens=prefill / max(1, engines) + load.new_prefill_tokens,
            running_sequences=running / max(1, engines) + load.new_sequences,
            age_s=float("inf"),
            prefill_tokens_per_s=0.0,
            decode_tokens_per_s=0.0,
            max_sequences=0,
        )

    def _load(self, engine: str) -> EngineLoad:
        load = self._engines.get(engine)
        if load is None:
            load = self._engines[engine] = EngineLoad()
            if len(self._engines) > MAX_ENGINES:
                self.forget(next(iter(self._engines)))
        else:
            self._engines.move_to_end(engine)
        return load

    def _find(self, dispatch_id: DispatchId) -> tuple[EngineLoad, Dispatch | None]:
        engine = self._dispatches.get(dispatch_id)
        load = self._engines.get(engine) if engine is not None else None
        if load is None:
            return EngineLoad(), None
        return load, load.open.get(dispatch_id)

    def _age_s(self, load: EngineLoad, report: LoadReport) -> float:
        """Return the age of a report on arrival, corrected for clock skew.

        If the smallest difference observed is outside the possible range of lags, the
        clocks of the two hosts differ. That difference is then taken as zero lag.
        """
        delay_s = self._unix_clock() - report.taken_unix_s
        if delay_s - load.min_delay_s > MAX_LAG_S:
            # One of the clocks was adjusted, so earlier differences are meaningless.
            load.min_delay_s = delay_s
        load.min_delay_s = min(load.min_delay_s, delay_s)
        if not 0.0 <= load.min_delay_s <= MAX_LAG_S:
            delay_s -= load.min_delay_s
        return min(max(0.0, delay_s), MAX_LAG_S)

    def _replace_report(self, load: EngineLoad, report: LoadReport) -> None:
        if load.report is not None:
            self._means[load.report.role].add(load.report, -1)
        self._means.setdefault(report.role, RoleMean()).add(report, 1)
        load.report = report

    def _recount(self, load: EngineLoad, now_s: float) -> None:
        """Recompute which of this host's work the report includes."""
        taken_s = load.taken_s
        self._expire(load, now_s)
        load.ended = [item for item in load.ended if item[1] > taken_s]
        while load.sent and load.sent[0][0] <= taken_s:
            load.sent_prefill_tokens -= load.sent.popleft()[1]
        dispatches = load.open.values()
        new = [d for d in dispatches if d.dispatched_s > taken_s]
        load.new_sequences = len(new)
        load.new_prefill_tokens = sum(
            d.prefill_tokens for d in new if d.prefilled_s is None
        )
        contained = [d for d, _ in load.ended if d.dispatched_s <= taken_s]
        load.ended_sequences = len(contained)
        prefilled = [*contained, *(d for d in dispatches if d.dispatched_s <= taken_s)]
        load.ended_prefill_tokens = sum(
            d.prefill_tokens
            for d in prefilled
            if d.prefilled_s is not None and d.prefilled_s > taken_s
        )

    def _expire(self, load: EngineLoad, now_s: float) -> None:
        while load.open:
            dispatch_id, dispatch = next(iter(load.open.items()))
            if now_s - dispatch.dispatched_s <= MAX_DISPATCH_S:
                return
            del load.open[dispatch_id]
            del self._dispatches[dispatch_id]

    def _drop_before(self, load: EngineLoad, limit_s: float) -> None:
        """Drop this host's work that ended with an earlier incarnation."""
        for dispatch_id, dispatch in list(load.open.items()):
            if dispatch.dispatched_s <= limit_s:
                del load.open[dispatch_id]
                del self._dispatches[dispatch_id]
        load.ended = [item for item in load.ended if item[0].dispatched_s > limit_s]


def is_outdated(report: LoadReport, previous: LoadReport | None) -> bool:
    """Return whether a report is older than the previous one.

    A step back by more than the maximum lag means that the engine's clock was adjusted,
    not that the report is late.
    """
    if previous is None:
        return False
    return 0.0 < previous.taken_unix_s - report.taken_unix_s <= MAX_LAG_S


def interpolate(reported: float, mean: float, weight: float) -> float:
    """Return the weighted average of a reported value and the mean."""
    return weight * reported + (1.0 - weight) * mean
