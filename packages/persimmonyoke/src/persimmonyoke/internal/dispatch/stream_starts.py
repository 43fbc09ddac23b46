"""Whether new streams may begin by this host's record of software versions.

Other hosts forget a version a stream's life after another one replaced it, and then
take each unknown stream for one of the version that is left. A host whose record may
have been replaced long ago must therefore not begin streams by it.
"""

from dataclasses import dataclass
from enum import StrEnum

from persimmonyoke.internal.dispatch.stream_versions import LIFE_MARGIN_S

LATE_NEWS_S = 1.5
"""Time by which the record may be older than it seems.

A watch may miss changes for a second, and its answer may be read late.
"""

MAX_RECORD_AGE_S = LIFE_MARGIN_S - LATE_NEWS_S
"""Age up to which streams begin by a record, as other hosts allow for in their life."""

MIN_AWAKE_S = MAX_RECORD_AGE_S
"""Time in which a host that runs hears the store or a peer, if it can reach them."""


class StartBasis(StrEnum):
    """Name what shows that the active version is still that of the record."""

    CURRENT = "record is current"
    NO_STORE = "no host reaches the store"
    ONE_VERSION = "only one version is known"
    NONE = "record may have been replaced"


@dataclass(frozen=True)
class RecordEvidence:
    """Hold what this host knows of the age of its record of one service."""

    record_age_s: float
    """Time since the record was the latest, suspensions included."""

    store_connected: bool
    """Whether the store answered the last call of this host."""

    most_hosts_without_store: bool
    """Whether most hosts said so lately, and that they know no later revision."""

    peer_knows_more: bool
    """Whether a peer that is heard reaches the store or knows a later revision."""

    one_version_known: bool
    """Whether the record and all known replicas name one version."""

    awake_s: float
    """Time for which this host has run without standing still."""


def start_basis(evidence: RecordEvidence) -> StartBasis:
    """Decide by what new streams may begin at the active version of a record.

    While no host reaches the store, no record can be replaced. A host that hears too
    few others to know this may be the only one left, and goes on unless it knows that
    several versions serve. It must have listened for a while: to a host that stood
    still, the store and all peers seem silent at first.
    """
    if evidence.record_age_s <= MAX_RECORD_AGE_S:
        return StartBasis.CURRENT
    if evidence.store_connected or evidence.peer_knows_more:
        return StartBasis.NONE
    if evidence.most_hosts_without_store:
        return StartBasis.NO_STORE
    if evidence.one_version_known and evidence.awake_s >= MIN_AWAKE_S:
        return StartBasis.ONE_VERSION
    return StartBasis.NONE
