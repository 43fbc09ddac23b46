"""Engine that was chosen for a run."""

from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.prefill import PrefilledPrompt


@dataclass(frozen=True)
class EngineChoice:
    """Represent the engine to run on and the prompt if another engine prefilled it."""

    engine: Replica
    prefilled: PrefilledPrompt | None
