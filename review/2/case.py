"""The store comes back from a copy, and stage orders then bear lower fences."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.engine import Engine
from standins.plain import wait_until
from standins.store import Store
from standins.world import (
    ENGINE_SERVICE,
    TROUBLE,
    Beats,
    configuration,
    route,
    run_case,
)

ENGINES = 10
HOSTS_START_AFTER_S = 4.0
"""Time from the copy to the start of the hosts, while replicas write to the store."""

AWAY_S = 0.3
"""How long the store is away before it comes back from the copy."""

NEW_ENGINE_AFTER_S = 3.0
LAST_ORDER_TIMEOUT_S = 25.0


def play(world):
    """Play the case; return whether the rule was broken."""
    record = world.record
    store = Store(record)
    beats = Beats(store)
    chat = {"sticky": True, "gap-aim-ms": 150, "resumable": True, "timeout-ms": 6_000}
    store.put(
        "op/config",
        configuration(
            3, [route("chat", "streaming", "llm-pool", **chat)], [ENGINE_SERVICE]
        ),
    )
    engines = [
        Engine(f"i-{n:02}", record, beats, stage="prefill")
        for n in range(1, ENGINES + 1)
    ]
    for engine in engines:
        engine.register()
    hosts = [world.host(f"front-{n}", store.port) for n in (1, 2, 3)]
    copy = store.copy()
    copied_s = time.monotonic()
    record("copy_taken", revision=store.revision)
    time.sleep(HOSTS_START_AFTER_S)
    for host in hosts:
        host.start()
    for host in hosts:
        host.wait_ready()

    def ordered():
        return [e for e in engines if e.orders]

    if not wait_until(ordered, LAST_ORDER_TIMEOUT_S):
        raise TimeoutError("no engine was ordered to decode")
    first = ordered()[0]
    time.sleep(0.5)
    if TROUBLE:
        record("copy_age", seconds=round(time.monotonic() - copied_s, 2))
        store.restore(copy, AWAY_S)
    if not wait_until(lambda: first.stage == "decode", LAST_ORDER_TIMEOUT_S):
        raise TimeoutError("the order was not carried out")
    time.sleep(NEW_ENGINE_AFTER_S)
    # Planned: an engine that decodes is added, so the first one is a surplus.
    added = Engine("i-99", record, beats, stage="decode")
    added.register()
    if not wait_until(lambda: len(first.orders) > 1, LAST_ORDER_TIMEOUT_S):
        raise TimeoutError("no second order was given")
    time.sleep(1.0)
    fences = [fence for _, _, fence in first.orders]
    record("fences_in_order_of_arrival", engine=first.replica_id, fences=fences)
    return any(later < earlier for earlier, later in zip(fences, fences[1:]))


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
