"""Compact form of heartbeats and load reports on one link.

The first beat or report of a name defines a slot number for it; later ones carry the
slot and what changes each second. Both sides drop their tables with the link.
"""

import struct
from collections.abc import Iterable

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.messages import (
    MAX_PACKED_BYTES,
    MAX_PACKED_LOADS,
    Heartbeat,
    HostBeat,
    Load,
    PackedHeartbeat,
    PackedLoads,
    SlotBeat,
    SlotName,
)

# slot, load_percent, increment of the sequence
_BEAT = struct.Struct(">HHB")
MAX_INCREMENT = 255
# slot and length of the payload that follows
_LOAD = struct.Struct(">HB")
MAX_PACKED_PAYLOAD_BYTES = 255
# A link's table starts anew when this many names have had a slot, so that a fleet that
# is replaced over and over doesn't fill it.
MAX_SLOTS = 4_096


class BeatPacker:
    """Pack the heartbeats that are sent on one link, in the order of sending."""

    def __init__(self) -> None:
        self._slots: dict[str, int] = {}
        self._sent: dict[str, HostBeat] = {}

    def pack(self, heartbeat: Heartbeat) -> PackedHeartbeat:
        """Return the packed heartbeat; the peer must get it next."""
        if len(self._slots) + len(heartbeat.beats) > MAX_SLOTS:
            self._slots.clear()
            self._sent.clear()
        whole, same = [], []
        for beat in heartbeat.beats:
            previous = self._sent.get(beat.host)
            self._sent[beat.host] = beat
            slot = self._slots.setdefault(beat.host, len(self._slots))
            if previous is not None and _only_counts(previous, beat):
                increment = beat.sequence - previous.sequence
                same.append(_BEAT.pack(slot, beat.load_percent, increment))
            else:
                whole.append(SlotBeat(slot, *_values(beat)))
        return PackedHeartbeat(tuple(whole), b"".join(same))


def _only_counts(previous: HostBeat, beat: HostBeat) -> bool:
    return (
        0 <= beat.sequence - previous.sequence <= MAX_INCREMENT
        and beat.revision == previous.revision
        and beat.leaving == previous.leaving
        and beat.incarnation == previous.incarnation
    )


def _values(beat: HostBeat | SlotBeat) -> tuple[str, str, int, int, bool, int]:
    return (
        beat.host,
        beat.incarnation,
        beat.sequence,
        beat.revision,
        beat.leaving,
        beat.load_percent,
    )


class BeatUnpacker:
    """Unpack the heartbeats that come on one link."""

    def __init__(self) -> None:
        self._beats: dict[int, HostBeat] = {}

    def unpack(self, packed: PackedHeartbeat) -> Heartbeat:
        """Return the heartbeat; raise ``ProtocolError`` for a slot without a name."""
        beats = []
        if len(packed.same) % _BEAT.size:
            raise ProtocolError("packed beats are cut off")
        for slot, load_percent, increment in _BEAT.iter_unpack(packed.same):
            previous = self._beats.get(slot)
            if previous is None:
                raise ProtocolError(f"slot {slot} has no beat")
            sequence = previous.sequence + increment
            # dataclasses.replace takes twice as long, and this runs for each host.
            beat = HostBeat(
                previous.host,
                previous.incarnation,
                sequence,
                previous.revision,
                previous.leaving,
                load_percent,
            )
            self._beats[slot] = beat
            beats.append(beat)
        for item in packed.whole:
            beat = HostBeat(*_values(item))
            self._beats[_checked_slot(item.slot)] = beat
            beats.append(beat)
        return Heartbeat(tuple(beats))


def _checked_slot(slot: int) -> int:
    if slot >= MAX_SLOTS:
        raise ProtocolError(f"slot {slot} is not below {MAX_SLOTS}")
    return slot


class LoadPacker:
    """Pack the load reports that are sent on one link, in the order of sending."""

    def __init__(self) -> None:
        self._slots: dict[str, int] = {}

    def pack(self, loads: Iterable[Load]) -> list[Load | PackedLoads]:
        """Return the messages to send next; long payloads stay single messages."""
        messages: list[Load | PackedLoads] = []
        names: list[SlotName] = []
        parts: list[bytes] = []
        size_bytes = 0
        for load in loads:
            if len(load.payload) > MAX_PACKED_PAYLOAD_BYTES:
                messages.append(load)
                continue
            part_bytes = _LOAD.size + len(load.payload)
            full = size_bytes + part_bytes > MAX_PACKED_BYTES
            if full or len(parts) >= MAX_PACKED_LOADS:
                messages.append(PackedLoads(tuple(names), b"".join(parts)))
                names, parts, size_bytes = [], [], 0
            slot = self._slots.get(load.engine)
            if slot is None:
                if len(self._slots) >= MAX_SLOTS:
                    # The names of this message would lose their slots, so it ends here.
                    messages.append(PackedLoads(tuple(names), b"".join(parts)))
                    names, parts, size_bytes = [], [], 0
                    self._slots.clear()
                slot = self._slots[load.engine] = len(self._slots)
                names.append(SlotName(slot, load.engine))
            parts.append(_LOAD.pack(slot, len(load.payload)) + load.payload)
            size_bytes += part_bytes
        if parts:
            messages.append(PackedLoads(tuple(names), b"".join(parts)))
        return messages


class LoadUnpacker:
    """Unpack the load reports that come on one link."""

    def __init__(self) -> None:
        self._names: dict[int, str] = {}

    def unpack(self, packed: PackedLoads) -> list[Load]:
        """Return the reports; raise ``ProtocolError`` for malformed content."""
        for item in packed.names:
            self._names[_checked_slot(item.slot)] = item.name
        loads, data, start = [], packed.reports, 0
        while start < len(data):
            if start + _LOAD.size > len(data):
                raise ProtocolError("packed loads are cut off")
            slot, length = _LOAD.unpack_from(data, start)
            start += _LOAD.size
            payload = data[start : start + length]
            name = self._names.get(slot)
            if name is None or len(payload) != length:
                raise ProtocolError("packed loads are cut off or have an unknown slot")
            loads.append(Load(name, payload))
            start += length
        return loads
