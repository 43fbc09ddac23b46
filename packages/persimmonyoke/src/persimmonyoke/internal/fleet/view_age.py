"""Age of this host's view of the store's entries."""


class ViewAge:
    """Track the revision of this host's view and when it was last confirmed.

    Times on the steady clock pace the calls to the store. Those on the boot clock,
    which also advances while the host is suspended, tell what may have changed
    meanwhile: each is the earliest at which the view may have become outdated.
    """

    def __init__(self, started_s: float) -> None:
        self.revision = 0
        self.current_boot_s = float("-inf")
        """Boot time up to which the view is known to have been the latest."""
        self._confirmed_s = started_s
        self._store_current_boot_s: float | None = None

    def note_store_confirmed(
        self, revision: int, confirmed_s: float, *, current_boot_s: float
    ) -> None:
        """Record that the store itself confirmed a revision at a time."""
        self.revision = revision
        self._confirmed_s = confirmed_s
        self.current_boot_s = self._store_current_boot_s = current_boot_s

    def note_relayed(
        self, revision: int, now_s: float, *, current_boot_s: float
    ) -> None:
        """Record changes that a peer has just received from the store."""
        self.revision = revision
        self.note_peer_confirmed(now_s, current_boot_s=current_boot_s)

    def note_peer_confirmed(self, confirmed_s: float, *, current_boot_s: float) -> None:
        """Record when the store confirmed to a peer that no later revision existed."""
        self._confirmed_s = max(self._confirmed_s, confirmed_s)
        self.current_boot_s = max(self.current_boot_s, current_boot_s)

    def age_s(self, now_s: float) -> float:
        """Return the time since the view was confirmed, directly or by a peer."""
        return now_s - self._confirmed_s

    def store_confirmed_age_s(self, now_boot_s: float) -> float | None:
        """Return the time since the store itself confirmed the view to this host.

        Only this age may be sent to peers. Otherwise hosts would confirm each other's
        views in a loop, and the views would appear fresh for ever, as datagrams are
        received later than they are sent.
        """
        if self._store_current_boot_s is None:
            return None
        return now_boot_s - self._store_current_boot_s
