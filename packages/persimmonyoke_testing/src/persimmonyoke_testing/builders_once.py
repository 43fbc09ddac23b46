"""Fake store and builders for the tests of claims."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.membership.dissemination import PeerHandlers
from persimmonyoke.internal.once.forwarding import ClaimForwarder, PeerClaimForwarder
from persimmonyoke.internal.once.outcomes import ClaimOutcome, ClaimStoreUnavailable
from persimmonyoke.internal.once.service import ClaimService, ClaimSettings
from persimmonyoke.internal.platform.store import (
    KeyValue,
    WriteOutcome,
    WriteUnknown,
)
from persimmonyoke_testing.builders_membership import PeerCluster
from persimmonyoke_testing.key_value_state import KeyValueState
from persimmonyoke_testing.memory_store import MemoryStore

PREFIX = "/persimmonyoke/kente/claims/"
CLAIM_UNTIL_KNOWN_TIMEOUT_S = 20.0
"""Time within which the outcome of a key is known even on a heavily loaded machine."""

SHORT_TIMEOUTS = ClaimSettings(
    claim_timeout_s=0.08,
    forward_timeout_s=0.03,
    finish_timeout_s=0.08,
    timed_spacing_s=0.001,
    hash_spacing_s=0.001,
)


def uuid7(unix_s: float, rng: random.Random) -> str:
    """Return a UUIDv7 with the given time."""
    milliseconds = int(unix_s * 1000)
    number = milliseconds << 80 | 0x7 << 76 | rng.getrandbits(12) << 64
    number |= 0b10 << 62 | rng.getrandbits(62)
    digits = f"{number:032x}"
    parts = (digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:])
    return "-".join(parts)


@dataclass
class RandomFaults:
    """Hold the probabilities that a write or read fails, by kind of fault."""

    lost_before: float = 0.0
    lost_after: float = 0.0
    late: float = 0.0
    late_by_s: float = 0.02
    failed_read: float = 0.0


class FaultyStore(MemoryStore):
    """Add latency, late writes and random faults to the in-memory store.

    ``script`` holds functions that replace the next writes, oldest first.
    """

    def __init__(
        self,
        *,
        latency_s: float = 0.0,
        seed: int = 1,
        state: KeyValueState | None = None,
    ) -> None:
        super().__init__(state=state, sleep=gevent.sleep)
        self.latency_s = latency_s
        self.random_faults = RandomFaults()
        self.script: list[Callable[..., WriteOutcome]] = []
        self._rng = random.Random(seed)

    def _delay(self) -> None:
        gevent.sleep(self.latency_s * self._rng.uniform(0.5, 1.5))

    def get(self, key: str) -> KeyValue | None:
        """Return the value, or fail."""
        self._delay()
        if self._rng.random() < self.random_faults.failed_read:
            raise StoreUnavailable("the read failed")
        return super().get(key)

    def compare_and_swap(
        self, key: str, value: bytes, *, expected_revision: int, lease_id: int = 0
    ) -> WriteOutcome:
        """Write the value, or simulate a scripted or random fault."""
        self._delay()
        if self.script:
            return self.script.pop(0)(key, value, expected_revision)
        draw = self._rng.random()
        faults = self.random_faults
        if not self.faults.down:
            if draw < faults.lost_before:
                return self.lose_before(key, value, expected_revision)
            if draw < faults.lost_before + faults.lost_after:
                return self.lose_after(key, value, expected_revision)
            if draw < faults.lost_before + faults.lost_after + faults.late:
                return self.apply_late(key, value, expected_revision)
        return super().compare_and_swap(
            key, value, expected_revision=expected_revision, lease_id=lease_id
        )

    def apply(self, key: str, value: bytes, expected: int) -> WriteOutcome:
        """Write now, if the key is at the expected revision."""
        return self._apply(
            key, expected, lambda: self.state.put(key, value, lease_id=0)
        )

    def lose_before(self, key: str, value: bytes, expected: int) -> WriteOutcome:
        """Simulate a lost request: the write never takes effect."""
        return WriteUnknown("request lost")

    def lose_after(self, key: str, value: bytes, expected: int) -> WriteOutcome:
        """Simulate a lost answer: the write has taken effect."""
        self.apply(key, value, expected)
        return WriteUnknown("answer lost")

    def apply_late(self, key: str, value: bytes, expected: int) -> WriteOutcome:
        """Apply the write after its outcome was reported as unknown."""
        late_by_s = self.random_faults.late_by_s
        gevent.spawn_later(late_by_s, self.apply, key, value, expected)
        return WriteUnknown("timed out")


class ClaimCluster:
    """Run the claim services of several hosts on one store."""

    def __init__(
        self,
        count: int,
        *,
        store: FaultyStore | None = None,
        settings: ClaimSettings = SHORT_TIMEOUTS,
        seed: int = 1,
    ) -> None:
        self.store = store or FaultyStore(seed=seed)
        self.rng = random.Random(seed)
        self.dead: set[str] = set()
        self.forward_loss = 0.0
        self.forward_latency_s = 0.0
        # Hosts that see only themselves as members, so that a shard has several owners
        # at once.
        self.split_brain_hosts: set[str] = set()
        self.unix_clock = time.time
        self.settings = settings
        self.services: dict[str, ClaimService] = {}
        for index in range(count):
            self.add(f"host-{index}")

    def add(self, host: str, store: FaultyStore | None = None) -> None:
        """Start a host with the shared store client or one of its own."""
        self.services[host] = ClaimService(
            store or self.store,
            prefix=PREFIX,
            host=host,
            incarnation=f"{host}-i1",
            live_hosts=lambda: self._members(host),
            is_dead=lambda other, incarnation: other in self.dead,
            forwarder=_ClusterForwarder(self, host),
            settings=self.settings,
            unix_clock=lambda: self.unix_clock(),
        )

    def _members(self, host: str) -> tuple[str, ...]:
        if host in self.split_brain_hosts:
            return (host,)
        return tuple(name for name in self.services if name not in self.dead)

    def replace_store(self, host: str, store: FaultyStore) -> None:
        """Restart a host with a store client of its own."""
        self.services[host].stop()
        self.add(host, store)

    def kill(self, host: str) -> None:
        """Kill a host: its writers stop and it answers no forwarded operations."""
        self.dead.add(host)
        self.services[host].stop()

    def heal(self) -> None:
        """End all faults; killed hosts stay dead."""
        self.store.random_faults = RandomFaults()
        self.store.faults.down = False
        self.forward_loss = 0.0
        self.split_brain_hosts = set()

    def settle(self, *, timeout_s: float = 3.0) -> bool:
        """Wait until no live host has pending operations; return whether it did so."""
        end_s = time.monotonic() + timeout_s
        live = [s for name, s in self.services.items() if name not in self.dead]
        while any(service.busy() for service in live):
            if time.monotonic() > end_s:
                return False
            gevent.sleep(0.002)
        return True

    def claim_until_known(
        self, key: str, *, timeout_s: float = CLAIM_UNTIL_KNOWN_TIMEOUT_S
    ) -> ClaimOutcome:
        """Claim a key repeatedly until its outcome is known or the timeout has passed.

        On a busy machine a claim may time out, which it reports correctly.
        """
        end_s = time.monotonic() + timeout_s
        while True:
            outcome = self.services["host-0"].claim(
                "w", key, b"body", now_unix_s=time.time()
            )
            unknown = isinstance(outcome, ClaimStoreUnavailable)
            if not unknown or time.monotonic() > end_s:
                return outcome
            self.settle()
            gevent.sleep(0.01)


class _ClusterForwarder(ClaimForwarder):
    """Call other services of the cluster; requests and replies may be lost."""

    def __init__(self, cluster: ClaimCluster, host: str) -> None:
        self._cluster = cluster
        self._host = host

    def forward(self, host: str, payload: bytes, *, timeout_s: float) -> bytes | None:
        """Call the other service in a separate task, as a peer link does."""
        cluster = self._cluster
        gevent.sleep(cluster.forward_latency_s)
        if host in cluster.dead or cluster.rng.random() < cluster.forward_loss / 2:
            gevent.sleep(timeout_s)
            return None
        task = gevent.spawn(cluster.services[host].handle, self._host, payload)
        task.join(timeout=timeout_s)
        if host in cluster.dead or cluster.rng.random() < cluster.forward_loss / 2:
            return None
        return task.value


class LinkedClaimCluster:
    """Run claim services that forward over real peer links on loopback."""

    def __init__(
        self,
        count: int,
        *,
        store: FaultyStore,
        settings: ClaimSettings = SHORT_TIMEOUTS,
    ) -> None:
        self.services: dict[str, ClaimService] = {}
        self.handled: list[str] = []
        names = [f"host-{index:02d}" for index in range(count)]
        handlers = {name: PeerHandlers(claim=self._handler(name)) for name in names}
        self.peers = PeerCluster(count, handlers=handlers)
        for name in names:
            self.services[name] = ClaimService(
                store,
                prefix=PREFIX,
                host=name,
                incarnation=f"{name}-i1",
                live_hosts=lambda: names,
                is_dead=lambda host, incarnation: False,
                forwarder=PeerClaimForwarder(self.peers.services[name]),
                settings=settings,
            )

    def _handler(self, name: str) -> Callable[[str, bytes], bytes]:
        def handle(host: str, payload: bytes) -> bytes:
            self.handled.append(name)
            return self.services[name].handle(host, payload)

        return handle

    def kill(self, name: str) -> None:
        """Kill a host: its writers stop and its links close."""
        self.services[name].stop()
        self.peers.services[name].stop()

    def __enter__(self) -> "LinkedClaimCluster":
        return self

    def __exit__(self, *exit_info: object) -> None:
        self.peers.__exit__(*exit_info)
