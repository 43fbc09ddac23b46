"""Audit records of authority changes and orders, read from the order records."""

from collections.abc import Callable, Iterable, Iterator
from datetime import UTC, datetime

from persimmonyoke.internal.audit import AuditRecord, AuditSource
from persimmonyoke.internal.authority.record import (
    AuthorityChange,
    OrderEntry,
    OrderRecord,
    decode_record,
)
from persimmonyoke.internal.platform import KeyValueStore


def order_key(firm: str, pool: str) -> str:
    """Return the key of a pool's order record."""
    return f"/persimmonyoke/{firm}/orders/{pool}"


def authority_key(firm: str, pool: str) -> str:
    """Return the key of a pool's authority lease."""
    return f"/persimmonyoke/{firm}/authority/{pool}"


class OrderAudit(AuditSource):
    """Convert the order records of the engine pools to audit records."""

    def __init__(
        self, store: KeyValueStore, *, firm: str, pools: Callable[[], Iterable[str]]
    ) -> None:
        self._store = store
        self._firm = firm
        self._pools = pools

    @property
    def name(self) -> str:
        """Return the name of this source."""
        return "orders"

    def records(self, *, limit: int) -> Iterable[AuditRecord]:
        """Return the newest records; raise ``StoreUnavailable``."""
        found: list[AuditRecord] = []
        for pool in self._pools():
            stored = self._store.get(order_key(self._firm, pool))
            if stored is not None:
                record = decode_record(stored.value)
                found += _authority_records(pool, record)
                found += _order_records(record)
        found.sort(key=lambda item: item.unix_s, reverse=True)
        return tuple(found[:limit])


def _authority_records(pool: str, record: OrderRecord) -> Iterator[AuditRecord]:
    before = ""
    for change in record.authority_changes:
        yield AuditRecord(
            unix_s=change.taken_unix_s,
            actor=change.holder,
            kind="authority",
            subject=pool,
            reason="lease acquired",
            before=before,
            after=f"{change.holder}, fencing number {change.fencing}",
        )
        before = f"{change.holder}, fencing number {change.fencing}"


def _order_records(record: OrderRecord) -> Iterator[AuditRecord]:
    for entry in (*record.settled_orders, *record.open_orders):
        arguments = ", ".join(f"{key} {value}" for key, value in entry.arguments)
        status = entry.status.value
        if entry.settled_unix_s:
            settled = datetime.fromtimestamp(entry.settled_unix_s, UTC)
            status += f" at {settled.isoformat(timespec='seconds')}"
        yield AuditRecord(
            unix_s=entry.recorded_unix_s,
            actor=_holder(record.authority_changes, entry),
            kind="order",
            subject=entry.engine,
            reason=entry.reason,
            before=f"incarnation {entry.incarnation}",
            after=f"{entry.action} {arguments}: {status} {entry.detail}".strip(),
        )


def _holder(changes: tuple[AuthorityChange, ...], entry: OrderEntry) -> str:
    """Return the controller that held the authority when the order was issued."""
    holders = [c.holder for c in changes if c.fencing <= entry.fencing]
    return holders[-1] if holders else "unknown"
