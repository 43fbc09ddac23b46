"""Testbed of the fault matrix: processes of one firm on an instrumented platform."""

import re
import signal
import tempfile
import tomllib
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path

import gevent
import tomli_w
from urllib3.exceptions import HTTPError

from persimmonyoke.internal.platform.etcd_json import decode_bytes
from persimmonyoke_cli.bench.faults_relay import Relay
from persimmonyoke_testing.builders_deployment import NodeProcess, call, wait_healthy
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.engine import EngineStandIn
from persimmonyoke_testing.engine_core import EngineCore
from persimmonyoke_testing.platform_fleet import FleetOptions
from persimmonyoke_testing.service import ServiceStandIn

VIOLATION = re.compile(
    r'^persimmonyoke_invariant_violations_total\{.*invariant="(\w+)".*\} (\S+)', re.M
)
START_ATTEMPTS = 4
START_TIMEOUT_S = 6.0
HOST_LIST_LAG_S = 5.0
Listener = Callable[[str, str], None]


class Testbed:
    """Run the entry hosts, controllers and instrumented simulators of one firm.

    ``listener`` is called at each instrumented interface with the name of the point
    and a detail (a key, a lease id, a service or an engine). It may kill or pause a
    process at that point.
    """

    def __init__(
        self,
        firm: str = "kente",
        *,
        entries: int = 3,
        controllers: int = 0,
        lease_s: float = 2.0,
        fleet: FleetOptions | None = None,
        shutdown: dict[str, float] | None = None,
        relays_engines: bool = False,
    ) -> None:
        self.deployment = Deployment(
            firm,
            nodes=0,
            controllers=0,
            lease_s=lease_s,
            order_deadline_s=0.5,
            fleet=fleet,
            shutdown=shutdown,
        )
        self.firm = self.deployment.firm
        self.platform = self.deployment.platform
        self.listener: Listener | None = None
        self.written_value = b""
        self._relays_engines = relays_engines
        self.processes: dict[str, NodeProcess] = {}
        self.relays: dict[str, Relay] = {}
        self._counts = (entries, controllers)
        self._files: dict[str, tuple[str, Path]] = {}
        self._folder = tempfile.TemporaryDirectory()

    def __enter__(self) -> "Testbed":
        self.deployment.start()
        self._hook_store()
        self._hook_services()
        for engine in self.platform.engines:
            self._hook_engine(engine)
        if self._relays_engines:
            self._add_engine_relays()
        entries, controllers = self.deployment.write_settings(
            Path(self._folder.name),
            entries=self._counts[0],
            controllers=self._counts[1],
        )
        for role, files in (("entry", entries), ("controller", controllers)):
            for path in files:
                self._add_store_relay(path)
                self._files[path.stem] = (role, path)
                self.start(path.stem)
        self.restart_ended()
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.end()
        for relay in self.relays.values():
            relay.close()
        self.deployment.stop()
        self._folder.cleanup()

    def _add_store_relay(self, path: Path) -> None:
        """Route the connection of a process to the store through its own relay."""
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        target = values["platform"]["key_value"].removeprefix("http://")
        relay = Relay(target)
        values["platform"]["key_value"] = f"http://{relay.address}"
        path.write_text(tomli_w.dumps(values), encoding="utf-8")
        self.relays[path.stem] = relay

    def _add_engine_relays(self) -> None:
        """Put the address of a relay to each engine into the host list."""
        host_list = self.platform.host_list
        for engine in self.platform.engines:
            relay = self.relays[engine.name] = Relay(engine.address)
            listed = host_list._hosts[engine.name]
            host_list.put(replace(listed, address=relay.address))

    # Hooks

    def notify(self, point: str, detail: str) -> None:
        """Notify the listener that a point was reached."""
        if self.listener is not None:
            self.listener(point, detail)

    def _hook_store(self) -> None:
        store = self.platform.key_value
        original_txn, original_keep = store._txn, store.state.keep_alive

        def txn(body):
            operations = body.get("success", ())
            keys = [o["request_put"]["key"] for o in operations if "request_put" in o]
            names = [decode_bytes(key).decode() for key in keys]
            if names:
                put = next(o["request_put"] for o in operations if "request_put" in o)
                self.written_value = decode_bytes(put.get("value", ""))
            for name in names:
                self.notify("write", name)
            answer = original_txn(body)
            for name in names:
                self.notify("written", name)
            return answer

        def keep_alive(lease_id):
            self.notify("renew", str(lease_id))
            return original_keep(lease_id)

        store._txn = txn
        store.state.keep_alive = keep_alive

    def _hook_services(self) -> None:
        for service in self.platform.services:
            self._hook_service(service)

    def _hook_service(self, service: ServiceStandIn) -> None:
        original = service._run

        def run(environ, body):
            self.notify("dispatch", service.name)
            outcome = original(environ, body)
            self.notify("answer", service.name)
            return outcome

        service._run = run

    def _hook_engine(self, engine: EngineStandIn) -> None:
        """Hook the engine's interface, and again after each restart of the engine."""
        start = engine.start

        def start_hooked() -> None:
            start()
            self._hook_core(engine.name, engine.core)

        engine.start = start_hooked
        self._hook_core(engine.name, engine.core)

    def _hook_core(self, name: str, core: EngineCore) -> None:
        take, state = core.orders.take, core.state

        def take_hooked(body):
            self.notify("order", name)
            answer = take(body)
            self.notify("ordered", name)
            return answer

        def state_hooked():
            self.notify("state", name)
            return state()

        core.orders.take = take_hooked
        core.state = state_hooked

    # Processes

    def url(self, name: str) -> str:
        """Return the base URL of a host for client requests."""
        return f"http://{self.platform.host_list.address_of(name)}"

    def operators_url(self, name: str) -> str:
        """Return the base URL of a host's operator API."""
        values = tomllib.loads(self._files[name][1].read_text(encoding="utf-8"))
        return f"http://{values['listen']['operators']}"

    def entries(self) -> list[str]:
        """Return the names of the entry hosts."""
        return [name for name, (role, _) in self._files.items() if role == "entry"]

    def controllers(self) -> list[str]:
        """Return the names of the controllers."""
        return [name for name, (role, _) in self._files.items() if role != "entry"]

    def controllers_started(self) -> bool:
        """Return whether each controller process has finished starting."""
        return all(self.processes[n].started_controller() for n in self.controllers())

    def urls(self) -> list[str]:
        """Return the base URLs of the entry hosts."""
        return [self.url(name) for name in self.entries()]

    def start(self, name: str) -> None:
        """Start the process of a host."""
        role, path = self._files[name]
        self.processes[name] = NodeProcess(role, path)

    def is_running(self, name: str) -> bool:
        """Return whether the process of a host is running."""
        return self.processes[name]._process.poll() is None

    def kill(self, name: str) -> None:
        """Send SIGKILL to the process of a host."""
        self.processes[name].send(signal.SIGKILL)

    def pause(self, name: str, seconds: float) -> None:
        """Pause a process with SIGSTOP and resume it after ``seconds``."""
        process = self.processes[name]
        process.send(signal.SIGSTOP)
        gevent.spawn_later(seconds, process.send, signal.SIGCONT)

    def stop_store(self) -> None:
        """Make the store unavailable until ``heal`` is called."""
        # In another greenlet: the simulator kills the greenlets that serve requests,
        # and the caller may be one of them.
        gevent.spawn(self.platform.key_value.set_down, True)
        gevent.sleep(0.01)

    def slow_store(self, delay_s: float) -> None:
        """Delay each answer of the store until ``heal`` is called."""
        self.platform.key_value.faults.slow_s = delay_s

    def lose_store_answer(self) -> None:
        """Make the store execute its next call and drop the answer."""
        self.platform.key_value.faults.lose_answers = 1

    def delay_host_list(self) -> None:
        """Delay changes of the host list by ``HOST_LIST_LAG_S``."""
        self.platform.host_list.lag_s = HOST_LIST_LAG_S

    def end_host_list_delay(self) -> None:
        """Remove the delay of the host list."""
        self.platform.host_list.lag_s = 0.0

    def start_ended(self) -> None:
        """Restart the processes that have ended."""
        for name in self.processes:
            if not self.is_running(name):
                self.start(name)

    def restart_ended(self) -> None:
        """Restart the processes that have ended; wait until all hosts are healthy."""
        for _ in range(START_ATTEMPTS - 1):
            # Another connection may have briefly taken a port that was free before.
            self.start_ended()
            try:
                wait_healthy(self.urls(), timeout_s=START_TIMEOUT_S)
            except TimeoutError:
                continue
            return
        self.start_ended()
        wait_healthy(self.urls(), timeout_s=START_TIMEOUT_S)

    def heal(self) -> None:
        """End all faults of the platform and the relays; restart stopped replicas."""
        store = self.platform.key_value
        store.faults.slow_s = 0.0
        store.faults.lose_answers = store.faults.lose_requests = 0
        if store.faults.down:
            store.set_down(False)
        for relay in self.relays.values():
            relay.heal()
        for service in self.platform.services:
            if not service.running:
                service.start()
        for engine in self.platform.engines:
            if not engine.running:
                engine.start()

    def violations(self, names: Iterable[str] | None = None) -> list[str]:
        """Return the invariant violations in the metrics of the running entry hosts."""
        found = []
        for name in names or self.entries():
            if not self.is_running(name):
                continue
            try:
                page = call("GET", f"{self.url(name)}/metrics", key="").body.decode()
            except (HTTPError, OSError):
                found.append(f"{name} shows no metrics")
                continue
            counted = [(i, n) for i, n in VIOLATION.findall(page) if float(n) > 0]
            found += [f"{name} counted {n} of {i}" for i, n in counted]
        return found
