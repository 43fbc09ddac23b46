"""Key-value store over the etcd v3 JSON gateway."""

import math
from collections.abc import Callable, Mapping
from threading import Event
from typing import Any

from persimmonyoke.errors import ProtocolError, StoreUnavailable
from persimmonyoke.internal.platform import etcd_json
from persimmonyoke.internal.platform.budget import Operation, RateBudget
from persimmonyoke.internal.platform.etcd_watch import IDLE_S, WatchLoop
from persimmonyoke.internal.platform.http_json import (
    Connections,
    HttpFailure,
    call_json,
)
from persimmonyoke.internal.platform.store import (
    MAX_VALUE_BYTES,
    KeyValue,
    KeyValueStore,
    Purpose,
    WatchNotice,
    WriteApplied,
    WriteConflict,
    WriteNotApplied,
    WriteOutcome,
    WriteUnknown,
)

CALL_TIMEOUT_S = 2.0
REJECTED_STATUSES = frozenset({400, 404, 429})
"""Statuses with which the gateway rejects a request before proposing it to etcd."""


class EtcdGatewayStore(KeyValueStore):
    """Access the key-value service through its JSON gateway.

    Stores for several purposes share one budget and one pool of connections.
    """

    def __init__(
        self,
        base_url: str,
        *,
        budget: RateBudget,
        purpose: Purpose = Purpose.OTHER,
        timeout_s: float = CALL_TIMEOUT_S,
        watch_idle_s: float = IDLE_S,
        connections: Connections | None = None,
    ) -> None:
        if timeout_s <= 0:
            raise ValueError(f"timeout_s is {timeout_s}; accepted: above 0")
        self._base_url = base_url
        self._budget = budget
        self._purpose = purpose
        self._timeout_s = timeout_s
        self._watch_idle_s = watch_idle_s
        self._connections = connections or Connections(base_url)

    def for_purpose(self, purpose: Purpose) -> "EtcdGatewayStore":
        """Return a store on the same connections whose calls count for a purpose."""
        return EtcdGatewayStore(
            self._base_url,
            budget=self._budget,
            purpose=purpose,
            timeout_s=self._timeout_s,
            watch_idle_s=self._watch_idle_s,
            connections=self._connections,
        )

    def get(self, key: str) -> KeyValue | None:
        """Return the key's value; raise ``StoreUnavailable``."""
        body = {"key": etcd_json.encode_bytes(key.encode())}
        found = self._range(body)
        return found[0] if found else None

    def list_prefix(
        self, prefix: str, *, limit: int = 0, newest_first: bool = False
    ) -> tuple[KeyValue, ...]:
        """Return the keys under a prefix in key order; raise ``StoreUnavailable``.

        ``newest_first`` reverses the order, for keys that end in a rising number.
        """
        body = {
            **etcd_json.prefix_fields(prefix),
            "limit": str(limit),
            "sort_target": "KEY",
            "sort_order": "DESCEND" if newest_first else "ASCEND",
        }
        return self._range(body)

    def compare_and_swap(
        self, key: str, value: bytes, *, expected_revision: int, lease_id: int = 0
    ) -> WriteOutcome:
        """Write the key if its last write has the expected revision."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"value of {key} has {len(value)} bytes; accepted: {MAX_VALUE_BYTES}"
            )
        put = etcd_json.put_request(key, value, lease_id)
        return self._write(key, expected_revision, put)

    def delete(self, key: str, *, expected_revision: int) -> WriteOutcome:
        """Delete the key if its last write has the expected revision."""
        return self._write(key, expected_revision, etcd_json.delete_request(key))

    def grant_lease(self, *, ttl_s: float) -> int:
        """Create a lease of at least ``ttl_s``; raise ``StoreUnavailable``."""
        body = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        lease_id = self._number(self._call("/v3/lease/grant", body, Operation.LEASE))
        if lease_id == 0:
            raise StoreUnavailable("lease grant without an id")
        return lease_id

    def keep_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining seconds; 0 if it has lapsed."""
        body = {"ID": str(lease_id)}
        answer = self._call("/v3/lease/keepalive", body, Operation.LEASE)
        result = answer.get("result")
        if not isinstance(result, dict):
            raise StoreUnavailable(f"keepalive without a result: {answer!r:.200}")
        return float(max(0, self._number(result, "TTL")))

    def revoke(self, lease_id: int) -> None:
        """End a lease; raise ``StoreUnavailable``."""
        self._call("/v3/lease/revoke", {"ID": str(lease_id)}, Operation.LEASE)

    def watch(
        self,
        prefix: str,
        *,
        from_revision: int,
        on_event: Callable[[WatchNotice], None],
        stop: Event,
    ) -> None:
        """Report each write under a prefix until ``stop`` is set."""
        WatchLoop(
            self._connections,
            budget=self._budget,
            purpose=self._purpose,
            prefix=prefix,
            from_revision=from_revision,
            on_event=on_event,
            idle_s=self._watch_idle_s,
        ).run(stop)

    def _range(self, body: Mapping[str, Any]) -> tuple[KeyValue, ...]:
        answer = self._call("/v3/kv/range", body, Operation.READ)
        try:
            found = etcd_json.messages(answer.get("kvs"), "kvs")
            return tuple(etcd_json.key_value(fields) for fields in found)
        except ProtocolError as error:
            raise StoreUnavailable(f"invalid answer: {error}") from error

    def _call(
        self, path: str, body: Mapping[str, Any], operation: Operation
    ) -> Mapping[str, Any]:
        """Make a call that doesn't write a key; raise ``StoreUnavailable``."""
        if not self._acquire(operation):
            raise StoreUnavailable(self._refusal())
        try:
            return call_json(
                self._connections, "POST", path, body, timeout_s=self._timeout_s
            )
        except HttpFailure as failure:
            raise StoreUnavailable(f"{path}: {failure.reason}") from failure

    def _write(
        self, key: str, expected_revision: int, success: etcd_json.Json
    ) -> WriteOutcome:
        if not self._acquire(Operation.WRITE):
            return WriteNotApplied(self._refusal())
        body = etcd_json.compare_revision_txn(key, expected_revision, success)
        try:
            answer = call_json(
                self._connections, "POST", "/v3/kv/txn", body, timeout_s=self._timeout_s
            )
            return _txn_outcome(answer)
        except HttpFailure as failure:
            if not failure.sent or failure.status in REJECTED_STATUSES:
                return WriteNotApplied(failure.reason)
            return WriteUnknown(failure.reason)
        except ProtocolError as error:
            return WriteUnknown(f"invalid answer: {error}")

    def _acquire(self, operation: Operation) -> bool:
        return self._budget.acquire(self._purpose, operation, timeout_s=self._timeout_s)

    def _refusal(self) -> str:
        return f"rate budget of purpose {self._purpose} is spent"

    @staticmethod
    def _number(answer: Mapping[str, Any], name: str = "ID") -> int:
        try:
            return etcd_json.number(answer, name)
        except ProtocolError as error:
            raise StoreUnavailable(f"invalid answer: {error}") from error


def _txn_outcome(answer: Mapping[str, Any]) -> WriteOutcome:
    """Return the outcome of a transaction; raise ``ProtocolError``."""
    # proto3 JSON omits "succeeded" if it is false, so only the header shows that this
    # is the answer of a transaction.
    revision = etcd_json.number(
        etcd_json.message(answer.get("header"), "header"), "revision"
    )
    if revision <= 0:
        raise ProtocolError("transaction without a revision")
    if answer.get("succeeded") is True:
        return WriteApplied(revision)
    responses = etcd_json.messages(answer.get("responses"), "responses")
    if not responses:
        raise ProtocolError("failed transaction without its read")
    read = etcd_json.message(responses[0].get("response_range"), "response_range")
    found = etcd_json.messages(read.get("kvs"), "kvs")
    return WriteConflict(etcd_json.key_value(found[0]) if found else None)
