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

KEPT_ORDERS = 256
# Field that each action needs besides ``order_id``, ``fencing`` and ``action``.
REQUIRED_FIELD = {
    "change_role": "role",
    "load_model": "model",
    "load_adapter": "adapter",
    "load_version": "version",
}


@dataclass
class Configuration:
    """Hold what orders change."""

    role: Role
    models: list[str]
    version: str
    adapters: list[str] = field(default_factory=list)
    fencing: int = 0


@dataclass
class KeptOrder:
    """Remember an order, so that a repeated one has no second effect."""

    body: Mapping[str, Any]
    status: str


class OrderDesk:
    """Take, refuse and carry out the orders of one incarnation."""

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
        self._kept: OrderedDict[str, KeptOrder] = OrderedDict()

    @property
    def last_order_status(self) -> str | None:
        """Return ``open`` or ``done`` for the newest order taken."""
        kept = self._kept.get(self.last_order_id or "")
        return kept.status if kept else None

    def take(self, body: Mapping[str, Any]) -> tuple[int, dict[str, Any]]:
        """Return the HTTP status and body that answer an order."""
        kept = self._kept.get(str(body.get("order_id", "")))
        if kept is not None and dict(kept.body) == dict(body):
            self._note(body, "repeated")
            return 200, {"order_id": body["order_id"], "status": kept.status}
        fault = self._fault(body, kept)
        if fault is not None:
            self._note(body, "refused", fault)
            return 409, {"order_id": body.get("order_id"), "error": fault}
        self._note(body, "taken")
        self._start(body)
        return 200, {"order_id": body["order_id"], "status": "open"}

    def _fault(self, body: Mapping[str, Any], kept: KeptOrder | None) -> str | None:
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
        if kept is not None:
            return "order_id was used for another order"
        if self.settings.checks_fencing and self._is_stale(body):
            return "stale fencing number"
        if self.open_order_id is not None:
            return "another order is open"
        return None

    def _is_stale(self, body: Mapping[str, Any]) -> bool:
        fencing = body.get("fencing")
        return isinstance(fencing, int) and fencing < self.configuration.fencing

    def _note(self, body: Mapping[str, Any], effect: str, reason: str = "") -> None:
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
        self._kept[order_id] = KeptOrder(dict(body), "open")
        if len(self._kept) > KEPT_ORDERS:
            self._kept.popitem(last=False)
        self.open_order_id = order_id
        self.last_order_id = order_id
        self.configuration.fencing = max(self.configuration.fencing, body["fencing"])
        # Set before the answer is sent: no request may slip in after the order.
        self.changing_role = body["action"] == "change_role"
        self._spawn(self._carry_out, body)

    def _carry_out(self, body: Mapping[str, Any]) -> None:
        action = body["action"]
        timing = self.settings.timing
        if action == "change_role":
            if not self._change_role(Role(body["role"])):
                return
        elif action == "load_adapter":
            gevent.sleep(timing.scaled(timing.load_adapter_s))
            self._add(self.configuration.adapters, body["adapter"])
        else:
            gevent.sleep(timing.scaled(timing.load_model_s))
            if body.get("model"):
                self._add(self.configuration.models, body["model"])
            self.configuration.version = body.get("version", self.configuration.version)
        self._kept[body["order_id"]].status = "done"
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
    def _add(names: list[str], name: str) -> None:
        if name not in names:
            names.append(name)
