"""Directory of upstreams, merged from host list, leaving marks and active preset."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Protocol

from persimmonyoke.internal.invariants import Invariant, check_invariant
from persimmonyoke.internal.upstreams.api import EngineState, LoadReport, Upstream
from persimmonyoke.internal.upstreams.leaving_marks import LeavingMarks

# Time within which an observed leaving mark reaches every process, so that all of them
# stop dispatching new work.
LEAVING_GRACE_S = 3.0
# The host list lags, and an upstream may be missing from it temporarily. Its entry is
# kept for this long, so that its marks still apply when it is listed again.
RETENTION_S = 3_600.0

LEAVING = "leaving"


class ListedHost(Protocol):
    """Describe the fields of a host list entry that the directory reads."""

    name: str
    role: str
    pool: str
    address: str
    availability_zone: str
    region: str
    state: str


class UpstreamKind(StrEnum):
    """Roles of the host list entries that the directory holds."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass
class KnownUpstream:
    """Hold the merged data about one upstream."""

    upstream: Upstream
    kind: UpstreamKind
    listed: bool = True
    listed_s: float = 0.0
    listed_leaving_s: float | None = None


class Directory:
    """Merge what is known about the upstreams of one firm.

    A leaving (draining) upstream gets no new work. A leaving mark is final for its
    incarnation. Any incarnation also counts as leaving while the host list says so, or
    while the active preset lists its availability zone as under maintenance.
    """

    def __init__(self) -> None:
        self._known: dict[str, KnownUpstream] = {}
        self._marks = LeavingMarks()
        self._maintenance_since: dict[str, float] = {}
        # Cached by kind and pool, so that a request does not scan all upstreams.
        self._views: dict[tuple[UpstreamKind, str], tuple[Upstream, ...]] = {}

    def set_hosts(self, entries: Iterable[ListedHost], now_s: float) -> None:
        """Merge a new host list; entries of other roles are ignored."""
        self._views.clear()
        kinds = set(UpstreamKind)
        listed_entries = {entry.name: entry for entry in entries if entry.role in kinds}
        for entry in listed_entries.values():
            self._merge(entry, now_s)
        for name, known in list(self._known.items()):
            known.listed = name in listed_entries
            if now_s - known.listed_s > RETENTION_S:
                del self._known[name]
        kept = frozenset(self._known)
        self._marks.evict_before(now_s - RETENTION_S, kept=kept)

    def set_maintenance_zones(self, zones: Iterable[str], now_s: float) -> None:
        """Replace the zones that the active preset lists as under maintenance."""
        self._views.clear()
        since = self._maintenance_since
        self._maintenance_since = {zone: since.get(zone, now_s) for zone in zones}

    def note_leaving(
        self, name: str, incarnation: str, now_s: float, *, age_s: float = 0.0
    ) -> None:
        """Record a leaving mark that this process or a peer observed ``age_s`` ago."""
        self._views.clear()
        known = self._known.get(name)
        if known is not None and not incarnation:
            incarnation = known.upstream.incarnation
        self._marks.add(name, incarnation, now_s - max(0.0, age_s))

    def note_state(self, state: EngineState) -> None:
        """Update role, models and incarnation from an engine's state."""
        known = self._known.get(state.name)
        if known is None:
            return
        self._learn_incarnation(known, state.incarnation)
        self._update(
            known,
            role=state.role,
            models=state.models,
            incarnation=state.incarnation,
        )

    def note_report(self, report: LoadReport) -> None:
        """Update the role from an engine's load report.

        A report lags and may come from an earlier incarnation, so it sets the
        incarnation only while none is known.
        """
        known = self._known.get(report.engine)
        if known is None:
            return
        if not known.upstream.incarnation:
            self._learn_incarnation(known, report.incarnation)
            self._update(known, incarnation=report.incarnation)
        if known.upstream.incarnation == report.incarnation:
            self._update(known, role=report.role)

    def engines(self, pool: str, now_s: float) -> tuple[Upstream, ...]:
        """Return the listed engines of a pool, with ``leaving`` set."""
        return self._select(UpstreamKind.ENGINE, pool, now_s)

    def services(self, pool: str, now_s: float) -> tuple[Upstream, ...]:
        """Return the listed replicas of a service, with ``leaving`` set."""
        return self._select(UpstreamKind.SERVICE, pool, now_s)

    def find(self, name: str, now_s: float) -> Upstream | None:
        """Return an upstream by name, even if it is leaving or no longer listed."""
        known = self._known.get(name)
        return self._view(known, now_s) if known else None

    def may_dispatch(self, upstream: Upstream, now_s: float) -> bool:
        """Return whether new work may be dispatched to the upstream."""
        return self.leaving_since(upstream, now_s) is None

    def check_dispatch(self, upstream: Upstream, now_s: float) -> bool:
        """Check the invariant ``no_new_work_when_leaving`` before a dispatch.

        Returns ``False`` for a leaving upstream, so that the caller chooses another
        one. Choosing it after the grace period violates the invariant, because the
        selection then ignored the leaving mark.
        """
        since_s = self.leaving_since(upstream, now_s)
        if since_s is None:
            return True
        leaving_s = now_s - since_s
        check_invariant(
            leaving_s <= LEAVING_GRACE_S,
            Invariant.NO_NEW_WORK_WHEN_LEAVING,
            f"{upstream.name} has been leaving for {leaving_s:.1f} s",
        )
        return False

    def leaving_since(self, upstream: Upstream, now_s: float) -> float | None:
        """Return when an upstream was first observed leaving, or ``None``."""
        known = self._known.get(upstream.name)
        incarnation = known.upstream.incarnation if known else upstream.incarnation
        sources = [
            self._marks.since(upstream.name, incarnation),
            self._maintenance_since.get(upstream.availability_zone),
            known.listed_leaving_s if known else None,
        ]
        observed = [since_s for since_s in sources if since_s is not None]
        return min(observed, default=None)

    def _merge(self, entry: ListedHost, now_s: float) -> None:
        known = self._known.get(entry.name)
        if known is None or known.upstream.address != entry.address:
            # Another address means another process, whose state must be read anew.
            if known is not None:
                self._marks.clear_unknown(entry.name)
            upstream = Upstream(
                name=entry.name,
                pool=entry.pool,
                address=entry.address,
                availability_zone=entry.availability_zone,
            )
            known = KnownUpstream(upstream, UpstreamKind(entry.role))
            self._known[entry.name] = known
        known.upstream = replace(
            known.upstream,
            pool=entry.pool,
            availability_zone=entry.availability_zone,
            region=entry.region,
        )
        self._merge_state(known, entry.state == LEAVING, now_s)
        known.listed_s = now_s

    def _merge_state(self, known: KnownUpstream, leaving: bool, now_s: float) -> None:
        name = known.upstream.name
        if leaving and known.listed_leaving_s is None:
            known.listed_leaving_s = now_s
            # Only the incarnation at the first observation gets a final mark, because
            # a lagging host list still says leaving after the successor has started.
            self._marks.add(name, known.upstream.incarnation, now_s)
        elif not leaving:
            if known.listed_leaving_s is not None or not known.listed:
                self._marks.clear_unknown(name)
            known.listed_leaving_s = None

    def _update(self, known: KnownUpstream, **changes: object) -> None:
        updated = replace(known.upstream, **changes)
        if updated != known.upstream:
            known.upstream = updated
            self._views.clear()

    def _learn_incarnation(self, known: KnownUpstream, incarnation: str) -> None:
        if not known.upstream.incarnation:
            self._marks.learn(known.upstream.name, incarnation)

    def _select(
        self, kind: UpstreamKind, pool: str, now_s: float
    ) -> tuple[Upstream, ...]:
        views = self._views.get((kind, pool))
        if views is None:
            views = tuple(
                self._view(known, now_s)
                for _, known in sorted(self._known.items())
                if known.listed and known.kind == kind and known.upstream.pool == pool
            )
            self._views[kind, pool] = views
        return views

    def _view(self, known: KnownUpstream, now_s: float) -> Upstream:
        leaving = self.leaving_since(known.upstream, now_s) is not None
        return replace(known.upstream, leaving=leaving)
