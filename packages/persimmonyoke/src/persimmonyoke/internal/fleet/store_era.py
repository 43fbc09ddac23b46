"""Era of the store, which rises each time the store returns from an older copy."""

from collections.abc import Callable

from persimmonyoke.errors import StoreUnavailable

EraListener = Callable[[int, int], None]
"""Gets the era before, 0 if none was known, and the new one."""


class StoreEra:
    """Track the highest era that an answer of the store named."""

    def __init__(self) -> None:
        self._current = 0
        self._listeners: list[EraListener] = []

    @property
    def current(self) -> int:
        """Return the highest era seen, or 0 if the store has named none."""
        return self._current

    def subscribe(self, listener: EraListener) -> None:
        """Call ``listener`` after each rise of the era."""
        self._listeners.append(listener)

    def note_answer(self, era: int) -> None:
        """Note the era of an answer; raise ``StoreUnavailable`` if it is outdated."""
        if era < self._current:
            raise StoreUnavailable(
                f"store answered in era {era}, and before in era {self._current}"
            )
        if era > self._current:
            previous, self._current = self._current, era
            for listener in self._listeners:
                listener(previous, era)
