"""Scaling of claims and of the configuration stored in the key-value service."""

import hashlib
import random
import time
from collections.abc import Iterable

import gevent

from persimmonyoke.internal.once.document import Entry, EntryState, ShardDocument
from persimmonyoke.internal.once.outcomes import ClaimGranted, StoredAnswer
from persimmonyoke.internal.once.service import ClaimSettings
from persimmonyoke.internal.presets import (
    Change,
    ChangeAction,
    RevisionLog,
    decode_revision,
    encode_revision,
)
from persimmonyoke.internal.presets.stored_form import (
    decode_stored,
    encode_stored,
    header_of,
)
from persimmonyoke_cli.bench.fit import Series, cpu_s
from persimmonyoke_testing.builders_once import ClaimCluster, FaultyStore, uuid7
from persimmonyoke_testing.builders_presets import build_revision, large_preset_text
from persimmonyoke_testing.memory_store import MemoryStore

CLAIM_RATES = (50, 100, 150, 200)
CLAIMS_PER_S = (200,)
CLAIM_HOSTS = 7
CLAIM_SAMPLE_S = 2.0
STORE_LATENCY_S = 0.003
DOCUMENT_SIZES = (100, 200, 400, 800)
DOCUMENT_CLAIMS = (800,)
ANSWER_BYTES = 256
CONFIGURATION_SIZES = (250, 500, 1_000, 1_900)
WORKSPACES = (1_900,)


def claim_series(seed: int) -> Iterable[Series]:
    """Measure claims at several rates on ``CLAIM_HOSTS`` hosts that share a store."""
    rows: dict[str, list[float]] = {}
    for rate in CLAIM_RATES:
        for name, value in _claims(rate, seed).items():
            rows.setdefault(name, []).append(value)
    for name, values in rows.items():
        yield Series(name, CLAIM_RATES, tuple(values), CLAIMS_PER_S)
    documents = [_document(count, seed) for count in DOCUMENT_SIZES]
    sizes = tuple(float(len(document.encode())) for document in documents)
    yield Series("claims_document_bytes", DOCUMENT_SIZES, sizes, DOCUMENT_CLAIMS)
    encode = tuple(1e6 * cpu_s(document.encode) for document in documents)
    yield Series("claims_document_encode_us", DOCUMENT_SIZES, encode, DOCUMENT_CLAIMS)


def _claims(rate: int, seed: int) -> dict[str, float]:
    store = FaultyStore(latency_s=STORE_LATENCY_S, seed=seed)
    cluster = ClaimCluster(CLAIM_HOSTS, store=store, settings=ClaimSettings())
    rng = random.Random(seed)
    services = list(cluster.services.values())
    granted = 0

    def call(number: int) -> None:
        nonlocal granted
        now_s = time.time()
        service = services[number % len(services)]
        outcome = service.claim("w", uuid7(now_s, rng), b"digest", now_unix_s=now_s)
        if isinstance(outcome, ClaimGranted):
            granted += 1
            service.finish(outcome.claim, _answer())

    started_s, processor_s = time.monotonic(), time.process_time()
    tasks = []
    count = int(rate * CLAIM_SAMPLE_S)
    for number in range(count):
        gevent.sleep(max(0.0, started_s + number / rate - time.monotonic()))
        tasks.append(gevent.spawn(call, number))
    gevent.joinall(tasks, timeout=5.0)
    processor_s = time.process_time() - processor_s
    for service in services:
        service.stop()
    if granted != count:
        raise RuntimeError(f"{granted} of {count} claims were granted")
    return {
        "claims_core_percent_all_hosts": 100 * processor_s / CLAIM_SAMPLE_S,
        "claims_writes_per_s": store.writes / CLAIM_SAMPLE_S,
        "claims_reads_per_s": store.reads / CLAIM_SAMPLE_S,
    }


def _answer() -> StoredAnswer:
    body = b"x" * ANSWER_BYTES
    digest = hashlib.sha256(body).digest()
    return StoredAnswer(200, "application/json", body, digest)


def _document(count: int, seed: int) -> ShardDocument:
    rng = random.Random(seed)
    answer = _answer()
    entries = {}
    for _ in range(count):
        attempt, digest = rng.randbytes(16), rng.randbytes(32)
        state = EntryState.DONE
        entry = Entry(state, attempt, digest, 1_800_000_000, "host-1", "i1", answer)
        entries[rng.randbytes(16)] = entry.encode()
    return ShardDocument(entries)


def configuration_series(seed: int) -> Iterable[Series]:
    """Measure stored revisions by the number of workspaces in the configuration."""
    rows: dict[str, list[float]] = {}
    for count in CONFIGURATION_SIZES:
        text = large_preset_text(count)
        revision = build_revision(presets={"base": text}, active="base")
        blob = encode_revision(revision)
        header = header_of(revision, revision)
        stored = encode_stored(revision, header)
        store = MemoryStore()
        log = RevisionLog(store, firm="kente")
        change = Change(ChangeAction.CREATE, "base", "ama", "bench", text)
        started_s = time.process_time()
        log.propose(change, base_number=0)
        propose_s = time.process_time() - started_s
        found = {
            "configuration_document_bytes": len(blob),
            "configuration_stored_bytes": len(stored),
            "configuration_compress_ms": 1e3
            * cpu_s(lambda r=revision, h=header: encode_stored(r, h)),
            "configuration_decompress_ms": 1e3
            * cpu_s(lambda b=stored: decode_stored(b)),
            "configuration_encode_ms": 1e3
            * cpu_s(lambda r=revision: encode_revision(r)),
            "configuration_decode_ms": 1e3 * cpu_s(lambda b=blob: decode_revision(b)),
            "configuration_propose_ms": 1e3 * propose_s,
            "configuration_store_writes": store.counts.writes,
            "configuration_store_reads": store.counts.reads,
        }
        for name, value in found.items():
            rows.setdefault(name, []).append(float(value))
    for name, values in rows.items():
        yield Series(name, CONFIGURATION_SIZES, tuple(values), WORKSPACES)
