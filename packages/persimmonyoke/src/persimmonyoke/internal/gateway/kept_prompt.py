"""Prompt of a run that no decode engine has made."""

from collections.abc import Iterable

from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.prefill import PrefillCaller, PrefilledPrompt
from persimmonyoke.internal.gateway.run_outcomes import RunOutcome, RunRejected

MAX_HANDLE_AGE_S = 4.5
"""Age up to which a KV handle is used; engines are specified to keep it for 5 s."""


class KeptPrompt:
    """Keep a prefilled prompt for one further run, so that it is not read again.

    Reading it again takes a retry, which a stream that has left its engine may not get.
    """

    def __init__(self, prefill: PrefillCaller) -> None:
        self._prefill = prefill
        self._prompt: PrefilledPrompt | None = None
        self._rejected: PrefilledPrompt | None = None

    @property
    def is_held(self) -> bool:
        """Return whether a prompt is kept."""
        return self._prompt is not None

    def after_run(
        self,
        prefilled: PrefilledPrompt,
        outcome: RunOutcome | None,
        *,
        keep_rejected: bool,
    ) -> None:
        """Keep a prompt that no engine has used for the next run, or release it.

        An engine rejects a run when it is full, but also when it can't get the prompt,
        so that a prompt is kept after one rejection only. A run that was not sent has
        not used it.
        """
        if outcome is None:
            self._prefill.release(prefilled)
        elif isinstance(outcome, RunRejected):
            if not outcome.sent and not outcome.links_down:
                self.keep(prefilled)
            elif outcome.sent and keep_rejected and prefilled is not self._rejected:
                self._rejected = prefilled
                self.keep(prefilled)
            else:
                self._prefill.release(prefilled)

    def keep(self, prefilled: PrefilledPrompt) -> None:
        """Keep a prompt that was sent to no engine since it was taken."""
        self._prompt = prefilled

    def take(
        self, engines: Iterable[Replica], *, now_s: float
    ) -> PrefilledPrompt | None:
        """Return the prompt that is kept if its engine may still hand it over."""
        kept = self._prompt
        if kept is None:
            return None
        reachable = any(_is_same(engine, kept.engine) for engine in engines)
        if not reachable or now_s >= kept.done_s + MAX_HANDLE_AGE_S:
            self.release()
            return None
        self._prompt = None
        return kept

    def release(self) -> None:
        """Release the prompt that is kept, if there is one."""
        kept, self._prompt = self._prompt, None
        if kept is not None:
            self._prefill.release(kept)


def _is_same(engine: Replica, other: Replica) -> bool:
    """Return whether two entries describe one incarnation of an engine."""
    return (engine.replica_id, engine.born_unix_ms) == (
        other.replica_id,
        other.born_unix_ms,
    )
