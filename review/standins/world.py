"""Hosts as processes of their own, a record of what happened, and small clients."""

import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Write what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._begun_s = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, what, **fields):
        words = " ".join(f"{key}={value}" for key, value in fields.items())
        with self._lock:
            at_s = time.monotonic() - self._begun_s
            self._file.write(f"{at_s:8.3f} {what} {words}\n")
            self._file.flush()


def free_ports(count):
    """Return ports that are free for TCP and UDP now."""
    held = []
    while len(held) < count:
        tcp = socket.socket()
        tcp.bind(("127.0.0.1", 0))
        udp = socket.socket(type=socket.SOCK_DGRAM)
        try:
            udp.bind(tcp.getsockname())
        except OSError:
            tcp.close()
            continue
        finally:
            udp.close()
        held.append(tcp)
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


class Host:
    """Run the program of the deploy file as one entry host."""

    def __init__(self, name, store_port, folder, record, *, zone="accra-a"):
        self.name, self._record = name, record
        front, ready, directory, peers, metrics = free_ports(5)
        self.front, self.ready_port, self.directory = front, ready, directory
        self._metrics = metrics
        self.conf = Path(folder) / f"{name}.conf"
        self.log = Path(folder) / f"{name}.log"
        self.conf.write_text(
            f"node={name}\nrole=entry\nmachine-class=front\nserves=front,directory\n"
            f"ip=127.0.0.1\nzone={zone}\nregion=gh-south\n"
            "zones.accra-a=gh-south\nzones.tema-b=gh-south\nzones.kasoa-c=gh-south\n"
            f"listen.front=127.0.0.1:{front}\nlisten.ready=127.0.0.1:{ready}\n"
            f"listen.directory=127.0.0.1:{directory}\n"
            f"internal-ports={peers},{peers}\nbootstrap=true\n"
            "limits.cpu-share=0.537\nlimits.cores=2\nlimits.memory-mb=300\n"
            "limits.max-fds=4100\ndiscovery=platform\nentry=directory\n"
            "beat-interval-ms=1200\nbounds.seed-lag-s=3\nbounds.reuse-after-s=2\n"
            "bounds.contact-ms=3000\nbounds.ack-timeout-ms=4000\n"
            "bounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n"
            "bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\n"
            "bounds.rollback-slack-ms=250\nbounds.max-stretch-ms=5000\n"
            "bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\n"
            "bounds.retry-slack=54\nbounds.recovery-s=12\nbounds.transit-ms=120\n"
            "bounds.reuse-window-s=9\nbounds.fencing-required=false\n"
            "bounds.lease-ms=3000\nbounds.thaw-slack-ms=300\nbounds.ttl_max_s=5\n"
            f"platform-store.address=127.0.0.1:{store_port}\n"
            "platform-store.form=kv\nplatform-store.writes-per-s=400\n"
            "platform-store.reads-per-s=2000\nplatform-store.history-s=20\n"
            "platform-store.value-bytes=1048576\nplatform-store.ttl-min-ms=1000\n",
            encoding="utf-8",
        )
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment["LANG"] = os.environ.get("LANG", "C.UTF-8")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PERSIMMONYOKE_BOOT"] = str(self.conf)
        command = ["python3", "-m", "persimmonyoke_platform"]
        command += ["--metrics-port", str(self._metrics)]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record("host_started", host=self.name, pid=self.process.pid)

    def wait_ready(self, timeout_s=15.0):
        """Wait until the host says that it is ready; raise ``TimeoutError``."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            try:
                if get_status(self.ready_port, "/ready") == 200:
                    self._record("host_ready", host=self.name)
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise TimeoutError(f"{self.name} was not ready in {timeout_s} s")

    def signal(self, number):
        """Send a signal to the process."""
        self._record("signal", host=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class World:
    """Hold the folder, the record and the processes of one case; ends them all."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.hosts = []

    def host(self, name, store_port, **options):
        """Return a new host that is ended with the world."""
        host = Host(name, store_port, self.folder, self.record, **options)
        self.hosts.append(host)
        return host

    def log_lines(self, host, event):
        """Return the log lines of a host that hold an event."""
        lines = host.log.read_text(encoding="utf-8", errors="replace").splitlines()
        return [line for line in lines if event in line]

    def end(self):
        """End all processes."""
        keep = os.environ.get("REVIEW_LOGS")
        for host in self.hosts:
            host.end()
            if keep:
                Path(keep).mkdir(parents=True, exist_ok=True)
                (Path(keep) / host.log.name).write_bytes(host.log.read_bytes())
        self._folder.cleanup()


def run_case(case_folder, play):
    """Run a case; return 0 if the rule held, 1 if it was broken, 2 without a result."""
    world = World(case_folder)
    try:
        broken = play(world)
    except Exception as error:
        world.record("could_not_run", error=repr(error))
        print(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        world.end()
    world.record("result", rule="broken" if broken else "held", trouble=TROUBLE)
    print("rule broken" if broken else "rule held", f"(trouble: {TROUBLE})")
    return BROKEN if broken else HELD


def get_status(port, path):
    """Return the status of a GET call, or raise ``OSError``."""
    with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
        request = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        sock.sendall(request.encode())
        data = sock.recv(4_096)
    return int(data.split()[1]) if data else 0


def resolve(port):
    """Ask a host's directory for addresses; return the addresses and their ttl."""
    client = Client(port)
    path = f"/resolve?name={HOST_NAME}&region=gh-south&zone=accra-a"
    got = client.request("GET", path, {"Host": HOST_NAME}, timeout_s=1.0)
    client.close()
    document = json.loads(got.body)
    return document["addresses"], document["ttl-s"]


class Answer:
    """Hold what a client saw of one answer."""

    def __init__(self, status, headers, body, complete):
        self.status, self.headers = status, headers
        self.body, self.complete = body, complete

    def __str__(self):
        stamp = self.headers.get("server-stamp")
        kind = "complete" if self.complete else "incomplete"
        return f"{self.status}/{kind}/stamp:{stamp}/{len(self.body)}B"


class Client:
    """Keep one connection to a host and send one request at a time."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=5.0)
        self._buffer = b""

    def request(self, method, path, headers, body=b"", *, timeout_s, bytes_per_s=0):
        """Send a request and return its answer; status 0 means that none came.

        With ``bytes_per_s`` the body is sent no faster than that.
        """
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        end_s = time.monotonic() + timeout_s
        self.sock.settimeout(timeout_s)
        try:
            self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
            self._send_body(body, bytes_per_s)
            return self._answer(end_s)
        except OSError as error:
            return Answer(0, {"error": repr(error)}, b"", False)

    def _send_body(self, body, bytes_per_s):
        begun_s = time.monotonic()
        for first in range(0, len(body), 65_536):
            due_s = begun_s + (first / bytes_per_s if bytes_per_s else 0.0)
            time.sleep(max(0.0, due_s - time.monotonic()))
            self.sock.sendall(body[first : first + 65_536])

    def _answer(self, end_s):
        while b"\r\n\r\n" not in self._buffer:
            if not self._more(end_s):
                return Answer(0, {"error": "closed without an answer"}, b"", False)
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split()[1])
        pairs = (line.partition(":") for line in lines[1:])
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        if headers.get("transfer-encoding") == "chunked":
            body, complete = self._chunks(end_s)
        else:
            size = int(headers.get("content-length", "0"))
            while len(self._buffer) < size and self._more(end_s):
                pass
            body, self._buffer = self._buffer[:size], self._buffer[size:]
            complete = len(body) == size
        return Answer(status, headers, body, complete)

    def _chunks(self, end_s):
        body = b""
        while True:
            while b"\r\n" not in self._buffer:
                if not self._more(end_s):
                    return body, False
            line, _, self._buffer = self._buffer.partition(b"\r\n")
            size = int(line, 16)
            while len(self._buffer) < size + 2:
                if not self._more(end_s):
                    return body, False
            body += self._buffer[:size]
            self._buffer = self._buffer[size + 2 :]
            if size == 0:
                return body, True

    def _more(self, end_s):
        left_s = end_s - time.monotonic()
        if left_s <= 0:
            return False
        self.sock.settimeout(left_s)
        try:
            data = self.sock.recv(65_536)
        except OSError:
            return False
        self._buffer += data
        return bool(data)

    def close(self):
        """Close the connection."""
        self.sock.close()


class Beats:
    """Write the entries of replicas to the store, each about every 1.2 s."""

    INTERVAL_S = 1.2

    def __init__(self, store):
        self._store = store
        self._entries = {}
        self._lock = threading.Lock()
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, replica_id, entry):
        """Register a replica, or change its entry."""
        with self._lock:
            self._entries[replica_id] = dict(entry)
            self._store.put(f"servers/{replica_id}", entry)

    def change(self, replica_id, **fields):
        """Change fields of a replica's entry and write it at once."""
        with self._lock:
            entry = self._entries[replica_id]
            entry.update(fields)
            self._store.put(f"servers/{replica_id}", entry)

    def drop(self, replica_id):
        """Remove a replica's entry."""
        with self._lock:
            self._entries.pop(replica_id, None)
            self._store.remove(f"servers/{replica_id}")

    def _run(self):
        while True:
            time.sleep(self.INTERVAL_S)
            with self._lock:
                for replica_id, entry in self._entries.items():
                    if not self._store._away:
                        entry["sequence"] = entry.get("sequence", 0) + 1
                        self._store.put(f"servers/{replica_id}", entry)


def entry(service, port, **fields):
    """Return the entry of a replica on the loopback interface."""
    return {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": "accra-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold-ms": 0,
        "sequence": 1,
        "born": int(time.time() * 1_000),
        **fields,
    }


def configuration(version, routes, services):
    """Return a configuration with the limits of the example on the users' pages."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    }


PLAIN_SERVICE = {"name": "registry-api", "health-path": "/health"}
PLAIN_SERVICE |= {"max-connections": 100, "protocol": "h1", "tls": False}
ENGINE_SERVICE = {
    "name": "llm-pool",
    "health-path": "/health",
    "max-connections": 360,
    "protocol": "h1",
    "tls": False,
    "engine": {
        "slots": 64,
        "kv-tokens": 491_663,
        "kv-token-bytes": 163_840,
        "link-mbps": 1_700_000.0,
        "kv-hold-s": 5.0,
        "role-switch-s": 3.0,
        "pin-ms": 4_000.0,
        "hold-ms": 2_000.0,
        "models": [{"name": "m"}],
    },
}
HOST_NAME = "ficu95.example"


def route(name, kind, service, **fields):
    """Return a route whose prefix is its name."""
    return {
        "name": f"r-{name}",
        "host": HOST_NAME,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 1_000,
        "target-latency-ms": 125,
        "priority": 2,
        "service": service,
        "max-attempts": 2,
        "sticky": False,
        **fields,
    }
