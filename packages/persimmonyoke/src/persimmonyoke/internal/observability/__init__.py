"""Logs and metrics."""

from persimmonyoke.internal.observability.logs import (
    LogFormat,
    configure_logging,
    part_logger,
)
from persimmonyoke.internal.observability.metrics import (
    CONTENT_TYPE,
    Counter,
    Gauge,
    Histogram,
    NodeMetrics,
    render,
)
from persimmonyoke.internal.observability.redaction import redact, register_secret

__all__ = [
    "CONTENT_TYPE",
    "Counter",
    "Gauge",
    "Histogram",
    "LogFormat",
    "NodeMetrics",
    "configure_logging",
    "part_logger",
    "redact",
    "register_secret",
    "render",
]
