"""HTTP API for operators."""

from persimmonyoke.internal.operators.app import operators_app
from persimmonyoke.internal.operators.backend import HostRevision, OperatorBackend

__all__ = ["HostRevision", "OperatorBackend", "operators_app"]
