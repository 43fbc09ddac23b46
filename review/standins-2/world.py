"""A small deployment: the store, replicas and real entry hosts as processes."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from replicas import Replica
from store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("accra-a", "tema-b", "kasoa-c")
READY_TIMEOUT_S = 15.0
FIRST_PORT, LAST_PORT = 12_000, 32_000
_RANDOM = random.Random()
_GIVEN_PORTS: set[int] = set()


class CaseFailed(Exception):
    """Signal that a case could not run."""


def route(name: str, prefix: str, service: str, kind: str, **fields: Any) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": "shop.example",
        "path-prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout-ms": 6_000,
        "target-latency-ms": 600,
        "max-attempts": 2,
        "priority": 1,
        **fields,
    }


ENGINE_LIMITS = {
    "slots": 64,
    "kv-tokens": 491_663,
    "kv-token-bytes": 163_840,
    "link-mbps": 1_700_000,
    "role-switch-s": 3.0,
}
CLIENT_LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 4_194_304,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
}


def configuration(version: int, routes: list[dict], services: list[dict]) -> bytes:
    """Return the value of ``op/config``."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": CLIENT_LIMITS,
        }
    ).encode()


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP, below those of outgoing sockets."""
    ports: list[int] = []
    while len(ports) < count:
        port = _RANDOM.randrange(FIRST_PORT, LAST_PORT)
        if port not in _GIVEN_PORTS and _is_free(port):
            _GIVEN_PORTS.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class Host:
    """Run the program of one entry host as the deploy file does."""

    def __init__(self, name: str, zone: str, store_port: int, folder: Path) -> None:
        self.name = name
        front, ready, directory, peer, metrics = free_ports(5)
        self.front, self.ready_port, self.directory = front, ready, directory
        self.metrics, self.peer = metrics, peer
        self._folder = folder
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            f"""node={name}
role=entry
machine-class=front
serves=front,directory
ip=127.0.0.1
zone={zone}
region=gh-south
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
listen.directory=127.0.0.1:{directory}
internal-ports={peer},{peer}
bootstrap=true
limits.memory-mb=300
limits.max-fds=4100
discovery=platform
entry=directory
beat-interval-ms=1200
bounds.drain-ms=2000
bounds.grace-s=8
bounds.config-apply-ms=2000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.retry-slack=54
bounds.lease-ms=3000
bounds.thaw-slack-ms=300
bounds.ttl_max_s=5
platform-store.address=127.0.0.1:{store_port}
platform-store.form=kv
platform-store.writes-per-s=400
platform-store.reads-per-s=2000
platform-store.history-s=20
platform-store.ttl-min-ms=1000
"""
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its log goes to the folder of the trial."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PERSIMMONYOKE_BOOT": str(self._settings),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [
                    "python3",
                    "-m",
                    "persimmonyoke_platform",
                    "--metrics-port",
                    str(self.metrics),
                ],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b" 200 " in line


class World:
    """Hold one deployment and the record of what happened in it."""

    def __init__(self, record_path: Path, **labels: Any) -> None:
        self.store = Store()
        self.hosts: dict[str, Host] = {}
        self.replicas: list[Replica] = []
        self.folder = Path(tempfile.mkdtemp(prefix="persimmonyoke-case-"))
        self.started_s = time.monotonic()
        self.rows: list[dict] = []
        self._labels = labels
        self._file = record_path.open("a")
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "World":
        self._tasks.append(asyncio.create_task(self.store.expire_leases()))
        return self

    async def __aexit__(self, *_error: object) -> None:
        for host in self.hosts.values():
            host.end()
        for task in self._tasks:
            task.cancel()
        for replica in self.replicas:
            await replica.close()
        await self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        self._file.close()

    def now_s(self) -> float:
        """Return the time since the start of the trial."""
        return time.monotonic() - self.started_s

    def record(self, kind: str, **fields: Any) -> None:
        """Record an event of the trial."""
        row = {"at_s": round(self.now_s(), 3), "kind": kind, **fields}
        self.rows.append(row)
        self._file.write(json.dumps({**self._labels, **row}) + "\n")
        self._file.flush()

    def of_kind(self, kind: str) -> list[dict]:
        """Return the recorded events of a kind."""
        return [row for row in self.rows if row["kind"] == kind]

    async def add_host(self, name: str, zone: str) -> Host:
        """Prepare one entry host; ``start`` starts it."""
        port = await self.store.listen(name)
        self.hosts[name] = Host(name, zone, port, self.folder)
        return self.hosts[name]

    async def add_replica(self, replica: Replica, *, register: bool = True) -> Replica:
        """Let a replica listen, and register it."""
        replica.record = self.record
        await replica.listen()
        self.replicas.append(replica)
        if register:
            replica.register()
        return replica

    async def until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait for a condition; return whether it holds in time."""
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() >= end_s:
                return False
            await asyncio.sleep(0.01)
        return True

    async def until_ready(self) -> None:
        """Wait until all hosts are ready; raise ``CaseFailed``."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        for host in self.hosts.values():
            while not await host.is_ready():
                if time.monotonic() >= end_s:
                    raise CaseFailed(f"{host.name} did not become ready")
                await asyncio.sleep(0.05)
