"""Client of the weight store: model sizes and slots for rate-limited downloads."""

import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from persimmonyoke.errors import PlatformUnavailable
from persimmonyoke.internal.platform.http_json import (
    Connections,
    HttpFailure,
    call_json,
)

CALL_TIMEOUT_S = 2.0
DEFAULT_RETRY_S = 1.0
MAX_RETRY_S = 30.0
JITTER_SHARE = 0.25


@dataclass(frozen=True)
class WeightInfo:
    """Describe the weights of one model version."""

    model: str
    version: str
    size_bytes: int


@dataclass(frozen=True)
class WeightSlot:
    """Permit one download for ``valid_s`` seconds."""

    slot_id: str
    valid_s: float


class WeightStore(ABC):
    """Describe weights and wait for permission to download them."""

    @abstractmethod
    def describe(self, model: str, version: str) -> WeightInfo | None:
        """Return the weights' size, or ``None`` if the store has no such version.

        Raises ``PlatformUnavailable``.
        """

    @abstractmethod
    def wait_for_slot(
        self, model: str, version: str, *, timeout_s: float
    ) -> WeightSlot | None:
        """Wait for a slot; return ``None`` if none is free within the timeout.

        Raises ``PlatformUnavailable``.
        """


class HttpWeightStore(WeightStore):
    """Access the weight store over HTTP.

    ``GET /weights/<model>/<version>`` returns the size of the weights; ``POST /slots``
    returns a download slot or the time to wait before asking again.
    """

    def __init__(
        self,
        base_url: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        rng: random.Random | None = None,
    ) -> None:
        if timeout_s <= 0:
            raise ValueError(f"timeout_s is {timeout_s}; accepted: above 0")
        self._connections = Connections(base_url)
        self._timeout_s = timeout_s
        self._clock = clock
        self._sleep = sleep
        self._rng = rng or random.Random()

    def describe(self, model: str, version: str) -> WeightInfo | None:
        """Return the weights' size, or ``None``; raise ``PlatformUnavailable``."""
        path = f"/weights/{quote(model, safe='')}/{quote(version, safe='')}"
        try:
            answer = call_json(
                self._connections, "GET", path, timeout_s=self._timeout_s
            )
        except HttpFailure as failure:
            if failure.status == 404:
                return None
            raise PlatformUnavailable(f"weight store: {failure.reason}") from failure
        size_bytes = answer.get("size_bytes")
        if not isinstance(size_bytes, int) or size_bytes < 0:
            raise PlatformUnavailable(f"weight store: size is {size_bytes!r:.100}")
        return WeightInfo(model=model, version=version, size_bytes=size_bytes)

    def wait_for_slot(
        self, model: str, version: str, *, timeout_s: float
    ) -> WeightSlot | None:
        """Wait for a slot, or return ``None``; raise ``PlatformUnavailable``."""
        deadline_s = self._clock() + timeout_s
        while True:
            answer = self._request_slot(model, version)
            slot_id = answer.get("slot_id")
            if isinstance(slot_id, str) and slot_id:
                return WeightSlot(slot_id, _positive(answer, "valid_s"))
            wait_s = min(_positive(answer, "retry_after_s"), MAX_RETRY_S)
            # Jitter keeps hosts that were refused together from retrying together.
            wait_s *= 1 + self._rng.uniform(0, JITTER_SHARE)
            if self._clock() + wait_s > deadline_s:
                return None
            self._sleep(wait_s)

    def _request_slot(self, model: str, version: str) -> Mapping[str, Any]:
        body = {"model": model, "version": version}
        try:
            return call_json(
                self._connections, "POST", "/slots", body, timeout_s=self._timeout_s
            )
        except HttpFailure as failure:
            raise PlatformUnavailable(f"weight store: {failure.reason}") from failure


def _positive(answer: Mapping[str, Any], name: str) -> float:
    value = answer.get(name, DEFAULT_RETRY_S)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise PlatformUnavailable(f"weight store: {name} is {value!r:.100}")
    return float(value)
