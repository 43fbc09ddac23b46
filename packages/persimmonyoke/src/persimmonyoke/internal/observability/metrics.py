"""Metrics of one node, with units in their names and bounded label values.

Values are kept in plain attributes and copied to aioprometheus only for rendering:
its collectors serialise the labels to JSON at each update, a cost that the token path
would incur for each event.
"""

import re
from abc import ABC, abstractmethod
from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Generic, TypeVar

import aioprometheus
from aioprometheus.renderer import render as render_registry

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
NAME_PREFIX = "persimmonyoke_"
UNITS = (
    "seconds",
    "bytes",
    "tokens",
    "ratio",
    "requests",
    "calls",
    "connections",
    "streams",
    "hosts",
    "engines",
    "claims",
    "watches",
    "number",
    "info",
)
"""Name suffixes of gauges and histograms; names of counters end in ``total``."""

OTHER = "other"
"""Label value that replaces all values beyond the bound of a label."""

MAX_LABEL_CHARACTERS = 64
LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.034,
    0.05,
    0.1,
    0.25,
    0.5,
    0.99,
    2.5,
    5.0,
    10.0,
    60.0,
)
"""Bucket bounds that resolve the latency targets of 1 ms, 3 ms, 34 ms and 0.99 s."""

# aioprometheus doesn't escape label values, so a quote or a line break would make the
# whole page unparsable.
_UNSAFE = re.compile(r'["\\\x00-\x1f\x7f]')

LabelBound = Iterable[str] | int
"""A fixed set of values, or the maximum number of distinct values."""

Labels = tuple[str, ...]


class _LabelLimiter:
    """Replace values beyond the bound of one label by ``other``."""

    def __init__(self, bound: LabelBound) -> None:
        self._limit = bound if isinstance(bound, int) else 0
        self._kept = set() if isinstance(bound, int) else {str(v) for v in bound}

    def value(self, raw: str) -> str:
        """Return the label value under which a raw value is recorded."""
        text = str(raw)
        if text in self._kept:
            return text
        safe = _UNSAFE.sub("_", text)[:MAX_LABEL_CHARACTERS]
        if safe not in self._kept and len(self._kept) >= self._limit:
            return OTHER
        self._kept.add(safe)
        return safe


ChildT = TypeVar("ChildT")


class _Family(ABC, Generic[ChildT]):
    """Hold one child for each combination of label values of a metric."""

    def __init__(self, labels: Mapping[str, LabelBound]) -> None:
        self._names = tuple(labels)
        self._limiters = tuple(_LabelLimiter(bound) for bound in labels.values())
        self._children: dict[Labels, ChildT] = {}

    def _child(self, labels: Mapping[str, str]) -> ChildT:
        if len(labels) != len(self._names):
            raise ValueError(f"labels {sorted(labels)}; accepted: {self._names}")
        values = tuple(
            limiter.value(labels[name])
            for name, limiter in zip(self._names, self._limiters, strict=True)
        )
        child = self._children.get(values)
        if child is None:
            child = self._children[values] = self._new_child()
        return child

    @abstractmethod
    def _new_child(self) -> ChildT:
        """Return a child without observations."""

    def _labelled(self) -> list[tuple[dict[str, str], ChildT]]:
        return [
            (dict(zip(self._names, values, strict=True)), child)
            for values, child in self._children.items()
        ]


class _Value:
    """Hold one changing value."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0


class Counter(_Family[_Value]):
    """Count events since the start of the node."""

    def _new_child(self) -> _Value:
        return _Value()

    def add(self, amount: float = 1.0, **labels: str) -> None:
        """Increase the counter; raise ``ValueError`` for a negative amount."""
        if amount < 0:
            raise ValueError(f"amount is {amount}; accepted: 0 or more")
        self._child(labels).value += amount

    def value(self, **labels: str) -> float:
        """Return the count for these label values."""
        return self._child(labels).value

    def publish(self, collector: aioprometheus.Counter) -> None:
        """Hand the values to the collector that is rendered."""
        for labels, child in self._labelled():
            collector.set(labels, child.value)


class Gauge(_Family[_Value]):
    """Hold a value that can go up and down."""

    def _new_child(self) -> _Value:
        return _Value()

    def set(self, value: float, **labels: str) -> None:
        """Replace the value."""
        self._child(labels).value = value

    def add(self, amount: float, **labels: str) -> None:
        """Change the value by an amount of either sign."""
        self._child(labels).value += amount

    def value(self, **labels: str) -> float:
        """Return the value for these label values."""
        return self._child(labels).value

    def publish(self, collector: aioprometheus.Gauge) -> None:
        """Hand the values to the collector that is rendered."""
        for labels, child in self._labelled():
            collector.set(labels, child.value)


class _Buckets:
    """Hold the counts of one histogram."""

    __slots__ = ("counts", "sum")

    def __init__(self, size: int) -> None:
        self.counts = [0] * size
        self.sum = 0.0


class Histogram(_Family[_Buckets]):
    """Count observations in buckets."""

    def __init__(
        self, labels: Mapping[str, LabelBound], bounds: Sequence[float]
    ) -> None:
        super().__init__(labels)
        self.bounds = (*sorted(bounds), float("inf"))

    def _new_child(self) -> _Buckets:
        return _Buckets(len(self.bounds))

    def observe(self, value: float, **labels: str) -> None:
        """Add one observation."""
        child = self._child(labels)
        child.counts[bisect_left(self.bounds, value)] += 1
        child.sum += value

    def publish(self, collector: aioprometheus.Histogram) -> None:
        """Hand the counts to the collector that is rendered."""
        for labels, child in self._labelled():
            published = aioprometheus.histogram.Histogram(*self.bounds)
            cumulative = 0
            for bound, count in zip(self.bounds, child.counts, strict=True):
                cumulative += count
                published.buckets[bound] = cumulative
            published.observations = cumulative
            published.sum = child.sum
            collector.set_value(labels, published)


class NodeMetrics:
    """Create and hold the metrics of one node; a process may run several nodes."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._publishers: list[Callable[[], None]] = []

    def counter(
        self, name: str, doc: str, labels: Mapping[str, LabelBound] | None = None
    ) -> Counter:
        """Create a counter whose name ends in ``_total``."""
        _check_name(name, ("total",))
        collector = aioprometheus.Counter(
            NAME_PREFIX + name, doc, registry=self.registry
        )
        counter = Counter(labels or {})
        self._publishers.append(lambda: counter.publish(collector))
        return counter

    def gauge(
        self, name: str, doc: str, labels: Mapping[str, LabelBound] | None = None
    ) -> Gauge:
        """Create a gauge whose name ends in one of ``UNITS``."""
        _check_name(name, UNITS)
        collector = aioprometheus.Gauge(NAME_PREFIX + name, doc, registry=self.registry)
        gauge = Gauge(labels or {})
        self._publishers.append(lambda: gauge.publish(collector))
        return gauge

    def gauge_from(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Create a gauge whose value is read whenever the metrics are rendered."""
        gauge = self.gauge(name, doc)
        self._publishers.insert(0, lambda: gauge.set(read()))

    def histogram(
        self,
        name: str,
        doc: str,
        labels: Mapping[str, LabelBound] | None = None,
        *,
        bounds: Sequence[float] = LATENCY_BUCKETS_S,
    ) -> Histogram:
        """Create a histogram whose name ends in one of ``UNITS``."""
        _check_name(name, UNITS)
        histogram = Histogram(labels or {}, bounds)
        collector = aioprometheus.Histogram(
            NAME_PREFIX + name, doc, registry=self.registry, buckets=histogram.bounds
        )
        self._publishers.append(lambda: histogram.publish(collector))
        return histogram

    def publish(self) -> None:
        """Copy all values to the registry."""
        for publisher in self._publishers:
            publisher()


def render(metrics: NodeMetrics) -> bytes:
    """Return the node's metrics in the Prometheus text format."""
    metrics.publish()
    body, _ = render_registry(metrics.registry, ())
    return body


def _check_name(name: str, endings: Sequence[str]) -> None:
    if name.rsplit("_", 1)[-1] not in endings:
        raise ValueError(
            f"name of metric is {name!r}; accepted endings: {', '.join(endings)}"
        )
