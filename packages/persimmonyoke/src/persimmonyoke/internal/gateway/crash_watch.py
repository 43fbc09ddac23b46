"""Detection of replica crashes from lost answers, and of the requests involved."""

import time
from dataclasses import dataclass, replace

from gevent.event import AsyncResult

from persimmonyoke.internal.delivery.suspect_types import (
    Clear,
    Quarantined,
    Suspect,
    SuspectStatus,
)
from persimmonyoke.internal.dispatch.crash_evidence import (
    OPEN_LOSS_TTL_S,
    Loss,
    LossKind,
    OpenLosses,
    ProbeResult,
    Verdict,
    judge_loss,
    needs_probe,
)
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.attempts import AttemptStart
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    AnswerTimeout,
    ConnectionEnded,
    ConnectionRefused,
    ConnectionTimedOut,
    NotConnected,
)
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.upstream_call import OpenResponse

PROBE_TIMEOUT_S = 0.2
"""A running replica accepts a connection within one round trip."""

PROBE_REUSE_S = 0.1
"""Time for which lost answers of one replica share a probe."""


@dataclass
class _Probe:
    """Hold a probe in progress or completed; ``result`` is set on completion."""

    begun_s: float
    result: AsyncResult


class CrashDetector:
    """Decide which lost answers are due to a replica crash, and record the crash."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._probes: dict[str, _Probe] = {}
        self._open = OpenLosses()
        state.on_replica_started = self.note_started

    def note_lost_answer(
        self,
        exchange: Exchange,
        replica: Replica,
        start: AttemptStart,
        error: AnswerLost,
        *,
        begun: bool,
        now_s: float,
    ) -> Verdict:
        """Classify a lost answer; waits for a probe of the replica if necessary.

        ``begun`` means that the replica had already written a part of the answer. A
        crash does not count against such a request.
        """
        loss = Loss(
            digest=exchange.request.content_digest,
            replica=replica,
            started_s=start.started_s,
            lost_s=now_s,
            alone=exchange.isolated_on == replica.replica_id,
            parts=exchange.part_digests,
        )
        kind, leaving = _loss_kind(error), self._leaving(replica)
        probe = ProbeResult.NOT_MADE
        if needs_probe(kind, leaving=leaving):
            probe = self._probe(replica, now_s=now_s)
        verdict = judge_loss(
            kind, probe, leaving=leaving, restarted=self._restarted(replica)
        )
        self._state.journal.event(
            "answer_lost",
            request_id=exchange.metadata.request_id,
            error=f"{type(error).__name__}: {error}",
            running_ms=int((now_s - start.started_s) * 1_000),
            verdict=verdict,
            probe=probe,
            begun=begun,
            replica=replica.replica_id,
            stage=start.stage,
            leaving=leaving,
            born_unix_ms=replica.born_unix_ms,
            content=exchange.content_digest_hex,
            parts=exchange.shared_part_ids,
        )
        if verdict is Verdict.CRASHED:
            self._state.pool.drop_replica(replica)
            self._state.health.note_unreachable(replica.replica_id, now_s)
        if not begun:
            self._count(exchange, loss, kind, verdict)
        return verdict

    def _count(
        self, exchange: Exchange, loss: Loss, kind: LossKind, verdict: Verdict
    ) -> None:
        """Count a crash against the request, or keep its loss until it is known."""
        if verdict is Verdict.OPEN:
            if loss.alone and kind is LossKind.ENDED:
                loss = self._keep_reservation(exchange, loss, now_s=time.monotonic())
            self._open.add(loss)
        elif verdict is Verdict.CRASHED:
            self._note_crash(loss, now_s=time.monotonic())

    def check_end(self, replica: Replica, opened: OpenResponse) -> None:
        """Raise ``ConnectionEnded`` if an answer may have ended with its replica.

        The kernel closes the connections of a process that is killed as the process
        would, so the end of an answer without a length is its own only if the replica
        still listens. The probe is a new one: an earlier one may be of before the end.
        """
        if opened.head.self_delimited:
            return
        by_own_link = opened.connection.peer is None
        if self._restarted(replica) or self._refuses(replica, by_own_link=by_own_link):
            raise ConnectionEnded("replica ended, perhaps before its answer")

    def note_started(self, started: Replica) -> None:
        """Count the unexplained losses of the previous incarnation as crashes."""
        now_s = time.monotonic()
        for loss in self._open.take_restarted(started, now_s=now_s):
            self._note_crash(loss, now_s=now_s)
            if loss.reserved_subject is not None:
                self._state.suspects.end_isolation(
                    loss.reserved_subject, loss.replica.replica_id
                )

    def _keep_reservation(
        self, exchange: Exchange, loss: Loss, *, now_s: float
    ) -> Loss:
        """Let all hosts hold the suspect back until the cause of the loss is known.

        A host that has lost several replicas at once may take their crashes for a cut
        of its links until they restart. Meanwhile the suspect would crash further ones.
        """
        subject, exchange.isolated_on = exchange.isolated_subject, None
        self._state.suspects.extend_isolation(
            subject,
            loss.replica.replica_id,
            now_s=now_s,
            until_s=loss.lost_s + OPEN_LOSS_TTL_S,
        )
        return replace(loss, reserved_subject=subject)

    def _note_crash(self, loss: Loss, *, now_s: float) -> None:
        suspects = self._state.suspects
        status = suspects.note_crash(
            loss.digest,
            loss.replica.replica_id,
            now_s,
            parts=loss.parts,
            incarnation=str(loss.replica.born_unix_ms),
            started_s=loss.started_s,
            lost_s=loss.lost_s,
            isolated=loss.alone,
        )
        self._state.journal.event(
            "replica_crashed",
            replica=loss.replica.replica_id,
            born_unix_ms=loss.replica.born_unix_ms,
            content=loss.digest.hex(),
            parts=[part.hex() for part in loss.parts],
            alone=loss.alone,
            **status_fields(status, now_s=now_s),
        )
        for subject in suspects.quarantined((loss.digest, *loss.parts), now_s):
            self._state.on_withheld(subject)

    def _leaving(self, replica: Replica) -> bool:
        """Return whether the replica was draining or removed in this host's view."""
        known = self._state.replicas.get(replica.replica_id)
        return known is None or known.draining

    def _restarted(self, replica: Replica) -> bool:
        known = self._state.replicas.get(replica.replica_id)
        return known is not None and known.born_unix_ms > replica.born_unix_ms

    def _probe(self, replica: Replica, *, now_s: float) -> ProbeResult:
        """Probe a replica with a new connection; simultaneous losses share a probe."""
        key = f"{replica.replica_id}@{replica.address}/{replica.born_unix_ms}"
        known = self._probes.get(key)
        if known is not None and now_s - known.begun_s <= PROBE_REUSE_S:
            return known.result.get()
        self._evict_old_probes(now_s)
        probe = self._probes[key] = _Probe(now_s, AsyncResult())
        result = self._connect(replica)
        probe.result.set(result)
        return result

    def _refuses(self, replica: Replica, *, by_own_link: bool) -> bool:
        """Return whether a replica refuses a new connection.

        Without a peer's word that of the own link counts, if it carried the answer: it
        worked a moment ago.
        """
        probe = self._connect(replica)
        if probe is ProbeResult.SILENT and by_own_link:
            probe = self._connect(replica, directly=True)
        return probe is ProbeResult.REFUSED

    def _connect(self, replica: Replica, *, directly: bool = False) -> ProbeResult:
        try:
            connection = self._state.pool.take(
                replica,
                timeout_s=PROBE_TIMEOUT_S,
                now_s=time.monotonic(),
                new_only=True,
                directly=directly,
            )
        except ConnectionRefused:
            return ProbeResult.REFUSED
        except NotConnected:
            return ProbeResult.SILENT
        self._state.pool.put_new(connection, now_s=time.monotonic())
        return ProbeResult.CONNECTED

    def _evict_old_probes(self, now_s: float) -> None:
        for key, probe in list(self._probes.items()):
            if now_s - probe.begun_s > PROBE_REUSE_S:
                del self._probes[key]


def status_fields(status: SuspectStatus, *, now_s: float) -> dict[str, object]:
    """Return the journal fields that describe the status of a request."""
    match status:
        case Clear():
            return {"status": "clear"}
        case Suspect(crashes, subject):
            return {
                "status": "suspect",
                "crashes": crashes,
                "subject": subject.hex(),
            }
        case Quarantined(until_s, subject):
            return {
                "status": "quarantined",
                "quarantine_left_ms": int((until_s - now_s) * 1_000),
                "subject": subject.hex(),
            }


def _loss_kind(error: AnswerLost) -> LossKind:
    match error:
        case AnswerTimeout() | ConnectionTimedOut():
            return LossKind.SILENT
        case ConnectionEnded():
            return LossKind.ENDED
    return LossKind.MALFORMED
