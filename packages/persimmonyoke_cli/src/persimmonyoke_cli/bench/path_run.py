"""Processes and load steps of the ``path`` bench."""

import dataclasses
import json
import math
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import gevent
import urllib3

from persimmonyoke.internal.platform import HostEntry, HostRole
from persimmonyoke.internal.presets import Accepted, Change, ChangeAction
from persimmonyoke_cli.bench.path_load import LoadPlan
from persimmonyoke_testing.builders_deployment import NodeProcess, wait_healthy
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.firms import KENTE, Firm

REQUESTS_PER_S = 26.0
OUTPUT_TOKENS = 300
PROMPT_TOKENS = 120
# Enough samples for a median, and few enough not to change the load of the engines.
DIRECT_SHARE = 0.1
WARM_UP_S = 5.0
START_DELAY_S = 1.5
SETTLE_S = 3.0
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.01
# A decode step takes 10 ms at any load, so that the engines never limit the load.
ENGINE = {
    "max_sequences": 512,
    "timing": {"decode_base_s": 0.010, "decode_per_sequence_s": 0.0},
}
LIMITS = {
    "requests_per_s = 40.0": "requests_per_s = 100000.0",
    "tokens_per_s = 12000.0": "tokens_per_s = 100000000.0",
}


@dataclasses.dataclass(frozen=True)
class StepResult:
    """Measurements at one load.

    ``refused`` counts the failed requests with an error status. ``load_average`` is the
    1-minute load average of the machine; other work on it affects the figures.
    """

    factor: int
    requests: int
    entry_failures: int
    direct_failures: int
    refused: int
    load_average: float
    tokens_per_s: float
    entry_first_ms: float
    direct_first_ms: float
    entry_gap_ms: float
    direct_gap_ms: float
    entry_gap_p95_ms: float
    direct_gap_p95_ms: float
    cpu_ms_per_1000_tokens: float
    cpu_share: float
    rss_mb: float

    @property
    def failures(self) -> int:
        """Number of failed requests on both paths."""
        return self.entry_failures + self.direct_failures

    @property
    def added_first_ms(self) -> float:
        """Median time to first token added by the entry process."""
        return self.entry_first_ms - self.direct_first_ms

    @property
    def added_gap_ms(self) -> float:
        """Median time between tokens added by the entry process."""
        return self.entry_gap_ms - self.direct_gap_ms


class PathBench:
    """Run engines, one entry process and load generators as separate processes."""

    def __init__(self, *, duration_s: float, seed: int) -> None:
        self._duration_s = duration_s
        self._seed = seed
        self._firm: Firm = dataclasses.replace(KENTE, engines=0)
        self.ready_to_first_token_s = math.nan

    def run(self, factors: tuple[int, ...]) -> list[StepResult]:
        """Measure at the given multiples of the target load."""
        with ExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            deployment = Deployment(self._firm, nodes=0, controllers=0)
            stack.enter_context(deployment)
            _raise_limits(deployment)
            engines = [
                self._start_engine(stack, deployment, index)
                for index in range(KENTE.engines)
            ]
            files, _ = deployment.write_settings(folder, entries=1, controllers=0)
            node = NodeProcess("entry", files[0])
            stack.callback(node.end)
            entry = deployment.platform.host_list.address_of("entry-1")
            wait_healthy([f"http://{entry}"])
            self.ready_to_first_token_s = self._wait_first_token(entry)
            gevent.sleep(SETTLE_S)
            return [self._step(f, node, entry, tuple(engines)) for f in factors]

    def _start_engine(
        self, stack: ExitStack, deployment: Deployment, index: int
    ) -> str:
        firm = self._firm
        settings = {
            "name": f"{firm.engine_pool}-{index + 1}",
            "pool": firm.engine_pool,
            "availability_zone": firm.zone(index),
            "region": firm.region,
            "models": [firm.model],
            "version": firm.version,
            **ENGINE,
        }
        command = [sys.executable, "-m", "persimmonyoke_testing.engine_process"]
        process = subprocess.Popen(
            [*command, json.dumps(settings)], stdout=subprocess.PIPE, text=True
        )
        stack.callback(process.wait)
        stack.callback(process.send_signal, signal.SIGTERM)
        address = process.stdout.readline().split()[1]
        deployment.platform.host_list.put(
            HostEntry(
                name=settings["name"],
                role=HostRole.ENGINE,
                pool=firm.engine_pool,
                address=address,
                availability_zone=settings["availability_zone"],
                region=firm.region,
            )
        )
        return address

    def _wait_first_token(self, entry: str) -> float:
        """Return the time from entry readiness to the first streamed token.

        Rejected requests are retried after ``READY_POLL_S``.
        """
        ready_s = time.monotonic()
        body = {"model": self._firm.model, "prompt": "a", "max_tokens": 1}
        headers = {"Authorization": f"Bearer {self._firm.workspace_key}"}
        with urllib3.PoolManager(retries=False, timeout=READY_TIMEOUT_S) as http:
            while True:
                answer = http.request(
                    "POST",
                    f"http://{entry}/v1/completions",
                    json=body | {"stream": True},
                    headers=headers,
                    preload_content=False,
                )
                data = answer.read(1)
                elapsed_s = time.monotonic() - ready_s
                answer.drain_conn()
                if answer.status == 200 and data:
                    return elapsed_s
                if elapsed_s > READY_TIMEOUT_S:
                    raise TimeoutError(
                        f"entry process streamed no token within {elapsed_s:.1f} s"
                    )
                gevent.sleep(READY_POLL_S)

    def _step(
        self, factor: int, node: NodeProcess, entry: str, engines: tuple[str, ...]
    ) -> StepResult:
        """Measure with ``factor`` generators, each of which sends the target load."""
        start_s = time.time() + START_DELAY_S
        begin_s = start_s + WARM_UP_S
        end_s = begin_s + self._duration_s
        generators = [
            self._start_generator(
                LoadPlan(
                    entry=entry,
                    engines=engines,
                    key=self._firm.workspace_key,
                    model=self._firm.model,
                    requests_per_s=REQUESTS_PER_S,
                    direct_per_s=REQUESTS_PER_S * DIRECT_SHARE,
                    output_tokens=OUTPUT_TOKENS,
                    prompt_tokens=PROMPT_TOKENS,
                    start_unix_s=start_s,
                    begin_unix_s=begin_s,
                    end_unix_s=end_s,
                    seed=self._seed + number,
                )
            )
            for number in range(factor)
        ]
        gevent.sleep(max(0.0, begin_s - time.time()))
        before_s, measured_from_s = cpu_s(node.pid), time.monotonic()
        gevent.sleep(max(0.0, end_s - time.time()))
        used_s = cpu_s(node.pid) - before_s
        # On a busy machine the wake-ups are late, so the CPU time covers a different
        # period than duration_s, over which the tokens are counted. Scale it to match.
        used_s *= self._duration_s / (time.monotonic() - measured_from_s)
        load_average = os.getloadavg()[0]
        rss_mb = resident_mb(node.pid)
        answers = [json.loads(g.communicate()[0]) for g in generators]
        return self._result(factor, answers, used_s, rss_mb, load_average)

    def _start_generator(self, plan: LoadPlan) -> subprocess.Popen:
        command = [sys.executable, "-m", "persimmonyoke_cli.bench.path_load"]
        text = json.dumps(dataclasses.asdict(plan))
        return subprocess.Popen([*command, text], stdout=subprocess.PIPE)

    def _result(
        self,
        factor: int,
        answers: list,
        used_s: float,
        rss_mb: float,
        load_average: float,
    ) -> StepResult:
        entry = _joined([answer[0] for answer in answers])
        direct = _joined([answer[1] for answer in answers])
        return StepResult(
            factor=factor,
            requests=entry["requests"],
            entry_failures=entry["failures"],
            direct_failures=direct["failures"],
            refused=entry["refused"] + direct["refused"],
            load_average=load_average,
            tokens_per_s=entry["tokens"] / self._duration_s,
            entry_first_ms=_median_ms(entry["first_s"]),
            direct_first_ms=_median_ms(direct["first_s"]),
            entry_gap_ms=_median_ms(entry["gaps_s"]),
            direct_gap_ms=_median_ms(direct["gaps_s"]),
            entry_gap_p95_ms=_p95_ms(entry["gaps_s"]),
            direct_gap_p95_ms=_p95_ms(direct["gaps_s"]),
            cpu_ms_per_1000_tokens=1e6 * used_s / max(1, entry["tokens"]),
            cpu_share=used_s / self._duration_s,
            rss_mb=rss_mb,
        )


def _joined(parts: list[dict]) -> dict:
    """Merge the measurements of several generators."""
    joined = {name: [] for name in ("first_s", "gaps_s")}
    for name in joined:
        for part in parts:
            joined[name].extend(part[name])
    for name in ("requests", "tokens", "failures", "refused"):
        joined[name] = sum(part[name] for part in parts)
    return joined


def _median_ms(values_s: list[float]) -> float:
    return 1_000 * statistics.median(values_s) if values_s else float("nan")


def _p95_ms(values_s: list[float]) -> float:
    if len(values_s) < 2:
        return float("nan")
    return 1_000 * statistics.quantiles(values_s, n=20)[-1]


def _raise_limits(deployment: Deployment) -> None:
    """Raise the rate limits of the workspace, which would reject the larger loads."""
    text = deployment.firm.presets()["base"]
    for old, new in LIMITS.items():
        if old not in text:
            raise ValueError(f"the base preset does not contain {old!r}")
        text = text.replace(old, new)
    change = Change(ChangeAction.EDIT, "base", "bench", "limits of the bench", text)
    outcome = deployment.platform.revisions().propose(change, base_number=1)
    if not isinstance(outcome, Accepted):
        raise RuntimeError(
            f"could not raise the rate limits of the workspace: {outcome}"
        )


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident set size of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
