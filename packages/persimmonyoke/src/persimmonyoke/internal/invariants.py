"""Named invariants, checked where the state that they constrain changes.

In tests and benches a violation raises ``InvariantViolation``; in production it is
counted and logged, because stopping the data path would affect more callers than the
violation itself.
"""

from collections import Counter
from enum import StrEnum

from loguru import logger

from persimmonyoke.errors import InvariantViolation


class Invariant(StrEnum):
    """List the conditions that must always hold."""

    SINGLE_ORDER_PER_ENGINE = "single_order_per_engine"
    NO_CUT_ON_PLANNED_CHANGE = "no_cut_on_planned_change"
    NO_ORDER_WITHOUT_AUTHORITY = "no_order_without_authority"
    WHOLE_ANSWER_TO_OWN_CALLER = "whole_answer_to_own_caller"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    AT_MOST_ONCE = "at_most_once"
    NO_NEW_WORK_WHEN_LEAVING = "no_new_work_when_leaving"
    GRACEFUL_SHUTDOWN_COMPLETES = "graceful_shutdown_completes"
    CONFIGURATION_NEVER_REVERTS = "configuration_never_reverts"


class InvariantMonitor:
    """Count and log violations, and raise an exception if ``raising`` is set."""

    def __init__(self, *, raising: bool) -> None:
        self.raising = raising
        self.violations: Counter[Invariant] = Counter()

    def check(self, holds: bool, invariant: Invariant, detail: str) -> bool:
        """Record a violation of the invariant unless it holds.

        Returns ``holds``, so that the calling code can take its safe branch. Raises
        ``InvariantViolation`` if ``raising`` is set.
        """
        if holds:
            return True
        self.violations[invariant] += 1
        logger.error("[invariants] {} violated: {}", invariant.value, detail)
        if self.raising:
            raise InvariantViolation(f"{invariant.value}: {detail}")
        return False


# One monitor per process, whose counters feed the metrics of all components. It raises
# by default, so that tests and benches need no set-up; the daemons set ``raising`` to
# false when they start.
MONITOR = InvariantMonitor(raising=True)
check_invariant = MONITOR.check
