"""Simulation of hosts that exchange reports over an in-memory network."""

from collections import Counter
from dataclasses import dataclass, field

from persimmonyoke.internal.fleet.model import HostEntry
from persimmonyoke.internal.fleet.send_budget import SendBudget
from persimmonyoke.internal.gateway.peer_messages import (
    PeerMessage,
    decode_datagram,
    encode_message,
    peer_state,
)
from persimmonyoke.internal.gateway.relay import HostRelay
from persimmonyoke.internal.gateway.state import GatewayState, PartPlacement
from persimmonyoke_testing.builders_fleet import host
from persimmonyoke_testing.builders_gateway import gateway_state, peer_message

ROUND_S = 0.05
STARTED_S = 100.0


@dataclass
class RelayHost:
    """Hold one host of the network and its unsent placements."""

    state: GatewayState
    relay: HostRelay
    reported_changes: int = -1
    placements: list[PartPlacement] = field(default_factory=list)


class RelayNetwork:
    """Run the relays of many hosts; datagrams arrive in order and without delay."""

    def __init__(
        self, hosts_by_zone: dict[str, int], *, link_mbit_per_s: float = 0.0
    ) -> None:
        self.now_s = STARTED_S
        self._link_mbit_per_s = link_mbit_per_s
        self.hosts: dict[str, RelayHost] = {}
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.longest_bytes = 0
        self.lost: set[str] = set()
        self.entries = [
            host(f"{zone}-{number:03}", zone=zone)
            for zone, count in hosts_by_zone.items()
            for number in range(count)
        ]
        for entry in self.entries:
            self.hosts[entry.name] = self._start(entry)

    def run(self, duration_s: float) -> None:
        """Run rounds of all hosts for a simulated duration."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += ROUND_S
            for name, running in self.hosts.items():
                if name not in self.lost:
                    self._run_round(name, running)

    def restart(self, name: str) -> None:
        """Restart a host without its previous state."""
        (entry,) = (entry for entry in self.entries if entry.name == name)
        self.hosts[name] = self._start(entry)

    def reset_counts(self) -> None:
        """Reset the counts of datagrams."""
        self.sent.clear()
        self.sent_bytes.clear()
        self.received.clear()

    def _start(self, entry: HostEntry) -> RelayHost:
        state = gateway_state(
            log=[], host_name=entry.name, availability_zone=entry.availability_zone
        )
        for other in self.entries:
            state.hosts.put(other, now_s=self.now_s)

        def send_to(receiver: HostEntry, data: bytes) -> None:
            self._deliver(entry.name, receiver.name, data)

        budget = SendBudget(self._link_mbit_per_s)
        return RelayHost(state, HostRelay(state, send_to, budget, now_s=self.now_s))

    def _run_round(self, name: str, running: RelayHost) -> None:
        relay, ledger = running.relay, running.state.ledger
        changed = ledger.own_changes != running.reported_changes or running.placements
        if relay.report_is_due(bool(changed), now_s=self.now_s):
            running.reported_changes = ledger.own_changes
            message = peer_message(
                name,
                work=ledger.own_work(now_s=self.now_s),
                placements=tuple(running.placements),
            )
            running.placements.clear()
            data = encode_message(relay.report(message, now_s=self.now_s))
            for receiver in relay.report_to(now_s=self.now_s):
                self._deliver(name, receiver.name, data)
        relay.collect(now_s=self.now_s)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(data)
        self.longest_bytes = max(self.longest_bytes, len(data))
        if receiver in self.lost:
            return
        self.received[receiver] += 1
        target = self.hosts[receiver]
        message = decode_datagram(data, now_s=self.now_s)
        if isinstance(message, PeerMessage):
            state = peer_state(message, self.now_s)
            target.state.note_peer(message.host, state, self.now_s)
            target.state.note_updates(
                message.placements, message.refused, now_s=self.now_s
            )
            target.relay.note_report(message, now_s=self.now_s)
        else:
            target.relay.handle(message, now_s=self.now_s)
