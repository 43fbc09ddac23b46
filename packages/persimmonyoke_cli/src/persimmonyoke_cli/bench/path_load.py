"""Load generator of the ``path`` bench, run as a separate process.

Most requests go through the entry process; some go directly to the engines. Both are
measured in the same event loop, so that the delays of the generator cancel out.
"""

from gevent import monkey

monkey.patch_all()

import itertools
import json
import random
import socket
import sys
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field

import gevent

MAX_GAPS = 40_000
TIMEOUT_S = 60.0
RECEIVE_BYTES = 65_536
END_OF_EVENT = b"\n\n"


@dataclass(frozen=True)
class LoadPlan:
    """Workload of one generator; the measurement starts at ``begin_unix_s``."""

    entry: str
    engines: tuple[str, ...]
    key: str
    model: str
    requests_per_s: float
    direct_per_s: float
    output_tokens: int
    prompt_tokens: int
    start_unix_s: float
    begin_unix_s: float
    end_unix_s: float
    seed: int


@dataclass
class PathTimes:
    """Latencies and counts of one path; ``failures`` includes ``refused``."""

    first_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)
    requests: int = 0
    tokens: int = 0
    failures: int = 0
    refused: int = 0


class Generator:
    """Send requests with Poisson arrivals and record when their tokens arrive."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self.entry = PathTimes()
        self.direct = PathTimes()

    def run(self) -> None:
        """Send requests until ``end_unix_s``, then wait for the responses."""
        plan = self._plan
        tasks = [
            gevent.spawn(self._arrivals, plan.requests_per_s, self._via_entry),
            gevent.spawn(self._arrivals, plan.direct_per_s, self._direct),
        ]
        gevent.joinall(tasks, raise_error=True)

    def _arrivals(self, rate_per_s: float, send) -> None:
        requests = []
        next_unix_s = self._plan.start_unix_s
        while True:
            next_unix_s += self._rng.expovariate(rate_per_s)
            if next_unix_s >= self._plan.end_unix_s:
                break
            gevent.sleep(max(0.0, next_unix_s - time.time()))
            requests.append(gevent.spawn(send))
        gevent.joinall(requests, timeout=TIMEOUT_S)

    def _prompt(self) -> str:
        words = self._plan.prompt_tokens - 1
        return " ".join([f"{self._rng.getrandbits(64):x}", *["word"] * words])

    def _via_entry(self) -> None:
        plan = self._plan
        body = {
            "model": plan.model,
            "prompt": self._prompt(),
            "max_tokens": plan.output_tokens,
            "stream": True,
        }
        self._request(plan.entry, "/v1/completions", body, self.entry)

    def _direct(self) -> None:
        plan = self._plan
        body = {
            "request_id": f"direct-{self._rng.getrandbits(64):x}",
            "model": plan.model,
            "adapter": None,
            "prompt": self._prompt(),
            "prefix_text": "",
            "prefix_tokens": 0,
            "max_tokens": plan.output_tokens,
            "priority": 0,
            "stream": True,
            "phase": "both",
        }
        engine = self._rng.choice(plan.engines)
        self._request(engine, "/generate", body, self.direct)

    def _request(self, address: str, path: str, body: dict, times: PathTimes) -> None:
        content = json.dumps(body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            f"Authorization: Bearer {self._plan.key}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        host, _, port = address.rpartition(":")
        started_s = time.perf_counter()
        arrivals: list[float] = []
        try:
            with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                started_s = time.perf_counter()
                connection.sendall(head.encode() + content)
                arrivals.extend(self._events(connection, times))
        except OSError:
            # Counted as a failure in _note(), since tokens are missing.
            pass
        self._note(started_s, arrivals, times)

    def _events(self, connection: socket.socket, times: PathTimes) -> Iterator[float]:
        """Yield the arrival time of each token event."""
        left = self._plan.output_tokens
        tail = b""
        first = True
        while left > 0:
            data = connection.recv(RECEIVE_BYTES)
            now_s = time.perf_counter()
            if not data:
                return
            if first and not data.startswith(b"HTTP/1.1 200"):
                times.refused += 1
                return
            first = False
            count = min(left, (tail + data).count(END_OF_EVENT))
            # An event separator may be split across two reads.
            tail = b"\n" if data.endswith(b"\n") and not data.endswith(b"\n\n") else b""
            left -= count
            for _ in range(count):
                yield now_s

    def _note(self, started_s: float, arrivals: list[float], times: PathTimes) -> None:
        plan = self._plan
        offset_s = time.time() - time.perf_counter()
        begin_s, end_s = plan.begin_unix_s - offset_s, plan.end_unix_s - offset_s
        # Tokens of a truncated response consumed CPU time as well.
        times.tokens += sum(begin_s <= at_s < end_s for at_s in arrivals)
        if len(arrivals) < plan.output_tokens:
            times.failures += 1
            return
        if not begin_s <= arrivals[0] < end_s:
            return
        times.requests += 1
        times.first_s.append(arrivals[0] - started_s)
        gaps = [later - earlier for earlier, later in itertools.pairwise(arrivals)]
        if len(times.gaps_s) < MAX_GAPS:
            times.gaps_s.extend(gaps)


def main(text: str) -> int:
    """Run one generator and print its measurements as JSON."""
    fields = json.loads(text)
    fields["engines"] = tuple(fields["engines"])
    generator = Generator(LoadPlan(**fields))
    generator.run()
    print(json.dumps([asdict(generator.entry), asdict(generator.direct)]))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
