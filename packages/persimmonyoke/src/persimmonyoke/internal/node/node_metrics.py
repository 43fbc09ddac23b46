"""Metrics registry of one entry node, updated when it is rendered."""

from collections import Counter
from collections.abc import Callable, Mapping

from persimmonyoke.errors import ErrorKind
from persimmonyoke.internal.delivery.answer import DeliveryCount
from persimmonyoke.internal.invariants import MONITOR, Invariant
from persimmonyoke.internal.observability import CONTENT_TYPE, NodeMetrics, render
from persimmonyoke.internal.observability import Counter as MetricCounter
from persimmonyoke.internal.platform import Operation, Purpose, RateBudget

MAX_POOLS = 32


class CounterUpdater:
    """Export counts that a component keeps as a counter of the registry."""

    def __init__(self, metric: MetricCounter, label: str) -> None:
        self._metric = metric
        self._label = label
        self._shown: Counter[str] = Counter()

    def update(self, counts: Mapping) -> None:
        """Add the increases since the last update."""
        for name, count in list(counts.items()):
            value = str(getattr(name, "value", name))
            added = count - self._shown[value]
            if added > 0:
                self._metric.add(added, **{self._label: value})
                self._shown[value] = count


class EntryMetrics:
    """Render the metrics page of an entry node."""

    def __init__(self) -> None:
        self.registry = NodeMetrics()
        self._updates: list[Callable[[], None]] = []

    def add_counter(
        self, name: str, doc: str, label: str, bound, read: Callable[[], Mapping]
    ) -> None:
        """Export counts by one label; ``bound`` limits the label's values."""
        updater = CounterUpdater(
            self.registry.counter(name, doc, {label: bound}), label
        )
        self._updates.append(lambda: updater.update(read()))

    def add_labelled_gauge(
        self, name: str, doc: str, label: str, read: Callable[[], Mapping]
    ) -> None:
        """Export current values by one label."""
        gauge = self.registry.gauge(name, doc, {label: MAX_POOLS})

        def update() -> None:
            for key, value in read().items():
                gauge.set(value, **{label: key})

        self._updates.append(update)

    def add_gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Export one current value."""
        self.registry.gauge_from(name, doc, read)

    def add_process_metrics(self, budget: RateBudget) -> None:
        """Export the metrics of every process: store calls and invariant violations."""
        metric = self.registry.counter(
            "store_calls_total",
            "Calls of the key-value service",
            {"purpose": tuple(Purpose), "operation": tuple(Operation)},
        )
        shown: Counter = Counter()

        def update() -> None:
            for key, count in list(budget.calls.items()):
                purpose, operation = key
                metric.add(count - shown[key], purpose=purpose, operation=operation)
                shown[key] = count

        self._updates.append(update)
        self.add_counter(
            "store_refused_calls_total",
            "Calls that found no token in the budget",
            "purpose",
            tuple(Purpose),
            lambda: budget.refused,
        )
        self.add_counter(
            "invariant_violations_total",
            "Violations of invariants",
            "invariant",
            tuple(Invariant),
            lambda: MONITOR.violations,
        )

    def add_delivery_metrics(
        self, counts: Mapping[DeliveryCount, int], errors: Mapping[ErrorKind, int]
    ) -> None:
        """Export the counts of delivery and of the HTTP server for callers."""
        self.add_counter(
            "delivery_events_total",
            "Repairs of streams",
            "event",
            tuple(DeliveryCount),
            lambda: counts,
        )
        self.add_counter(
            "request_errors_total",
            "Error answers to callers",
            "kind",
            tuple(ErrorKind),
            lambda: errors,
        )

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the page."""
        for update in self._updates:
            update()
        return CONTENT_TYPE, render(self.registry)
