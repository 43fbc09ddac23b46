"""Admit, queue or refuse requests by limits and fair queueing, without I/O."""

from persimmonyoke.internal.admission.first_token_limit import FirstTokenLimit
from persimmonyoke.internal.admission.queue import AdmissionQueue
from persimmonyoke.internal.admission.tickets import (
    Admitted,
    Queued,
    Refused,
    Ticket,
)

__all__ = [
    "Admitted",
    "AdmissionQueue",
    "FirstTokenLimit",
    "Queued",
    "Refused",
    "Ticket",
]
