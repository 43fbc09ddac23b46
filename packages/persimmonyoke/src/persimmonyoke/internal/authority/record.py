"""Define the record of a pool's orders and authority changes, and its encoding."""

from dataclasses import dataclass, replace
from enum import StrEnum

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.invariants import Invariant, check_invariant

RECORD_VERSION = 1
MAX_SETTLED_ORDERS = 200
MAX_AUTHORITY_CHANGES = 100


class OrderStatus(StrEnum):
    """Name the status of an order."""

    OPEN = "open"
    DONE = "done"
    REFUSED = "refused"
    NOT_RUN = "not_run"
    ENGINE_GONE = "engine_gone"


@dataclass(frozen=True)
class OrderEntry:
    """Hold one order of the record."""

    order_id: str
    engine: str
    incarnation: str
    action: str
    arguments: tuple[tuple[str, str], ...]
    fencing: int
    reason: str
    recorded_unix_s: float
    status: OrderStatus = OrderStatus.OPEN
    settled_unix_s: float = 0.0
    detail: str = ""


@dataclass(frozen=True)
class AuthorityChange:
    """Record which controller acquired authority, when and under which number."""

    holder: str
    fencing: int
    taken_unix_s: float


@dataclass(frozen=True)
class OrderRecord:
    """Hold the state that a successor needs, bounded in size.

    ``fencing`` is the number of the controller that wrote the record last. A new
    holder writes it first, so that the compare-and-swap of any later write by an
    earlier holder fails.
    """

    fencing: int = 0
    open_orders: tuple[OrderEntry, ...] = ()
    settled_orders: tuple[OrderEntry, ...] = ()
    authority_changes: tuple[AuthorityChange, ...] = ()
    write_id: str = ""

    def open_order_of(self, engine: str) -> OrderEntry | None:
        """Return the outstanding order of an engine, if any."""
        return next((o for o in self.open_orders if o.engine == engine), None)

    def with_authority(self, change: AuthorityChange) -> "OrderRecord":
        """Return the record that a new holder writes first."""
        changes = (*self.authority_changes, change)[-MAX_AUTHORITY_CHANGES:]
        return replace(self, fencing=change.fencing, authority_changes=changes)

    def with_open(self, entry: OrderEntry) -> "OrderRecord":
        """Return the record with one more outstanding order."""
        check_invariant(
            self.open_order_of(entry.engine) is None,
            Invariant.SINGLE_ORDER_PER_ENGINE,
            f"engine {entry.engine} already has an open order",
        )
        return replace(self, open_orders=(*self.open_orders, entry))

    def with_settled(
        self, order_id: str, status: OrderStatus, detail: str, *, now_unix_s: float
    ) -> "OrderRecord":
        """Return the record with an order moved to the settled ones."""
        kept = tuple(o for o in self.open_orders if o.order_id != order_id)
        settled = tuple(
            replace(o, status=status, detail=detail, settled_unix_s=now_unix_s)
            for o in self.open_orders
            if o.order_id == order_id
        )
        history = (*self.settled_orders, *settled)[-MAX_SETTLED_ORDERS:]
        return replace(self, open_orders=kept, settled_orders=history)


def encode_record(record: OrderRecord) -> bytes:
    """Encode a record as CBOR."""
    return cbor2.dumps(
        {
            "v": RECORD_VERSION,
            "fencing": record.fencing,
            "write_id": record.write_id,
            "open": [_entry_to_list(o) for o in record.open_orders],
            "settled": [_entry_to_list(o) for o in record.settled_orders],
            "authority": [
                [c.holder, c.fencing, c.taken_unix_s] for c in record.authority_changes
            ],
        }
    )


def decode_record(data: bytes) -> OrderRecord:
    """Decode a record from CBOR; raise ``ProtocolError`` if it is malformed."""
    try:
        document = cbor2.loads(data)
        if document["v"] != RECORD_VERSION:
            raise ProtocolError(f"order record has version {document['v']!r}")
        return OrderRecord(
            fencing=int(document["fencing"]),
            write_id=str(document["write_id"]),
            open_orders=tuple(_entry_from_list(e) for e in document["open"]),
            settled_orders=tuple(_entry_from_list(e) for e in document["settled"]),
            authority_changes=tuple(
                AuthorityChange(str(holder), int(fencing), float(taken_unix_s))
                for holder, fencing, taken_unix_s in document["authority"]
            ),
        )
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"order record is malformed: {error}") from error


def _entry_to_list(entry: OrderEntry) -> list:
    return [
        entry.order_id,
        entry.engine,
        entry.incarnation,
        entry.action,
        [list(pair) for pair in entry.arguments],
        entry.fencing,
        entry.reason,
        entry.recorded_unix_s,
        entry.status.value,
        entry.settled_unix_s,
        entry.detail,
    ]


def _entry_from_list(fields: list) -> OrderEntry:
    order_id, engine, incarnation, action, arguments, fencing, reason = fields[:7]
    recorded_unix_s, status, settled_unix_s, detail = fields[7:]
    return OrderEntry(
        order_id=str(order_id),
        engine=str(engine),
        incarnation=str(incarnation),
        action=str(action),
        arguments=tuple((str(name), str(value)) for name, value in arguments),
        fencing=int(fencing),
        reason=str(reason),
        recorded_unix_s=float(recorded_unix_s),
        status=OrderStatus(status),
        settled_unix_s=float(settled_unix_s),
        detail=str(detail),
    )
