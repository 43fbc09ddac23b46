"""Relay of what engines have cached, which the collector of a zone asks them for."""

from collections import deque
from collections.abc import Iterable, Sequence

from persimmonyoke.internal.dispatch.prefixes import PartHolding
from persimmonyoke.internal.gateway.digest_messages import (
    CachedPartsMessage,
    encode_cached_parts,
)
from persimmonyoke.internal.gateway.relay_queues import take_up_to
from persimmonyoke.internal.gateway.relay_updates import SendRoom

PARTS_PER_MESSAGE = 130
CACHED_PARTS_MESSAGES_PER_ROUND = 4
"""Messages on cached parts that each receiver gets in a round.

This allows thousands of parts to be sent within two seconds of a restart of all hosts.
"""


class CachedPartsRelay:
    """Queue cached parts for all hosts of a zone, and for those that have started."""

    def __init__(self, sender: str) -> None:
        self._sender = sender
        self._for_all: deque[bytes] = deque()
        self._for_started: dict[str, deque[bytes]] = {}

    def add(self, replica_id: str, part_ids: Sequence[str]) -> None:
        """Queue an engine's cached parts for all hosts."""
        self._for_all.extend(self._encode(replica_id, part_ids))

    def add_for(self, host: str, holdings: Iterable[PartHolding]) -> None:
        """Queue all known cached parts for a host that has just started."""
        by_replica: dict[str, list[str]] = {}
        for holding in holdings:
            by_replica.setdefault(holding.replica_id, []).append(holding.part_id)
        queue = self._for_started.setdefault(host, deque())
        for replica_id, part_ids in by_replica.items():
            queue.extend(self._encode(replica_id, part_ids))

    def clear_for_started(self) -> None:
        """Discard what is queued for hosts that have started."""
        self._for_started.clear()

    def clear_for_all(self) -> None:
        """Discard what is queued for all hosts."""
        self._for_all.clear()

    def next_messages(self, receivers: int, room: SendRoom) -> list[bytes]:
        """Return the next messages for all hosts if there is room for them."""
        return self._next(self._for_all, receivers, room)

    def next_messages_for(
        self, hosts: Sequence[str], room: SendRoom
    ) -> dict[str, list[bytes]]:
        """Return the next messages for each host that has started."""
        started = {host: q for host, q in self._for_started.items() if host in hosts}
        messages = {host: self._next(q, 1, room) for host, q in started.items()}
        self._for_started = {host: queue for host, queue in started.items() if queue}
        return messages

    @staticmethod
    def _next(queue: deque[bytes], receivers: int, room: SendRoom) -> list[bytes]:
        if room.left_bytes <= 0.0:
            return []
        messages = take_up_to(queue, CACHED_PARTS_MESSAGES_PER_ROUND)
        room.take(receivers * sum(map(len, messages)))
        return list(messages)

    def _encode(self, replica_id: str, part_ids: Sequence[str]) -> list[bytes]:
        chunks = (
            tuple(part_ids[first : first + PARTS_PER_MESSAGE])
            for first in range(0, len(part_ids), PARTS_PER_MESSAGE)
        )
        return [
            encode_cached_parts(CachedPartsMessage(self._sender, replica_id, chunk))
            for chunk in chunks
        ]
