"""Definitions of the metrics that an entry node exports."""

import time
from dataclasses import dataclass

from persimmonyoke.internal.callers.server import CallerServer
from persimmonyoke.internal.delivery.delivery import Delivery
from persimmonyoke.internal.membership.peers import PeerService
from persimmonyoke.internal.node.admission_gate import PoolAdmission
from persimmonyoke.internal.node.claim_gate import ClaimServiceGate
from persimmonyoke.internal.node.drains import DrainView
from persimmonyoke.internal.node.engine_router import EngineRouter
from persimmonyoke.internal.node.node_metrics import MAX_POOLS, EntryMetrics
from persimmonyoke.internal.platform import RateBudget
from persimmonyoke.internal.presets import ConfigurationView


@dataclass(frozen=True)
class MetricSources:
    """Hold the components of an entry node that its metrics are read from."""

    budget: RateBudget
    delivery: Delivery
    callers: CallerServer
    gate: ClaimServiceGate
    router: EngineRouter
    view: ConfigurationView
    peers: PeerService
    drains: DrainView
    admission: PoolAdmission


def entry_metrics(sources: MetricSources) -> EntryMetrics:
    """Return the metrics of a node, which read its components when rendered."""
    metrics = EntryMetrics()
    metrics.add_process_metrics(sources.budget)
    metrics.add_delivery_metrics(sources.delivery.counts, sources.callers.app.errors)
    _add_pools(metrics, sources)
    metrics.add_counter(
        "claim_outcomes_total",
        "Outcomes of claims",
        "outcome",
        16,
        lambda: sources.gate.outcomes,
    )
    metrics.add_counter(
        "no_route_total",
        "Requests without an engine",
        "reason",
        16,
        lambda: sources.router.no_route,
    )
    metrics.add_gauge(
        "configuration_revision_number",
        "Revision in force",
        lambda: sources.view.number,
    )
    metrics.add_gauge(
        "connected_peers_hosts",
        "Peers with a link",
        lambda: len(sources.peers.connected_peers()),
    )
    metrics.add_gauge(
        "requests_in_progress_requests",
        "Requests that are received or answered",
        lambda: sources.callers.requests_in_progress,
    )
    metrics.add_gauge(
        "draining_engines",
        "Engines without new work before an order",
        lambda: len(sources.drains.draining(time.monotonic())),
    )
    return metrics


def _add_pools(metrics: EntryMetrics, sources: MetricSources) -> None:
    queues = sources.admission.queues
    offered = sources.router.offered
    metrics.add_labelled_gauge(
        "waiting_requests",
        "Requests that wait for admission",
        "pool",
        lambda: {pool: len(item.queue) for pool, item in queues.items()},
    )
    metrics.add_labelled_gauge(
        "admitted_requests",
        "Requests that hold a slot",
        "pool",
        lambda: {pool: item.queue.in_flight for pool, item in queues.items()},
    )
    metrics.add_counter(
        "offered_prefill_tokens_total",
        "Prompt tokens that callers asked for",
        "pool",
        MAX_POOLS,
        lambda: {pool: item.prefill for pool, item in offered.items()},
    )
    metrics.add_counter(
        "offered_output_tokens_total",
        "Output tokens that callers asked for",
        "pool",
        MAX_POOLS,
        lambda: {pool: item.output for pool, item in offered.items()},
    )
