"""A stopping host accepts a stream 4.5 s after SIGTERM and exits in the middle of it."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.engine import Engine
from standins.plain import wait_until
from standins.store import Store
from standins.world import (
    ENGINE_SERVICE,
    HOST_NAME,
    TROUBLE,
    Beats,
    Client,
    configuration,
    resolve,
    route,
    run_case,
)

EVENTS = 25
PAUSE_S = 0.14
"""Pause between events; the sheet allows 150 ms, so these streams are on time."""

SENT_AFTER_S = 4.5
"""Time from SIGTERM to the request: later than 3 s, within the addresses' 6 s."""

DEADLINE_MS = 8_000
GRACE_S = 8.0
CLIENTS = 4


def play(world):
    """Play the case; return whether the rule was broken."""
    record = world.record
    store = Store(record)
    beats = Beats(store)
    chat = {"sticky": True, "gap-aim-ms": 150, "resumable": False}
    chat |= {"timeout-ms": DEADLINE_MS, "target-latency-ms": 1_000, "max-attempts": 1}
    store.put(
        "op/config",
        configuration(
            3, [route("suggest", "streaming", "llm-pool", **chat)], [ENGINE_SERVICE]
        ),
    )
    options = {"pause_s": PAUSE_S, "events": EVENTS}
    stages = {"i-1": "decode", "i-2": "prefill", "i-3": "prefill"}
    engines = [Engine(n, record, beats, stage=s, **options) for n, s in stages.items()]
    for engine in engines:
        engine.register()
    hosts = [world.host(f"front-{n}", store.port) for n in (1, 2)]
    for host in hosts:
        host.start()
    for host in hosts:
        host.wait_ready()
    time.sleep(2.0)
    stopped = hosts[0]
    clients = [Client(stopped.front) for _ in range(CLIENTS)]
    results = {}

    def send(number, name):
        headers = {
            "Host": HOST_NAME,
            "Request-Id": name,
            "Model": "m",
            "Token-Count": f"1460,{EVENTS}",
            "Prompt-Prefix": f"5c1e07a2:350,{number:08x}:1110",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        record("client_sends", id=name)
        begun_s = time.monotonic()
        got = clients[number].request(
            "POST", "/suggest/1", headers, b"p" * 1_500, timeout_s=DEADLINE_MS / 1_000
        )
        took_s = time.monotonic() - begun_s
        results[name] = (got, took_s)
        events = got.body.count(b"\n\n")
        record(
            "client_got", id=name, answer=got, events=events, after_s=round(took_s, 2)
        )

    def send_all(series):
        threads = [
            threading.Thread(target=send, args=(n, f"{series}-{n}"))
            for n in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    send_all("before")
    if not all(got.complete and got.status == 200 for got, _ in results.values()):
        raise RuntimeError("streams before the stop were not served")
    addresses, ttl_s = resolve(hosts[1].directory)
    record("clients_resolve", addresses=",".join(addresses), ttl_s=ttl_s)
    if f"127.0.0.1:{stopped.front}" not in addresses or SENT_AFTER_S > 3 * ttl_s:
        raise RuntimeError("clients would not use this address so late")
    if TROUBLE:
        stopped.signal(signal.SIGTERM)
    time.sleep(SENT_AFTER_S)
    send_all("after")
    if TROUBLE and not wait_until(lambda: stopped.process.poll() is not None, GRACE_S):
        raise TimeoutError("the stopped host did not exit")
    run_ids = {run_id for engine in engines for run_id in engine.run_ids}
    cut = [
        name
        for name, (got, took_s) in results.items()
        if name in run_ids and not got.complete and took_s < DEADLINE_MS / 1_000 - 0.5
    ]
    record("streams_cut_by_the_stop", ids=",".join(sorted(cut)))
    return bool(cut)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
