"""Processes and load phases of the ``overload`` benchmark."""

import dataclasses
import json
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import gevent

from persimmonyoke_cli.bench.mix_client import Arrival, Outcome
from persimmonyoke_cli.bench.mix_engines import (
    TIME_SCALE,
    UTILISATION,
    arrivals,
    fleet_options,
    raise_limits,
)
from persimmonyoke_cli.bench.path_run import cpu_s
from persimmonyoke_testing.builders_deployment import NodeProcess, wait_healthy
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.firms import KENTE

ENTRIES = 2
# Prefill share of the work at the target size.
PREFILL_SHARE = 0.41
STEP_S = 0.5
SETTLE_S = 4.0
# Time for the remaining responses of a phase to finish before the next one.
PAUSE_S = 3.0
# Load reports of real engines lag by 0.5 s.
LOAD_LAG_S, LOAD_INTERVAL_S = 0.5, 0.1
VICTIM, FLOODER = "renewals", "support"
VICTIM_REQUESTS_PER_S = 4.0
VICTIM_TOKENS = (60, 16)


@dataclasses.dataclass(frozen=True)
class Phase:
    """Hold the request outcomes and the CPU usage of one phase."""

    outcomes: list[Outcome]
    counted_s: float
    generator_cpu: float
    entry_cpu: float
    engines_cpu: float

    def goodput_per_s(self) -> float:
        """Return the requests per second that met their deadlines."""
        return sum(outcome.good for outcome in self.outcomes) / self.counted_s


class OverloadBench:
    """Run engines in this process, and entry hosts and load generator in others."""

    def __init__(self, *, duration_s: float, lead_s: float, seed: int) -> None:
        self._duration_s = duration_s
        self._lead_s = lead_s
        self._seed = seed
        self._stack = ExitStack()

    def __enter__(self) -> "OverloadBench":
        self._folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        options = fleet_options()
        options.timing_changes.update(
            load_lag_s=LOAD_LAG_S / TIME_SCALE,
            load_interval_s=LOAD_INTERVAL_S / TIME_SCALE,
        )
        deployment = Deployment(KENTE, nodes=0, controllers=0, fleet=options)
        self._deployment = self._stack.enter_context(deployment)
        raise_limits(deployment)
        files, _ = deployment.write_settings(
            self._folder, entries=ENTRIES, controllers=0
        )
        self._nodes = [NodeProcess("entry", file) for file in files]
        for node in self._nodes:
            self._stack.callback(node.end)
        self._addresses = [
            deployment.platform.host_list.address_of(f"entry-{index + 1}")
            for index in range(ENTRIES)
        ]
        wait_healthy([f"http://{address}" for address in self._addresses])
        gevent.sleep(SETTLE_S)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def load(self, factor: float, *, workspace: str = FLOODER) -> list[Arrival]:
        """Return the arrivals of one workspace at a multiple of the capacity."""
        steps = int((self._lead_s + self._duration_s) / STEP_S)
        work = factor * UTILISATION * KENTE.engines
        found = arrivals([PREFILL_SHARE] * steps, [work] * steps, STEP_S, self._seed)
        return [dataclasses.replace(a, key=_key(workspace)) for a in found]

    def victim(self) -> list[Arrival]:
        """Return evenly spaced arrivals of the workspace that does not flood."""
        count = int((self._lead_s + self._duration_s) * VICTIM_REQUESTS_PER_S)
        return [
            Arrival(number / VICTIM_REQUESTS_PER_S, *VICTIM_TOKENS, _key(VICTIM))
            for number in range(count)
        ]

    def run(self, planned: list[Arrival]) -> Phase:
        """Run one phase and return its outcomes without the warm-up."""
        plan = {
            "addresses": self._addresses,
            "model": KENTE.model,
            "key": KENTE.workspace_key,
            "seed": self._seed,
            "arrivals": [
                dataclasses.astuple(arrival)
                for arrival in sorted(planned, key=lambda arrival: arrival.at_s)
            ],
        }
        path = self._folder / "plan.json"
        path.write_text(json.dumps(plan), encoding="utf-8")
        nodes_s = [cpu_s(node.pid) for node in self._nodes]
        started_s, own_s = time.monotonic(), time.process_time()
        command = [sys.executable, "-m", "persimmonyoke_cli.bench.overload_load"]
        done = subprocess.run([*command, str(path)], stdout=subprocess.PIPE, check=True)
        lasted_s = time.monotonic() - started_s
        used_s = [
            cpu_s(node.pid) - before
            for node, before in zip(self._nodes, nodes_s, strict=True)
        ]
        engines_s = time.process_time() - own_s
        answer = json.loads(done.stdout)
        gevent.sleep(PAUSE_S)
        outcomes = [
            Outcome(**{**fields, "arrival": Arrival(**fields["arrival"])})
            for fields in answer["outcomes"]
        ]
        return Phase(
            outcomes=[o for o in outcomes if o.arrival.at_s >= self._lead_s],
            counted_s=self._duration_s,
            generator_cpu=answer["cpu_share"],
            entry_cpu=max(used_s) / lasted_s,
            engines_cpu=engines_s / lasted_s,
        )


def _key(workspace: str) -> str:
    return f"{KENTE.name}-demo-{workspace}"


def of_workspace(phase: Phase, workspace: str) -> list[Outcome]:
    """Return the outcomes of one workspace."""
    return [o for o in phase.outcomes if o.arrival.key == _key(workspace)]
