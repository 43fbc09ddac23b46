"""Limit the memory that a host holds for the requests of its clients."""

import time
from collections.abc import Callable

import gevent

LARGE_BYTES = 65_536
"""Size from which a body is refused earlier and never copied as a whole."""

LARGE_BODY_SHARE = 0.75
"""Share of the budget that large request bodies may fill.

The rest keeps small requests going, and takes the answers to the large ones.
"""

ADMISSION_SHARE = 0.875
"""Share of the budget from which no new request is passed on."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Size limit of one response that is buffered completely."""

MIN_BUDGET_BYTES = 3 * MAX_ANSWER_BYTES
ROOM_POLL_S = 0.01
UNLIMITED = float("inf")


class NoRoom(Exception):
    """Signal that this host has no memory left for a body."""


class HeldMemory:
    """Count the bytes of request bodies and answers, and limit their sum.

    Room for one answer of the largest size is kept for a single request at a time.
    Whichever request has it can complete its answer, so answers that are held in part
    don't wait for each other without end.
    """

    def __init__(self, limit_bytes: float = UNLIMITED) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._common_bytes = limit_bytes - MAX_ANSWER_BYTES
        self._last_room_user: HeldBytes | None = None

    @property
    def nearly_full(self) -> bool:
        """Return whether no more requests should be passed on."""
        return self.held_bytes > ADMISSION_SHARE * self._common_bytes

    def try_hold_body(self, size_bytes: int, *, large: bool) -> bool:
        """Hold bytes of a request body unless there is no room."""
        share = LARGE_BODY_SHARE if large else ADMISSION_SHARE
        return self._try_hold(size_bytes, share * self._common_bytes)

    def try_hold_answer(self, size_bytes: int, user: "HeldBytes") -> bool:
        """Hold bytes of an answer unless there is no room."""
        if self._try_hold(size_bytes, self._common_bytes):
            return True
        if self._last_room_user not in (None, user):
            return False
        held = self._try_hold(size_bytes, self.limit_bytes)
        if held:
            self._last_room_user = user
        return held

    def drop(self, size_bytes: int) -> None:
        """Count bytes that are no longer held."""
        self.held_bytes -= size_bytes

    def end_use(self, user: "HeldBytes") -> None:
        """Let another request use the last room."""
        if self._last_room_user is user:
            self._last_room_user = None

    def _try_hold(self, size_bytes: int, limit_bytes: float) -> bool:
        if self.held_bytes + size_bytes > limit_bytes:
            return False
        self.held_bytes += size_bytes
        return True


class HeldBytes:
    """Count what is held for one request: its body and its answer."""

    def __init__(self, memory: HeldMemory) -> None:
        self.memory = memory
        self.size_bytes = 0

    def hold_body(self, size_bytes: int) -> None:
        """Hold bytes of the request body; raise ``NoRoom``."""
        large = self.size_bytes + size_bytes > LARGE_BYTES
        if not self.memory.try_hold_body(size_bytes, large=large):
            raise NoRoom("no room is left for the body")
        self.size_bytes += size_bytes

    def try_hold_answer(self, size_bytes: int) -> bool:
        """Hold bytes of an answer unless there is no room."""
        held = self.memory.try_hold_answer(size_bytes, self)
        if held:
            self.size_bytes += size_bytes
        return held

    def drop(self, size_bytes: int) -> None:
        """Count bytes that are no longer held."""
        self.size_bytes -= size_bytes
        self.memory.drop(size_bytes)

    def release(self) -> None:
        """Count all bytes as no longer held."""
        self.drop(self.size_bytes)
        self.memory.end_use(self)


def uncounted() -> HeldBytes:
    """Return an account without a limit."""
    return HeldBytes(HeldMemory())


class AnswerRoom:
    """Take room for the body of one answer, waiting while there is none."""

    def __init__(
        self,
        held: HeldBytes,
        *,
        until_s: float,
        raise_if_cancelled: Callable[[], None] = lambda: None,
    ) -> None:
        self._held = held
        self._until_s = until_s
        self._raise_if_cancelled = raise_if_cancelled
        self.taken_bytes = 0

    def ensure(self, size_bytes: int) -> float:
        """Take room up to a size and return the seconds waited; raise ``NoRoom``."""
        missing_bytes = size_bytes - self.taken_bytes
        if missing_bytes <= 0:
            return 0.0
        started_s = time.monotonic()
        while not self._held.try_hold_answer(missing_bytes):
            if time.monotonic() >= self._until_s:
                raise NoRoom("no room is left for the answer")
            gevent.sleep(ROOM_POLL_S)
            self._raise_if_cancelled()
        self.taken_bytes = size_bytes
        return time.monotonic() - started_s

    def give_back(self) -> None:
        """Count the answer as no longer held."""
        self._held.drop(self.taken_bytes)
        self.taken_bytes = 0
