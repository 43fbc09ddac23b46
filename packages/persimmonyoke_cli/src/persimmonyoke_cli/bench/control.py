"""Bench of the control-plane cost of an entry process and a controller process."""

import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from persimmonyoke_cli.bench.framework import Bench, BenchOptions, BenchResult, Target
from persimmonyoke_cli.bench.path_load import LoadPlan
from persimmonyoke_cli.bench.path_run import PathBench
from persimmonyoke_cli.bench.process_probe import TcpBytes, cpu_s, pss_mb
from persimmonyoke_testing.builders_deployment import NodeProcess, wait_healthy
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.firms import KENTE

LOADS = {"idle": 0.0, "ordinary": 10.0, "peak": 26.0}
# Excludes the first seconds, in which the controller acquires authority and
# settles its records.
SETTLE_S = 10.0
LOAD_WARM_UP_S = 3.0
PROBE_INTERVAL_S = 0.5
OUTPUT_TOKENS = 300
PROMPT_TOKENS = 120
HOST = "host"
IDLE = "import sys; print(flush=True); sys.stdin.read()"
IDLE_GEVENT = f"from gevent import monkey; monkey.patch_all(); {IDLE}"
# A host runs both processes, so the targets apply to the sums. Only the idle figures
# show the control plane alone; under load they include serving the requests.
TARGETS = {
    f"{HOST}_idle_{name}": Target("<=", bound)
    for name, bound in (("core_percent", 2.1), ("kb_per_s", 11.0), ("pss_mb", 32.0))
}


@dataclass(frozen=True, kw_only=True)
class ControlOptions(BenchOptions):
    """Options of the ``control`` bench."""

    sample_s: float = field(default=6.0, metadata={"help": "seconds of each sample"})
    idle_only: bool = field(
        default=False, metadata={"help": "skip the loads with requests"}
    )


class ControlBench(PathBench):
    """Run engines, one entry process and one controller as separate processes."""

    def __init__(self, options: ControlOptions) -> None:
        super().__init__(duration_s=options.sample_s, seed=options.seed)
        self._sample_s = options.sample_s
        self._idle_only = options.idle_only

    def figures(self) -> dict[str, float]:
        """Measure both processes at each load."""
        figures = {
            "interpreter_pss_mb": interpreter_pss_mb(IDLE),
            "gevent_interpreter_pss_mb": interpreter_pss_mb(IDLE_GEVENT),
        }
        with ExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            deployment = Deployment(self._firm, nodes=0, controllers=0)
            stack.enter_context(deployment)
            engines = tuple(
                self._start_engine(stack, deployment, index)
                for index in range(KENTE.engines)
            )
            entries, controllers = deployment.write_settings(folder)
            nodes = {
                "entry": NodeProcess("entry", entries[0]),
                "controller": NodeProcess("controller", controllers[0]),
            }
            for node in nodes.values():
                stack.callback(node.end)
            entry = deployment.platform.host_list.address_of("entry-1")
            wait_healthy([f"http://{entry}"])
            gevent.sleep(SETTLE_S)
            for load, rate in LOADS.items():
                if rate and self._idle_only:
                    continue
                generator = self._start_load(rate, entry, engines) if rate else None
                found = sample(nodes, self._sample_s)
                figures.update({f"{r}_{load}_{n}": v for (r, n), v in found.items()})
                if generator is not None:
                    generator.communicate()
        total_mb = figures[f"{HOST}_idle_pss_mb"]
        for kind in ("interpreter", "gevent_interpreter"):
            idle_mb = len(nodes) * figures[f"{kind}_pss_mb"]
            figures[f"{HOST}_idle_pss_over_two_{kind}s_mb"] = total_mb - idle_mb
        return figures

    def _start_load(
        self, rate: float, entry: str, engines: tuple[str, ...]
    ) -> subprocess.Popen:
        start_s = time.time() + 1.0
        plan = LoadPlan(
            entry=entry,
            engines=engines,
            key=self._firm.workspace_key,
            model=self._firm.model,
            requests_per_s=rate,
            direct_per_s=0.1,
            output_tokens=OUTPUT_TOKENS,
            prompt_tokens=PROMPT_TOKENS,
            start_unix_s=start_s,
            begin_unix_s=start_s,
            end_unix_s=start_s + LOAD_WARM_UP_S + self._sample_s,
            seed=self._seed,
        )
        generator = self._start_generator(plan)
        gevent.sleep(1.0 + LOAD_WARM_UP_S)
        return generator


def interpreter_pss_mb(program: str) -> float:
    """Return the PSS of an idle interpreter that has run a short program."""
    command = [sys.executable, "-c", program]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
    with subprocess.Popen(command, **pipes) as process:
        process.stdout.readline()
        found = pss_mb(process.pid)
        process.stdin.close()
    return found


def sample(
    nodes: dict[str, NodeProcess], sample_s: float
) -> dict[tuple[str, str], float]:
    """Return the CPU, network and memory use of each process during a sample."""
    probes = {role: TcpBytes(node.pid) for role, node in nodes.items()}
    bytes_before = {role: probe.update() for role, probe in probes.items()}
    cpu_before = {role: cpu_s(node.pid) for role, node in nodes.items()}
    started_s = time.monotonic()
    while time.monotonic() - started_s < sample_s:
        gevent.sleep(PROBE_INTERVAL_S)
        bytes_after = {role: probe.update() for role, probe in probes.items()}
    elapsed_s = time.monotonic() - started_s
    found: dict[tuple[str, str], float] = {}
    for role, node in nodes.items():
        share = (cpu_s(node.pid) - cpu_before[role]) / elapsed_s
        found[role, "core_percent"] = 100 * share
        for direction, name in enumerate(("sent", "received")):
            change = bytes_after[role][direction] - bytes_before[role][direction]
            found[role, f"{name}_kb_per_s"] = change / elapsed_s / 1000
        found[role, "kb_per_s"] = (
            found[role, "sent_kb_per_s"] + found[role, "received_kb_per_s"]
        )
        found[role, "pss_mb"] = pss_mb(node.pid)
        probes[role].close()
    for name in ("core_percent", "kb_per_s", "pss_mb"):
        found[HOST, name] = sum(found[role, name] for role in nodes)
    return found


def run(options: ControlOptions) -> BenchResult:
    """Measure both processes at idle, ordinary and peak load."""
    return BenchResult(ControlBench(options).figures(), TARGETS)


BENCH = Bench(
    "control",
    "Measure the control-plane cost of an entry process and a controller process.",
    run,
    ControlOptions,
)
