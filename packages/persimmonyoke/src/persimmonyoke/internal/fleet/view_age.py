"""Age of this host's view of the store's entries."""


class ViewAge:
    """Track the revision of this host's view and when it was last confirmed."""

    def __init__(self, started_s: float) -> None:
        self.revision = 0
        self._confirmed_s = started_s
        self._store_confirmed_s: float | None = None

    def note_store_confirmed(self, revision: int, confirmed_s: float) -> None:
        """Record that the store itself confirmed a revision at a time."""
        self.revision = revision
        self._confirmed_s = self._store_confirmed_s = confirmed_s

    def note_relayed(self, revision: int, now_s: float) -> None:
        """Record changes that a peer has just received from the store."""
        self.revision = revision
        self._confirmed_s = max(self._confirmed_s, now_s)

    def note_peer_confirmed(self, confirmed_s: float) -> None:
        """Record when the store confirmed to a peer that no later revision existed."""
        self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def age_s(self, now_s: float) -> float:
        """Return the time since the view was confirmed, directly or by a peer."""
        return now_s - self._confirmed_s

    def store_confirmed_age_s(self, now_s: float) -> float | None:
        """Return the time since the store itself confirmed the view to this host.

        Only this age may be sent to peers. Otherwise hosts would confirm each other's
        views in a loop, and the views would appear fresh for ever, as datagrams are
        received later than they are sent.
        """
        return (
            None if self._store_confirmed_s is None else now_s - self._store_confirmed_s
        )
