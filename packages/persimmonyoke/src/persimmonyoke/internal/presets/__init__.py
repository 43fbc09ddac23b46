"""Presets, revisions of the configuration and the configuration in force."""

from persimmonyoke.internal.presets.changes import (
    Accepted,
    Change,
    Conflict,
    ProposeOutcome,
    Unsettled,
)
from persimmonyoke.internal.presets.difference import (
    preset_difference,
    revision_difference,
)
from persimmonyoke.internal.presets.model import (
    AdmissionPolicy,
    Deadlines,
    ModelSpec,
    PoolKind,
    PoolPolicy,
    Preset,
    RetryPolicy,
    ServicePolicy,
    WorkspacePolicy,
)
from persimmonyoke.internal.presets.parser import check_presets, parse_preset
from persimmonyoke.internal.presets.retention import Retention
from persimmonyoke.internal.presets.revision import (
    ChangeAction,
    Revision,
    decode_revision,
    encode_revision,
)
from persimmonyoke.internal.presets.revision_log import (
    HistoryEntry,
    RevisionLog,
    UnreadableNewest,
    UnreadableRevision,
)
from persimmonyoke.internal.presets.stored_form import RevisionHeader
from persimmonyoke.internal.presets.view import ConfigurationView, follow_revisions

__all__ = [
    "Accepted",
    "AdmissionPolicy",
    "Change",
    "ChangeAction",
    "ConfigurationView",
    "Conflict",
    "Deadlines",
    "HistoryEntry",
    "ModelSpec",
    "PoolKind",
    "PoolPolicy",
    "Preset",
    "ProposeOutcome",
    "Retention",
    "RetryPolicy",
    "Revision",
    "RevisionHeader",
    "RevisionLog",
    "ServicePolicy",
    "UnreadableNewest",
    "UnreadableRevision",
    "Unsettled",
    "WorkspacePolicy",
    "check_presets",
    "decode_revision",
    "encode_revision",
    "follow_revisions",
    "parse_preset",
    "preset_difference",
    "revision_difference",
]
