"""Scaling of an entry node's state with replicas, workspaces and prefix pieces."""

import contextlib
import random
import subprocess
import sys
import time
from collections.abc import Iterable

from persimmonyoke.internal.callers.authentication import Authenticator
from persimmonyoke.internal.platform import HostEntry, HostRole
from persimmonyoke.internal.presets import ConfigurationView, parse_preset
from persimmonyoke.internal.routing import PrefixIndex, choose_engine
from persimmonyoke.internal.upstreams.directory import Directory
from persimmonyoke.internal.upstreams.engine_client import HttpEngineClient
from persimmonyoke.internal.upstreams.load_view import LoadView
from persimmonyoke.internal.upstreams.pollers import EnginePoller, PollHandlers
from persimmonyoke_cli.bench.fit import Series, allocated_bytes, cpu_s
from persimmonyoke_testing.builders_decisions import (
    admission_queue,
    cache_batch,
    route_request,
    ticket,
)
from persimmonyoke_testing.builders_presets import build_revision, large_preset_text
from persimmonyoke_testing.builders_upstreams import load_report, upstream

REPLICA_SIZES = (50, 100, 200, 400)
REPLICAS = (183, 1_100)
WORKSPACE_SIZES = (250, 500, 1_000, 1_900)
WORKSPACES = (1_900,)
PIECE_SIZES = (2_500, 5_000, 10_000, 20_000)
PIECES = (20_000,)
CHANGE_SIZES = (2, 4, 6, 8)
CHANGES_A_DAY = (1_500,)
# A poll of the simulated engine takes 0.09 s, since it sends head and body separately.
POLL_SIZES = (10, 20, 30, 40)


def _entries(count: int) -> list[HostEntry]:
    return [
        HostEntry(
            f"llm-pool-{index:04d}",
            HostRole.ENGINE,
            "llm-pool",
            f"10.0.{index // 250}.{index % 250}:9000",
            f"zone-{index % 15}",
            f"region-{index % 6}",
        )
        for index in range(count)
    ]


def _directory(count: int) -> Directory:
    directory = Directory()
    directory.set_hosts(_entries(count), 0.0)
    for entry in _entries(count):
        directory.note_report(load_report(entry.name))
    return directory


def _load_view(count: int, now_unix_s: float) -> LoadView:
    view = LoadView(unix_clock=lambda: now_unix_s)
    for entry in _entries(count):
        view.note_report(load_report(entry.name, taken_unix_s=now_unix_s), 0.0)
    return view


def replica_series(seed: int) -> Iterable[Series]:
    """Measure directory, load view, routing and polling by the number of replicas."""
    now_unix_s = time.time()
    rows: dict[str, list[float]] = {}
    for count in REPLICA_SIZES:
        directory, view = _directory(count), _load_view(count, now_unix_s)
        engines = directory.engines("llm-pool", 0.0)
        candidates = [
            upstream(e.name, models=("model",), availability_zone=e.availability_zone)
            for e in engines
        ]
        request = route_request()
        index, rng = PrefixIndex(), random.Random(seed)

        def decide(c=candidates, i=index, r=rng, q=request, v=view) -> None:
            choose_engine(q, c, v, i, now_s=0.1, rng=r)

        def record_reports(v=view, n=count, r=rng) -> None:
            for number in range(n):
                report = load_report(
                    f"llm-pool-{number:04d}", taken_unix_s=now_unix_s + r.random()
                )
                v.note_report(report, 0.0)

        found = {
            "replicas_directory_bytes": allocated_bytes(lambda n=count: _directory(n)),
            "replicas_load_view_bytes": allocated_bytes(
                lambda n=count: _load_view(n, now_unix_s)
            ),
            "replicas_engines_us": 1e6
            * cpu_s(lambda d=directory: d.engines("llm-pool", 0.0)),
            "replicas_decision_us": 1e6 * cpu_s(decide),
            "replicas_reports_core_percent": 100 * cpu_s(record_reports),
        }
        for name, value in found.items():
            rows.setdefault(name, []).append(value)
    for name, values in rows.items():
        yield Series(name, REPLICA_SIZES, tuple(values), REPLICAS)
    yield _poll_series()


def _poll_series() -> Series:
    """Measure the CPU time of polling an engine that runs in a separate process."""
    module = "persimmonyoke_cli.bench.engine_worker"
    process = subprocess.Popen(
        [sys.executable, "-m", module],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        address = process.stdout.readline().strip()
        handlers = PollHandlers(
            on_load=lambda report, now_s: None,
            on_cache_events=lambda engine, batch, now_s: None,
        )
        poller = EnginePoller(upstream(), HttpEngineClient(address), handlers)
        poller.poll_once(time.monotonic())
        values = []
        for count in POLL_SIZES:
            started_s = time.process_time()
            for _ in range(count):
                if not poller.poll_once(time.monotonic()):
                    raise RuntimeError("polling the simulated engine failed")
            values.append(100 * (time.process_time() - started_s))
    finally:
        process.stdin.close()
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(timeout=5.0)
    return Series("replicas_polls_core_percent", POLL_SIZES, tuple(values), REPLICAS)


def workspace_series(seed: int) -> Iterable[Series]:
    """Measure presets, admission and API key lookup by the number of workspaces."""
    rows: dict[str, list[float]] = {}
    for count in WORKSPACE_SIZES:
        text = large_preset_text(count)
        preset = parse_preset("base", {"base": text})
        authenticator = Authenticator()

        def look_up(a=authenticator, p=preset, n=count) -> None:
            a.authenticate(p, f"Bearer key-{n // 2}")

        found = {
            "workspaces_preset_bytes": len(text),
            "workspaces_parse_ms": 1e3
            * cpu_s(lambda t=text: parse_preset("base", {"base": t})),
            "workspaces_parsed_bytes": allocated_bytes(
                lambda t=text: parse_preset("base", {"base": t})
            ),
            "workspaces_admission_bytes": allocated_bytes(
                lambda p=preset: _admission(p)
            ),
            "workspaces_lookup_us": 1e6 * cpu_s(look_up),
        }
        for name, value in found.items():
            rows.setdefault(name, []).append(float(value))
    for name, values in rows.items():
        yield Series(name, WORKSPACE_SIZES, tuple(values), WORKSPACES)


def _admission(preset):
    queue = admission_queue(*preset.workspaces.values(), limit=10_000)
    for number, name in enumerate(preset.workspaces):
        queue.offer(ticket(f"request-{number}", workspace=name), now_s=0.0)
    return queue


def piece_series(seed: int) -> Iterable[Series]:
    """Measure the prefix index by the number of its entries."""
    rng = random.Random(seed)
    rows: dict[str, list[float]] = {}
    for count in PIECE_SIZES:
        pieces = [rng.randbytes(16) for _ in range(count)]
        index = _index(pieces)
        probe = tuple(pieces[:10])
        found = {
            "pieces_index_bytes": allocated_bytes(
                lambda p=pieces: _index([bytes(bytearray(piece)) for piece in p])
            ),
            "pieces_lookup_us": 1e6 * cpu_s(lambda i=index, p=probe: i.holders(p, 1.0)),
            "pieces_event_us": 1e6
            * cpu_s(
                lambda i=index, p=probe: i.note_events("llm-0", cache_batch(p), 1.0)
            )
            / len(probe),
        }
        for name, value in found.items():
            rows.setdefault(name, []).append(float(value))
    for name, values in rows.items():
        yield Series(name, PIECE_SIZES, tuple(values), PIECES)


def _index(pieces: list[bytes]) -> PrefixIndex:
    index = PrefixIndex(max_entries=max(PIECE_SIZES))
    for number, piece in enumerate(pieces):
        index.note_dispatch(f"llm-{number % 183}", (piece,), 0.0)
    return index


def change_series(seed: int) -> Iterable[Series]:
    """Measure a host's CPU time for changes to a configuration of 1,900 workspaces."""
    texts = {"base": large_preset_text(WORKSPACES[0])}
    values = []
    for count in CHANGE_SIZES:
        view = ConfigurationView()
        started_s = time.process_time()
        for number in range(1, count + 1):
            revision = build_revision(number, presets=texts, active="base")
            view.offer(revision, now_s=0.0)
        values.append(time.process_time() - started_s)
        if view.number != count:
            raise RuntimeError(
                f"host is at revision {view.number} after {count} revisions"
            )
    yield Series("changes_cpu_s", CHANGE_SIZES, tuple(values), CHANGES_A_DAY)
