"""Orders of the simulated engine: role changes and loading of models."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import Event

from persimmonyoke.internal.upstreams.api import Role
from persimmonyoke_testing.engine_record import EngineRecord, OrderRun
from persimmonyoke_testing.engine_settings import EngineFaults, EngineSettings

MAX_STORED_ORDERS = 256
# Field that each action requires besides ``order_id``, ``fencing`` and ``action``.
REQUIRED_FIELD = {
    "change_role": "role",
    "load_model": "model",
    "load_adapter": "adapter",
    "load_version": "version",
}


@dataclass
class Configuration:
    """Hold the configuration that orders modify."""

    role: Role
    models: list[str]
    version: str
    adapters: list[str] = field(default_factory=list)
    fencing: int = 0


@dataclass
class StoredOrder:
    """Store an accepted order, so that a retry of it has no further effect."""

    body: Mapping[str, Any]
    status: str


class OrderHandler:
    """Accept, refuse and execute the orders of one incarnation."""

    def __init__(
        self,
        settings: EngineSettings,
        faults: EngineFaults,
        configuration: Configuration,
        record: EngineRecord,
        *,
        incarnation: str,
        drained: Event,
        crash: Callable[[], None],
        spawn: Callable[..., object],
    ) -> None:
        self.settings = settings
        self.faults = faults
        self.configuration = configuration
        self.record = record
        self.incarnation = incarnation
        self.open_order_id: str | None = None
        self.last_order_id: str | None = None
        self.changing_role = False
        self._drained = drained
        self._crash = crash
        self._spawn = spawn
        self._stored_orders: OrderedDict[str, StoredOrder] = OrderedDict()

    @property
    def last_order_status(self) -> str | None:
        """Return ``open`` or ``done`` for the most recently accepted order."""
        stored = self._stored_orders.get(self.last_order_id or "")
        return stored.status if stored else None

    def take(self, body: Mapping[str, Any]) -> tuple[int, dict[str, Any]]:
        """Handle an order and return the HTTP status and body of the answer."""
        stored = self._stored_orders.get(str(body.get("order_id", "")))
        if stored is not None and dict(stored.body) == dict(body):
            self._record_order(body, "repeated")
            return 200, {"order_id": body["order_id"], "status": stored.status}
        reason = self._refusal_reason(body, stored)
        if reason is not None:
            self._record_order(body, "refused", reason)
            return 409, {"order_id": body.get("order_id"), "error": reason}
        self._record_order(body, "taken")
        self._start(body)
        return 200, {"order_id": body["order_id"], "status": "open"}

    def _refusal_reason(
        self, body: Mapping[str, Any], stored: StoredOrder | None
    ) -> str | None:
        required = REQUIRED_FIELD.get(str(body.get("action")))
        if required is None:
            return "unknown action"
        if not body.get("order_id") or not isinstance(body.get("fencing"), int):
            return "order_id or fencing is missing"
        if not body.get(required):
            return f"{required} is missing"
        if required == "role" and body["role"] not in set(Role):
            return "unknown role"
        if self.faults.refuse_orders:
            return "orders are refused"
        if stored is not None:
            return "order_id was used for another order"
        if self.settings.checks_fencing and self._is_stale(body):
            return "stale fencing number"
        if self.open_order_id is not None:
            return "another order is open"
        return None

    def _is_stale(self, body: Mapping[str, Any]) -> bool:
        fencing = body.get("fencing")
        return isinstance(fencing, int) and fencing < self.configuration.fencing

    def _record_order(
        self, body: Mapping[str, Any], effect: str, reason: str = ""
    ) -> None:
        fencing = body.get("fencing")
        order = OrderRun(
            order_id=str(body.get("order_id")),
            action=str(body.get("action")),
            fencing=fencing if isinstance(fencing, int) else -1,
            incarnation=self.incarnation,
            effect=effect,
            stale=self._is_stale(body),
            conflicting=effect != "repeated" and self.open_order_id is not None,
            reason=reason,
        )
        self.record.orders.append(order)

    def _start(self, body: Mapping[str, Any]) -> None:
        order_id = body["order_id"]
        self._stored_orders[order_id] = StoredOrder(dict(body), "open")
        if len(self._stored_orders) > MAX_STORED_ORDERS:
            self._stored_orders.popitem(last=False)
        self.open_order_id = order_id
        self.last_order_id = order_id
        self.configuration.fencing = max(self.configuration.fencing, body["fencing"])
        # Set before the order is answered, so that no request is accepted after it.
        self.changing_role = body["action"] == "change_role"
        self._spawn(self._execute, body)

    def _execute(self, body: Mapping[str, Any]) -> None:
        action = body["action"]
        timing = self.settings.timing
        if action == "change_role":
            if not self._change_role(Role(body["role"])):
                return
        elif action == "load_adapter":
            gevent.sleep(timing.scaled(timing.load_adapter_s))
            self._add_if_missing(self.configuration.adapters, body["adapter"])
        else:
            gevent.sleep(timing.scaled(timing.load_model_s))
            if body.get("model"):
                self._add_if_missing(self.configuration.models, body["model"])
            self.configuration.version = body.get("version", self.configuration.version)
        self._stored_orders[body["order_id"]].status = "done"
        self.open_order_id = None

    def _change_role(self, role: Role) -> bool:
        timing = self.settings.timing
        self._drained.wait()
        gevent.sleep(timing.scaled(timing.role_change_s) / 2)
        if self.faults.crash_in_role_change:
            self.faults.crash_in_role_change = False
            self._crash()
            return False
        gevent.sleep(timing.scaled(timing.role_change_s) / 2)
        self.configuration.role = role
        self.changing_role = False
        self.record.counts["role_changes"] += 1
        return True

    @staticmethod
    def _add_if_missing(names: list[str], name: str) -> None:
        if name not in names:
            names.append(name)
