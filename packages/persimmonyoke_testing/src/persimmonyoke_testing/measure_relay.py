"""Print the bytes a second that collectors send, in the simulated network of tests.

Usage: ``python -m persimmonyoke_testing.measure_relay ZONES HOSTS_PER_ZONE ENGINES
LINK_MBIT_PER_S``; a link of 0 is not limited.
"""

import random
import sys

from persimmonyoke.internal.gateway.state import PartPlacement
from persimmonyoke_testing.builders_fleet import engine
from persimmonyoke_testing.relay_network import ROUND_S, RelayNetwork

PROMPTS_PER_S = 9.0
"""Prompts that each host places."""

WARM_UP_S = 2.0
MEASURED_S = 1.0
ROUNDS = round(MEASURED_S / ROUND_S)


class Load:
    """Let hosts place prompts of two shared parts and one of their own."""

    def __init__(self, network: RelayNetwork, engine_ids: list[str]) -> None:
        self._network = network
        self._engine_ids = engine_ids
        self._rng = random.Random(1)
        self._prompts = 0

    def run_round(self) -> None:
        """Place the prompts of one round, and run it."""
        for running in self._network.hosts.values():
            if self._rng.random() >= PROMPTS_PER_S * ROUND_S:
                continue
            chosen = self._rng.choice(self._engine_ids)
            self._prompts += 1
            running.placements += [
                PartPlacement(f"{self._rng.randrange(16):08x}", chosen, 300),
                PartPlacement(f"a{self._rng.randrange(600):07x}", chosen, 300),
                PartPlacement(f"f{self._prompts:07x}", chosen, 300),
            ]
            running.state.ledger.begin_run(chosen, 1_000)
        self._network.run(ROUND_S)


def main() -> None:
    """Measure one network."""
    zones, per_zone, engines = (int(word) for word in sys.argv[1:4])
    hosts = {f"z{number}": per_zone for number in range(zones)}
    network = RelayNetwork(hosts, link_mbit_per_s=float(sys.argv[4]))
    engine_ids = [f"i-{number:010x}" for number in range(engines)]
    for running in network.hosts.values():
        replicas = [engine(engine_id) for engine_id in engine_ids]
        running.state.replicas.replace_all(replicas, now_s=network.now_s)
    network.run(WARM_UP_S)
    load = Load(network, engine_ids)
    for _ in range(ROUNDS):
        load.run_round()
    network.reset_counts()
    for _ in range(ROUNDS):
        load.run_round()
    for name, sent_bytes in network.sent_bytes.most_common(zones):
        print(f"{name}: {sent_bytes / MEASURED_S / 1_000:.0f} KB a second")


if __name__ == "__main__":
    main()
