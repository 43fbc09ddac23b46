"""Record, send and settle orders under the authority of one pool."""

import secrets
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from loguru import logger

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.authority.lease import Authority
from persimmonyoke.internal.authority.record import (
    AuthorityChange,
    OrderEntry,
    OrderRecord,
    OrderStatus,
    decode_record,
    encode_record,
)
from persimmonyoke.internal.invariants import Invariant, check_invariant
from persimmonyoke.internal.platform.store import (
    EXPECT_ABSENT,
    KeyValueStore,
    WriteApplied,
    WriteConflict,
    WriteNotApplied,
)
from persimmonyoke.internal.upstreams.api import (
    EngineClient,
    EngineFailure,
    EngineState,
    Order,
    OrderAccepted,
    OrderRefused,
)

LOG_PREFIX = "[authority]"

ORDER_TIME_SHARE = 0.9
"""Share of the remaining authority that an order may take."""


@dataclass(frozen=True)
class OrderSent:
    """Report that the engine accepted the order; it is open until it is confirmed."""

    entry: OrderEntry


@dataclass(frozen=True)
class OrderNotSent:
    """Report why no order was sent."""

    reason: str


@dataclass(frozen=True)
class OrderInDoubt:
    """Report that the engine may have accepted the order; it stays open."""

    entry: OrderEntry
    reason: str


IssueOutcome = OrderSent | OrderNotSent | OrderInDoubt


class AuthorityLost(Exception):
    """Report that another controller wrote the order record."""


class OrderIssuer:
    """Issue orders for one pool while this process holds its authority.

    ``client_of`` returns the client of an engine by name, or ``None`` if the engine is
    not in the directory. ``authority`` returns the authority at a time, or ``None``.
    """

    def __init__(
        self,
        store: KeyValueStore,
        key: str,
        *,
        holder: str,
        authority: Callable[[float], Authority | None],
        client_of: Callable[[str], EngineClient | None],
        order_deadline_s: float,
        lease_s: float,
        checks_fencing: bool,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        if order_deadline_s <= 0:
            raise ValueError(
                f"order_deadline_s must be positive, got {order_deadline_s!r}"
            )
        self._store = store
        self._key = key
        self._holder = holder
        self._authority = authority
        self._client_of = client_of
        self._order_deadline_s = order_deadline_s
        self._lease_s = lease_s
        self._checks_fencing = checks_fencing
        self._clock_s = clock_s
        self._revision = EXPECT_ABSENT
        self.record = OrderRecord()

    def first_order_s(self, authority: Authority) -> float:
        """Return the monotonic time before which no order may be sent.

        If the engine ignores fencing numbers, the wait ensures that each order of an
        earlier holder has either arrived or can no longer arrive.
        """
        if self._checks_fencing:
            return authority.acquired_s
        return authority.acquired_s + self._lease_s + self._order_deadline_s

    def take_over(self, authority: Authority, *, now_unix_s: float) -> None:
        """Read the record and write it under the new fencing number.

        Raises ``StoreUnavailable`` if the record can't be read and ``AuthorityLost`` if
        a controller with a higher number wrote it.
        """
        self._read()
        if self.record.fencing > authority.fencing:
            raise AuthorityLost(f"record has fencing number {self.record.fencing}")
        change = AuthorityChange(self._holder, authority.fencing, now_unix_s)
        if self.record.fencing < authority.fencing:
            self._write(self.record.with_authority(change))

    def settle_open_orders(self, *, now_s: float, now_unix_s: float) -> bool:
        """Settle the open orders whose engines can be queried.

        Returns whether no open order is left.
        """
        for entry in self.record.open_orders:
            self._settle_one(entry, now_s=now_s, now_unix_s=now_unix_s)
        return not self.record.open_orders

    def issue(
        self,
        engine: str,
        incarnation: str,
        action: str,
        arguments: Mapping[str, str],
        *,
        reason: str,
        now_s: float,
        now_unix_s: float,
    ) -> IssueOutcome:
        """Record an order, send it and record a refusal.

        Raises ``AuthorityLost`` if another controller took over.
        """
        authority = self._authority(now_s)
        if authority is None:
            return OrderNotSent("this controller has no authority")
        if now_s < self.first_order_s(authority):
            return OrderNotSent("orders of an earlier holder may still arrive")
        if self.record.open_order_of(engine) is not None:
            return OrderNotSent(f"engine {engine} has an open order")
        entry = OrderEntry(
            order_id=secrets.token_hex(8),
            engine=engine,
            incarnation=incarnation,
            action=action,
            arguments=tuple(sorted(arguments.items())),
            fencing=authority.fencing,
            reason=reason,
            recorded_unix_s=now_unix_s,
        )
        self._write(self.record.with_open(entry))
        # The write may have taken long, so the clock is read again before sending.
        now_s = self._clock_s()
        if self._authority(now_s) is None:
            return OrderInDoubt(entry, "authority ended while the order was recorded")
        return self._send(entry, authority, now_s=now_s, now_unix_s=now_unix_s)

    def _send(
        self,
        entry: OrderEntry,
        authority: Authority,
        *,
        now_s: float,
        now_unix_s: float,
    ) -> IssueOutcome:
        client = self._client_of(entry.engine)
        if client is None:
            return OrderInDoubt(entry, "engine is not in the directory")
        current = self._authority(now_s)
        check_invariant(
            current is not None and current.fencing == authority.fencing,
            Invariant.NO_ORDER_WITHOUT_AUTHORITY,
            f"order {entry.order_id} for {entry.engine} without authority",
        )
        # The connection must be closed before authority ends.
        remaining_s = ORDER_TIME_SHARE * authority.remaining_s(now_s)
        timeout_s = min(self._order_deadline_s, remaining_s)
        # The fencing number is the last revision of the record. It increases with each
        # order and exceeds the number of the acquisition, so that a delayed packet of
        # an earlier order of this holder is refused as well.
        order = Order(
            entry.order_id,
            entry.engine,
            self._revision,
            entry.action,
            dict(entry.arguments),
        )
        outcome = client.order(order, timeout_s=timeout_s)
        logger.info(
            "{} order {} {} for {}: {}",
            LOG_PREFIX,
            entry.order_id,
            entry.action,
            entry.engine,
            type(outcome).__name__,
        )
        match outcome:
            case OrderAccepted():
                return OrderSent(entry)
            case OrderRefused(reason=reason):
                self._settle(entry, OrderStatus.REFUSED, reason, now_unix_s=now_unix_s)
                return OrderNotSent(reason)
            case _:
                return OrderInDoubt(entry, outcome.reason)

    def _settle_one(
        self, entry: OrderEntry, *, now_s: float, now_unix_s: float
    ) -> None:
        client = self._client_of(entry.engine)
        if client is None:
            return
        try:
            state = client.state()
        except EngineFailure:
            return
        if state.incarnation != entry.incarnation:
            detail = "engine restarted"
            self._settle(entry, OrderStatus.ENGINE_GONE, detail, now_unix_s=now_unix_s)
        elif state.open_order_id == entry.order_id:
            return
        elif state.last_order_id == entry.order_id:
            detail = state.last_order_status or ""
            self._settle(entry, _final_status(state), detail, now_unix_s=now_unix_s)
        else:
            self._settle_absent(entry, now_s=now_s, now_unix_s=now_unix_s)

    def _settle_absent(
        self, entry: OrderEntry, *, now_s: float, now_unix_s: float
    ) -> None:
        """Settle an order that its engine does not know.

        An engine that checks fencing numbers could still receive the old order, so the
        same order is sent again under the current number. For an engine that ignores
        them, the order is settled only after the wait, when it can no longer arrive.
        """
        authority = self._authority(now_s)
        if authority is None or now_s < self.first_order_s(authority):
            return
        if self._checks_fencing:
            self._send(entry, authority, now_s=now_s, now_unix_s=now_unix_s)
        elif entry.fencing < authority.fencing:
            detail = "engine never received it"
            self._settle(entry, OrderStatus.NOT_RUN, detail, now_unix_s=now_unix_s)
        elif now_unix_s - entry.recorded_unix_s > 2 * self._order_deadline_s:
            # This holder's connection was reset at its deadline, so no order is in
            # flight.
            detail = "order connection was reset"
            self._settle(entry, OrderStatus.NOT_RUN, detail, now_unix_s=now_unix_s)

    def _settle(
        self, entry: OrderEntry, status: OrderStatus, detail: str, *, now_unix_s: float
    ) -> None:
        settled = self.record.with_settled(
            entry.order_id, status, detail, now_unix_s=now_unix_s
        )
        self._write(settled)

    def _read(self) -> None:
        current = self._store.get(self._key)
        if current is None:
            self._revision = EXPECT_ABSENT
            self.record = OrderRecord()
            return
        self._revision = current.mod_revision
        self.record = decode_record(current.value)

    def _write(self, record: OrderRecord) -> None:
        """Write the record; raise ``AuthorityLost`` unless it is known to be applied.

        Raises ``StoreUnavailable`` if it is known that nothing was written. An unknown
        outcome ends this holder's authority, because its copy of the record may be
        stale; a successor (or this process after a new acquisition) reads it again.
        """
        write_id = secrets.token_hex(8)
        stamped = replace(record, write_id=write_id)
        outcome = self._store.compare_and_swap(
            self._key, encode_record(stamped), expected_revision=self._revision
        )
        match outcome:
            case WriteApplied(revision):
                self._revision = revision
                self.record = stamped
            case WriteConflict(current) if (
                current is not None
                and decode_record(current.value).write_id == write_id
            ):
                # A transport retry conflicted with this holder's own first write.
                self._revision = current.mod_revision
                self.record = stamped
            case WriteNotApplied(reason):
                raise StoreUnavailable(f"order record was not written: {reason}")
            case WriteConflict():
                raise AuthorityLost("another controller wrote the order record")
            case _:
                raise AuthorityLost("outcome of a write of the order record is unknown")


def _final_status(state: EngineState) -> OrderStatus:
    failed = state.last_order_status in ("failed", "refused")
    return OrderStatus.REFUSED if failed else OrderStatus.DONE
