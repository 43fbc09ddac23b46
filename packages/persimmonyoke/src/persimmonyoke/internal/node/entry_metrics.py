"""Choice of the metrics that an entry node shows."""

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
class MeasuredParts:
    """Name the parts of an entry node that its metrics are read from."""

    budget: RateBudget
    delivery: Delivery
    callers: CallerServer
    gate: ClaimServiceGate
    router: EngineRouter
    view: ConfigurationView
    peers: PeerService
    drains: DrainView
    admission: PoolAdmission


def entry_metrics(node: MeasuredParts) -> EntryMetrics:
    """Return the metrics of a node, read from its parts when rendered."""
    metrics = EntryMetrics()
    metrics.common(node.budget)
    metrics.delivery(node.delivery.counts, node.callers.app.errors)
    _add_pools(metrics, node)
    metrics.counts(
        "claim_outcomes_total",
        "Outcomes of claims",
        "outcome",
        16,
        lambda: node.gate.outcomes,
    )
    metrics.counts(
        "no_route_total",
        "Requests without an engine",
        "reason",
        16,
        lambda: node.router.no_route,
    )
    metrics.value(
        "configuration_revision_number",
        "Revision in force",
        lambda: node.view.number,
    )
    metrics.value(
        "connected_peers_hosts",
        "Peers with a link",
        lambda: len(node.peers.connected_peers()),
    )
    metrics.value(
        "requests_in_progress_requests",
        "Requests that are received or answered",
        lambda: node.callers.requests_in_progress,
    )
    metrics.value(
        "draining_engines",
        "Engines without new work before an order",
        lambda: len(node.drains.draining(time.monotonic())),
    )
    return metrics


def _add_pools(metrics: EntryMetrics, node: MeasuredParts) -> None:
    queues = node.admission.queues
    offered = node.router.offered
    metrics.values(
        "waiting_requests",
        "Requests that wait for admission",
        "pool",
        lambda: {pool: len(item.queue) for pool, item in queues.items()},
    )
    metrics.values(
        "admitted_requests",
        "Requests that hold a slot",
        "pool",
        lambda: {pool: item.queue.in_flight for pool, item in queues.items()},
    )
    metrics.counts(
        "offered_prefill_tokens_total",
        "Prompt tokens that callers asked for",
        "pool",
        MAX_POOLS,
        lambda: {pool: item.prefill for pool, item in offered.items()},
    )
    metrics.counts(
        "offered_output_tokens_total",
        "Output tokens that callers asked for",
        "pool",
        MAX_POOLS,
        lambda: {pool: item.output for pool, item in offered.items()},
    )
