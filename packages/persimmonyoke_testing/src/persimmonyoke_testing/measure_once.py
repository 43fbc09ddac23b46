"""Measure the store writes and added latency of claims at a fixed call rate.

``python -m persimmonyoke_testing.measure_once uuid7|plain SECONDS`` runs 7 hosts on an
in-memory store with a latency of 3 ms for each operation and 1 ms between hosts.
"""

import random
import statistics
import sys
import time
from dataclasses import dataclass, field

import gevent

from persimmonyoke.internal.once import outcomes as once
from persimmonyoke.internal.once.service import ClaimSettings
from persimmonyoke_testing.builders_once import ClaimCluster, FaultyStore, uuid7

HOSTS = 7
CALLS_PER_S = 200
STORE_LATENCY_S = 0.003
HOST_LATENCY_S = 0.001
CALL_S = 0.1
BODY = b"b" * 32
ANSWER = once.StoredAnswer.of(201, "application/json", b'{"ok": true}')


@dataclass
class ClaimMeasurement:
    """Hold the figures of one run; its second half starts at the middle call."""

    calls: int = 0
    not_granted: int = 0
    writes_per_call: float = 0.0
    second_half_writes_per_call: float = 0.0
    largest_value_bytes: int = 0
    cpu_share: float = 0.0
    claim_s: list[float] = field(default_factory=list)
    finish_s: list[float] = field(default_factory=list)


def percentiles_ms(values_s: list[float]) -> tuple[float, float]:
    """Return the median and the 99th percentile in milliseconds."""
    cuts = statistics.quantiles(values_s, n=100)
    return 1000 * cuts[49], 1000 * cuts[98]


def measure_claims(
    *,
    kind: str,
    calls: int,
    seed: int = 7,
    wait_for_finish: bool = False,
    settings: ClaimSettings | None = None,
) -> ClaimMeasurement:
    """Run calls at the target rate and return their figures."""
    store = FaultyStore(latency_s=STORE_LATENCY_S)
    cluster = ClaimCluster(HOSTS, store=store, settings=settings or ClaimSettings())
    cluster.forward_latency_s = HOST_LATENCY_S
    rng = random.Random(seed)
    figures = ClaimMeasurement(calls=calls)

    def call(number: int) -> None:
        host = cluster.services[f"host-{number % HOSTS}"]
        key = uuid7(time.time(), rng) if kind == "uuid7" else f"call-{number}"
        started_s = time.monotonic()
        outcome = host.claim("w", key, BODY, now_unix_s=time.time())
        figures.claim_s.append(time.monotonic() - started_s)
        if not isinstance(outcome, once.ClaimGranted):
            figures.not_granted += 1
            return
        gevent.sleep(CALL_S)
        started_s = time.monotonic()
        if wait_for_finish:
            host.finish(outcome.claim, ANSWER)
        else:
            host.finish_later(outcome.claim, ANSWER)
        figures.finish_s.append(time.monotonic() - started_s)

    tasks = []
    writes_at_half = 0
    cpu_start_s = time.process_time()
    start_s = next_s = time.monotonic()
    for number in range(calls):
        if number % CALLS_PER_S == 0:
            # The state keeps all written values for watches, which would take
            # gigabytes within minutes.
            store.state.compact()
        if number == calls // 2:
            writes_at_half = store.counts.writes
        tasks.append(gevent.spawn(call, number))
        next_s += rng.expovariate(CALLS_PER_S)
        gevent.sleep(max(0.0, next_s - time.monotonic()))
    elapsed_s = time.monotonic() - start_s
    figures.cpu_share = (time.process_time() - cpu_start_s) / elapsed_s
    figures.second_half_writes_per_call = (store.counts.writes - writes_at_half) / (
        calls - calls // 2
    )
    gevent.joinall(tasks, raise_error=True)
    cluster.settle()
    figures.writes_per_call = store.counts.writes / calls
    stored = store.list_prefix("")
    figures.largest_value_bytes = max(len(item.value) for item in stored)
    return figures


def main() -> None:
    """Print the figures of one run."""
    kind, seconds = sys.argv[1], float(sys.argv[2])
    for wait_for_finish in (True, False):
        figures = measure_claims(
            kind=kind,
            calls=int(seconds * CALLS_PER_S),
            wait_for_finish=wait_for_finish,
        )
        claim_ms = percentiles_ms(figures.claim_s)
        finish_ms = percentiles_ms(figures.finish_s)
        print(
            f"{kind}, {figures.calls} calls, waits for finish: {wait_for_finish}; "
            f"writes a call {figures.writes_per_call:.3f}, second half "
            f"{figures.second_half_writes_per_call:.3f}; claim {claim_ms[0]:.1f} / "
            f"{claim_ms[1]:.1f} ms; finish {finish_ms[0]:.1f} / {finish_ms[1]:.1f} ms; "
            f"not granted {figures.not_granted}; largest value "
            f"{figures.largest_value_bytes} bytes; CPU share of all hosts and "
            f"callers {figures.cpu_share:.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
