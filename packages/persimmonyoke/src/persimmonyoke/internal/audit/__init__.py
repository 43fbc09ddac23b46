"""Audit search: what was changed, by whom and why."""

from persimmonyoke.internal.audit.configuration import ConfigurationAudit
from persimmonyoke.internal.audit.records import (
    MAX_RECORDS,
    AuditAnswer,
    AuditFilter,
    AuditRecord,
    AuditSource,
    search_audit,
)

__all__ = [
    "MAX_RECORDS",
    "AuditAnswer",
    "AuditFilter",
    "AuditRecord",
    "AuditSource",
    "ConfigurationAudit",
    "search_audit",
]
