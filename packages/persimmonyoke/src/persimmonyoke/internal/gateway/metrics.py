"""Counters and histograms of one gateway process."""

from collections.abc import Callable, Mapping

from persimmonyoke.internal.gateway.client_table import REFUSED, ClientPhase
from persimmonyoke.internal.observability.metrics import NodeMetrics, render

OUTCOMES = (
    "delivered",
    "refused",
    "failed",
    "client_gone",
    "rejected",
)
CLOSED_PHASES = (*map(str, ClientPhase), REFUSED)
MEMORY_SUBJECTS = ("body", "request", "answer")
KINDS = ("idempotent", "non_idempotent", "streaming", "none")
MAX_REASONS = 40
STAGES = ("prefill", "decode", "plain")
RESUMPTION_RESULTS = ("known", "unknown")
CHANGE_REQUEST_RESULTS = ("served", "refused")
TUNNEL_RESULTS = ("opened", "not_opened", "served", "refused")
SEND_RESULTS = ("answered", "not_run", "lost", "not_connected", "malformed")


class GatewayMetrics:
    """Hold the metrics that are served on the metrics port."""

    def __init__(self) -> None:
        node = NodeMetrics()
        self._node = node
        self._store_call_counts: Mapping[str, int] = {}
        self._dropped_lines: Callable[[], int] = lambda: 0
        self.requests = node.counter(
            "gateway_requests_total",
            "Requests by kind and outcome.",
            {"kind": KINDS, "outcome": OUTCOMES},
        )
        self.refusals = node.counter(
            "gateway_refusals_total", "Refusals by reason.", {"reason": MAX_REASONS}
        )
        self.memory_refusals = node.counter(
            "gateway_memory_refusals_total",
            "Bodies, requests and answers for which this host had no memory left.",
            {"subject": MEMORY_SUBJECTS},
        )
        self.held_bytes = node.gauge(
            "gateway_held_bytes", "Request bodies and answers held for clients."
        )
        self.closed_for_others = node.counter(
            "gateway_connections_closed_total",
            "Connections of clients closed for others, or refused, by their phase.",
            {"phase": CLOSED_PHASES},
        )
        self.sends = node.counter(
            "gateway_sends_total",
            "Calls to replicas by stage and result.",
            {"stage": STAGES, "result": SEND_RESULTS},
        )
        self.resumptions = node.counter(
            "gateway_resumed_streams_total",
            "Streams that clients resume, by whether their version is known.",
            {"result": RESUMPTION_RESULTS},
        )
        self.change_requests = node.counter(
            "gateway_change_requests_total",
            "Requests of peers for changes of the store that they missed.",
            {"result": CHANGE_REQUEST_RESULTS},
        )
        self.datagram_bytes = node.counter(
            "gateway_datagram_bytes_total", "Bytes of datagrams sent to peers."
        )
        self.tunnels = node.counter(
            "gateway_tunnels_total",
            "Tunnels to replicas, through peers and for peers.",
            {"result": TUNNEL_RESULTS},
        )
        self.repeats = node.counter(
            "gateway_repeats_total", "Sends beyond the first of a request."
        )
        self.unused_handles = node.counter(
            "gateway_unused_prefills_total", "Prompts read whose handle was not used."
        )
        self.orders = node.counter(
            "gateway_orders_total", "Orders to engines by outcome.", {"outcome": 8}
        )
        self.first_event = node.histogram(
            "gateway_first_event_seconds",
            "Time from request to first event or answer.",
            {"kind": KINDS},
        )
        self.duration = node.histogram(
            "gateway_request_seconds", "Time from request to its end.", {"kind": KINDS}
        )
        self.prefill = node.histogram(
            "gateway_prefill_seconds", "Time of prefill calls that succeeded."
        )
        self.connections = node.gauge(
            "gateway_client_connections", "Open connections of clients."
        )
        self.store_age = node.gauge(
            "gateway_store_age_seconds", "Time since the store last answered any call."
        )
        self.store_era = node.gauge(
            "gateway_store_era_number",
            "Era of the store, which rises when it returns from a copy; 0 if unknown.",
        )
        self.view_age = node.gauge(
            "gateway_view_age_seconds",
            "Time since this host last learnt what had changed in the store.",
        )
        self.configuration_version = node.gauge(
            "gateway_configuration_version_number", "Version in force."
        )
        self.store_calls = node.gauge(
            "gateway_store_calls", "Calls to the store since the start.", {"call": 16}
        )
        self.log_lines_dropped = node.gauge(
            "gateway_log_lines_dropped_number", "Log lines dropped since the start."
        )
        self.prefill_backlog = node.gauge(
            "gateway_prefill_backlog_seconds", "Mean backlog of prefill engines."
        )
        self.queued = node.gauge(
            "gateway_queued_prefill_seconds", "Reading time of prompts that wait here."
        )
        self.malformed_entries = node.gauge(
            "gateway_malformed_entries_number", "Entries of the store not understood."
        )
        self.links_failing = node.gauge(
            "gateway_failing_replica_links_number",
            "Replicas to which this host fails to open connections.",
        )
        self.partitioned = node.gauge(
            "gateway_partitioned_number",
            "1 while this host believes that it is cut off from the replicas.",
        )
        self.upstream_connections = node.gauge(
            "gateway_opened_upstream_connections", "Connections opened to replicas."
        )

    def watch_store_calls(self, calls: Mapping[str, int]) -> None:
        """Export the numbers of calls to the store by name."""
        self._store_call_counts = calls

    def watch_dropped_lines(self, dropped: Callable[[], int]) -> None:
        """Export the number of dropped log lines."""
        self._dropped_lines = dropped

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for name, count in self._store_call_counts.items():
            self.store_calls.set(count, call=name)
        self.log_lines_dropped.set(self._dropped_lines())
        return render(self._node)
