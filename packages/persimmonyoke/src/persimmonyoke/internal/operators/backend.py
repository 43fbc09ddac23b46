"""Queries and changes behind the operator API."""

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
    HistoryEntry,
    ProposeOutcome,
    Revision,
    RevisionHeader,
    RevisionLog,
    UnreadableRevision,
)

RETRY_AFTER_S = 2.0
CONFIRM_TIMEOUT_S = 1.0
"""Time for two heartbeats, which carry the revision number, and their answers."""

CONFIRM_POLL_S = 0.02
MAX_LOOKUP_REVISIONS = 2_000
"""More than a day of changes; looking up an id that doesn't exist takes 200 reads."""

Json = dict[str, Any]
log = part_logger("operators")


@dataclass(frozen=True)
class HostRevision:
    """Hold the revision that a live host reports to be in force."""

    name: str
    number: int


class OperatorBackend:
    """Handle the requests of operators on one entry node.

    ``hosts`` returns the live hosts, including this one, with the revisions they
    report. ``on_accepted`` is called with each revision accepted here, to send it to
    the peers immediately. ``confirmations`` returns how many peers, excluding this
    host, have confirmed a revision number or a later one; the answer to an accepted
    change waits up to ``confirm_s`` for the first confirmation.
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
        confirmations: Callable[[int], int] | None = None,
        confirm_s: float = CONFIRM_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._revisions = revisions
        self._view = view
        self._hosts = hosts
        self._audit_sources = tuple(audit_sources)
        self._on_accepted = on_accepted
        self._extra_status = extra_status
        self._confirmations = confirmations
        self._confirm_s = confirm_s
        self._clock = clock
        self._sleep = sleep

    def presets(self) -> Json:
        """Return the names of all presets and the one in force."""
        revision, source, problem = self._newest_or_in_force()
        names = sorted(revision.presets) if revision else []
        return {
            "revision": revision.number if revision else 0,
            "active": revision.active if revision else None,
            "presets": names,
            "source": source,
            "problem": problem,
        }

    def preset(self, name: str) -> Json:
        """Return the text of a preset; raise ``OperatorError`` if there is none."""
        revision, source, problem = self._newest_or_in_force()
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
            "problem": problem,
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
        except StoreUnavailable as error:
            raise _store_unavailable(error) from error
        except ProtocolError as error:
            raise _unreadable(error) from error
        return self._outcome_answer(outcome)

    def revision(self, number: int) -> Json:
        """Return the presets of a revision; raise ``OperatorError`` if not kept."""
        in_force = self._view.revision
        try:
            if in_force is not None and in_force.number == number:
                revision = in_force
            else:
                revision = self._revisions.get(number)
        except StoreUnavailable as error:
            raise _store_unavailable(error) from error
        except ProtocolError as error:
            problem = f"revision {number} can't be shown: {error}"
            raise _invalid_number(problem) from error
        if revision is None:
            raise _invalid_number(f"there is no revision {number}")
        return {
            "revision": revision.number,
            "active": revision.active,
            "presets": dict(revision.presets),
        }

    def history(self, limit: int, write_id: str | None = None) -> Json:
        """Return the newest revisions, or only the one with a write id."""
        try:
            if write_id is None:
                entries = self._revisions.history(limit)
            else:
                found = self._revisions.find_write(write_id, limit=MAX_LOOKUP_REVISIONS)
                entries = (found,) if found else ()
        except StoreUnavailable as error:
            raise _store_unavailable(error) from error
        except ProtocolError as error:
            raise _unreadable(error) from error
        return {"revisions": [_history_entry(entry) for entry in entries]}

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
            "cut_sources": list(answer.cut_sources),
        }

    def _newest_or_in_force(self) -> tuple[Revision | None, str, str | None]:
        """Return the newest revision, its source and any problem with the store.

        While the store is down, or its newest revision can't be read, the revision in
        force on this host is returned instead.
        """
        try:
            return self._revisions.newest(), "store", None
        except (StoreUnavailable, ProtocolError) as error:
            log.warning("newest revision can't be read: {}", error)
            return self._view.revision, "memory", str(error)

    def _outcome_answer(self, outcome: ProposeOutcome) -> Json:
        if isinstance(outcome, Accepted):
            self._apply_accepted(outcome.revision)
            return self._accepted_answer(outcome.revision)
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
            f"look up the write id {revision.write_id} in the history before you "
            "repeat the change",
            ran=Ran.UNKNOWN,
            details={"revision": revision.number, "write_id": revision.write_id},
        )

    def _accepted_answer(self, revision: Revision) -> Json:
        """Return which hosts have an accepted revision, after a bounded wait."""
        number = revision.number
        confirmed_by = self._wait_for_confirmation(number)
        hosts = sorted(self._hosts(), key=lambda host: host.name)
        behind = [host.name for host in hosts if host.number < number]
        return {
            "revision": number,
            "write_id": revision.write_id,
            "confirmed_by": confirmed_by,
            "live_hosts": len(hosts),
            "hosts_in_force": len(hosts) - len(behind),
            "behind": behind,
        }

    def _wait_for_confirmation(self, number: int) -> int:
        """Wait for the first confirmation; return how many peers hold the revision.

        Once one peer holds it, the revision survives the loss of this node while the
        store is down.
        """
        if self._confirmations is None:
            return 0
        deadline_s = self._clock() + self._confirm_s
        while True:
            confirmed_by = self._confirmations(number)
            alone = len(tuple(self._hosts())) <= 1
            if confirmed_by or alone:
                return confirmed_by
            if self._clock() >= deadline_s:
                log.warning("no peer confirmed revision {} in time", number)
                return 0
            self._sleep(CONFIRM_POLL_S)

    def _apply_accepted(self, revision: Revision) -> None:
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


def _unreadable(error: Exception) -> OperatorError:
    return OperatorError(
        ErrorKind.INTERNAL,
        f"{error}; the configuration in force stays. Change it from a host with a "
        "newer version, or repair the key in the key-value service",
    )


def _invalid_number(problem: str) -> OperatorError:
    return OperatorError(ErrorKind.INVALID_VALUE, problem, param="revision")


def _history_entry(entry: HistoryEntry) -> Json:
    if isinstance(entry, UnreadableRevision):
        return {"revision": entry.number, "problem": entry.problem}
    return _header_entry(entry)


def _header_entry(header: RevisionHeader) -> Json:
    return {
        "revision": header.number,
        "write_id": header.write_id,
        "created_unix_s": header.created_unix_s,
        "author": header.author,
        "action": header.action.value,
        "preset": header.preset_name,
        "active": header.active,
        "reason": header.reason,
        "difference": list(header.difference),
    }
