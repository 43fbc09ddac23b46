"""What the operator interface reads and changes."""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from persimmonyoke.errors import (
    ErrorKind,
    PresetError,
    ProtocolError,
    Ran,
    StoreUnavailable,
)
from persimmonyoke.internal.audit import AuditFilter, AuditSource, search_audit
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.operators.answers import OperatorError
from persimmonyoke.internal.presets import (
    Accepted,
    Change,
    ConfigurationView,
    Conflict,
    ProposeOutcome,
    Revision,
    RevisionLog,
    revision_difference,
)

RETRY_AFTER_S = 2.0

Json = dict[str, Any]
log = part_logger("operators")


@dataclass(frozen=True)
class HostRevision:
    """Say which revision a live host reports to have in force."""

    name: str
    number: int


class OperatorBackend:
    """Answer the requests of operators on one entry node.

    ``hosts`` returns the live hosts, this one included, with the revisions they
    report. ``on_accepted`` is called with each revision accepted here, so that peers
    get it at once.
    """

    def __init__(
        self,
        *,
        revisions: RevisionLog,
        view: ConfigurationView,
        hosts: Callable[[], Iterable[HostRevision]],
        audit_sources: Iterable[AuditSource] = (),
        on_accepted: Callable[[Revision], None] | None = None,
        extra_status: Callable[[], Mapping[str, Any]] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._revisions = revisions
        self._view = view
        self._hosts = hosts
        self._audit_sources = tuple(audit_sources)
        self._on_accepted = on_accepted
        self._extra_status = extra_status
        self._clock = clock

    def presets(self) -> Json:
        """Return the names of all presets and the one in force."""
        revision, source = self._current()
        names = sorted(revision.presets) if revision else []
        return {
            "revision": revision.number if revision else 0,
            "active": revision.active if revision else None,
            "presets": names,
            "source": source,
        }

    def preset(self, name: str) -> Json:
        """Return the text of a preset; raise ``OperatorError`` if there is none."""
        revision, source = self._current()
        texts = revision.presets if revision else {}
        if revision is None or name not in texts:
            known = ", ".join(sorted(texts)) or "none"
            raise OperatorError(
                ErrorKind.INVALID_VALUE,
                f"there is no preset {name!r}; existing: {known}",
                param="preset",
            )
        return {
            "name": name,
            "text": texts[name],
            "active": revision.active == name,
            "revision": revision.number,
            "source": source,
        }

    def change(self, change: Change, *, base_number: int) -> Json:
        """Propose a change; raise ``OperatorError`` unless it is accepted."""
        try:
            outcome = self._revisions.propose(change, base_number=base_number)
        except PresetError as error:
            raise OperatorError(
                ErrorKind.INVALID_VALUE,
                str(error),
                details={"faults": [vars(fault) for fault in error.faults]},
            ) from error
        except (StoreUnavailable, ProtocolError) as error:
            raise _store_unavailable(error) from error
        return self._answer(outcome)

    def history(self, limit: int) -> Json:
        """Return the newest revisions, each with its difference to the one before."""
        try:
            revisions = self._revisions.history(limit + 1)
        except (StoreUnavailable, ProtocolError) as error:
            raise _store_unavailable(error) from error
        earlier: tuple[Revision | None, ...] = (*revisions[1:], None)
        entries = [
            _history_entry(revision, before)
            for revision, before in zip(revisions, earlier, strict=True)
        ]
        return {"revisions": entries[:limit]}

    def status(self) -> Json:
        """Return the revision in force and how many live hosts report it."""
        hosts = sorted(self._hosts(), key=lambda host: host.name)
        number = self._view.number
        in_force = sum(host.number >= number for host in hosts)
        revision = self._view.revision
        status = {
            "firm": self._revisions.firm,
            "revision": number,
            "active": revision.active if revision else None,
            "live_hosts": len(hosts),
            "hosts_in_force": in_force,
            "hosts": [{"name": host.name, "revision": host.number} for host in hosts],
        }
        if self._extra_status is not None:
            status.update(self._extra_status())
        return status

    def audit(self, chosen: AuditFilter) -> Json:
        """Return the selected audit records and the sources that failed."""
        answer = search_audit(self._audit_sources, chosen)
        return {
            "records": [vars(record) for record in answer.records],
            "missing_sources": list(answer.missing_sources),
        }

    def _current(self) -> tuple[Revision | None, str]:
        """Return the newest revision; during an outage, the one in force here."""
        try:
            return self._revisions.newest(), "store"
        except (StoreUnavailable, ProtocolError) as error:
            log.warning("newest revision can't be read: {}", error)
            return self._view.revision, "memory"

    def _answer(self, outcome: ProposeOutcome) -> Json:
        if isinstance(outcome, Accepted):
            self._take(outcome.revision)
            return {"revision": outcome.revision.number}
        if isinstance(outcome, Conflict):
            current = outcome.current
            number = current.number if current else 0
            author = f" by {current.author}" if current else ""
            raise OperatorError(
                ErrorKind.CONFLICT,
                f"the configuration is at revision {number}{author}",
                param="base_number",
                details={"revision": number, "difference": list(outcome.difference)},
            )
        revision = outcome.revision
        raise OperatorError(
            ErrorKind.OUTCOME_UNKNOWN,
            f"the store did not tell whether revision {revision.number} was stored; "
            "look at the history before you repeat the change",
            ran=Ran.UNKNOWN,
            details={"revision": revision.number, "write_id": revision.write_id},
        )

    def _take(self, revision: Revision) -> None:
        log.info(
            "revision {} accepted: {} {} by {}",
            revision.number,
            revision.action.value,
            revision.preset_name,
            revision.author,
        )
        self._view.offer(revision, now_s=self._clock())
        if self._on_accepted is not None:
            self._on_accepted(revision)


def _store_unavailable(error: Exception) -> OperatorError:
    return OperatorError(
        ErrorKind.STORE_UNAVAILABLE,
        f"the key-value service is not available: {error}",
        retry_after_s=RETRY_AFTER_S,
    )


def _history_entry(revision: Revision, earlier: Revision | None) -> Json:
    return {
        "revision": revision.number,
        "created_unix_s": revision.created_unix_s,
        "author": revision.author,
        "action": revision.action.value,
        "preset": revision.preset_name,
        "active": revision.active,
        "reason": revision.reason,
        "difference": list(revision_difference(earlier, revision)),
    }
