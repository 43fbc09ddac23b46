"""Age of what this host knows of the store's entries."""


class ViewAge:
    """Keep up to which revision, and as of when, this host knows the entries."""

    def __init__(self, started_s: float) -> None:
        self.revision = 0
        self._confirmed_s = started_s
        self._store_confirmed_s: float | None = None

    def note_store_confirmed(self, revision: int, confirmed_s: float) -> None:
        """Note that the store told of all changes up to a revision and a time."""
        self.revision = revision
        self._confirmed_s = self._store_confirmed_s = confirmed_s

    def note_relayed(self, revision: int, now_s: float) -> None:
        """Note changes that a peer has just been told by the store."""
        self.revision = revision
        self._confirmed_s = max(self._confirmed_s, now_s)

    def note_peer_confirmed(self, confirmed_s: float) -> None:
        """Note that a peer was told of no later revision up to a time."""
        self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def age_s(self, now_s: float) -> float:
        """Return how long ago this host knew of all changes."""
        return now_s - self._confirmed_s

    def store_confirmed_age_s(self, now_s: float) -> float | None:
        """Return how long ago the store itself told this host of all changes.

        Only this may be passed on: hosts that confirm each other's views would keep
        them young, as a datagram is read later than it was sent.
        """
        return (
            None if self._store_confirmed_s is None else now_s - self._store_confirmed_s
        )
