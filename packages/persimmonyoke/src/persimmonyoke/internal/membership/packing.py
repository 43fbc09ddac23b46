"""Compact encoding of heartbeats and load reports on one link.

The first beat or report of a name assigns a slot number to it; later ones contain only
the slot and what changes each second. Both sides discard their tables with the link.
"""

import struct
from collections.abc import Iterable

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.messages import (
    MAX_PACKED_BYTES,
    MAX_PACKED_LOADS,
    MAX_PACKED_PAYLOAD_BYTES,
    Heartbeat,
    HostBeat,
    Load,
    PackedHeartbeat,
    PackedLoads,
    SlotBeat,
    SlotName,
)

# Fields: slot, load_percent, increment of the sequence.
_BEAT_DELTA = struct.Struct(">HHB")
MAX_INCREMENT = 255
# A report starts with the increment of its slot over that of the previous report; an
# increment of 0 is followed by the full slot number.
_FULL_SLOT = struct.Struct(">H")
# A link's table is reset after this many slots have been assigned, so that a fleet
# whose members are replaced repeatedly does not fill it.
MAX_SLOTS = 4_096


class BeatPacker:
    """Pack the heartbeats sent on one link, in the order of sending."""

    def __init__(self) -> None:
        self._slots: dict[str, int] = {}
        self._sent: dict[str, HostBeat] = {}

    def pack(self, heartbeat: Heartbeat) -> PackedHeartbeat:
        """Return the packed heartbeat, which must be the next one sent to the peer."""
        if len(self._slots) + len(heartbeat.beats) > MAX_SLOTS:
            self._slots.clear()
            self._sent.clear()
        whole, deltas = [], []
        for beat in heartbeat.beats:
            previous = self._sent.get(beat.host)
            self._sent[beat.host] = beat
            slot = self._slots.setdefault(beat.host, len(self._slots))
            if previous is not None and _is_delta_encodable(previous, beat):
                increment = beat.sequence - previous.sequence
                deltas.append(_BEAT_DELTA.pack(slot, beat.load_percent, increment))
            else:
                whole.append(SlotBeat(slot, *_beat_values(beat)))
        return PackedHeartbeat(tuple(whole), b"".join(deltas))


def _is_delta_encodable(previous: HostBeat, beat: HostBeat) -> bool:
    return (
        0 <= beat.sequence - previous.sequence <= MAX_INCREMENT
        and beat.revision == previous.revision
        and beat.leaving == previous.leaving
        and beat.incarnation == previous.incarnation
    )


def _beat_values(beat: HostBeat | SlotBeat) -> tuple[str, str, int, int, bool, int]:
    return (
        beat.host,
        beat.incarnation,
        beat.sequence,
        beat.revision,
        beat.leaving,
        beat.load_percent,
    )


class BeatUnpacker:
    """Unpack the heartbeats received on one link."""

    def __init__(self) -> None:
        self._beats: dict[int, HostBeat] = {}

    def unpack(self, packed: PackedHeartbeat) -> Heartbeat:
        """Return the heartbeat; raise ``ProtocolError`` if it is malformed."""
        beats = []
        if len(packed.same) % _BEAT_DELTA.size:
            raise ProtocolError("packed beats are cut off")
        for slot, load_percent, increment in _BEAT_DELTA.iter_unpack(packed.same):
            previous = self._beats.get(slot)
            if previous is None:
                raise ProtocolError(f"slot {slot} has no beat")
            sequence = previous.sequence + increment
            # dataclasses.replace would take twice as long, and this runs for each host.
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
            beat = HostBeat(*_beat_values(item))
            self._beats[_checked_slot(item.slot)] = beat
            beats.append(beat)
        return Heartbeat(tuple(beats))


def _checked_slot(slot: int) -> int:
    if slot >= MAX_SLOTS:
        raise ProtocolError(f"slot {slot} is not below {MAX_SLOTS}")
    return slot


class LoadPacker:
    """Pack the load reports sent on one link, in the order of sending."""

    def __init__(self) -> None:
        self._slots: dict[str, int] = {}

    def pack(self, loads: Iterable[Load]) -> list[Load | PackedLoads]:
        """Return the messages to send next; long payloads become single messages."""
        messages: list[Load | PackedLoads] = []
        by_length: dict[int, list[Load]] = {}
        for load in loads:
            if len(load.payload) > MAX_PACKED_PAYLOAD_BYTES:
                messages.append(load)
            else:
                by_length.setdefault(len(load.payload), []).append(load)
        for length, group in by_length.items():
            count = min(MAX_PACKED_LOADS, MAX_PACKED_BYTES // (length + 3))
            for start in range(0, len(group), count):
                messages.append(self._pack_group(length, group[start : start + count]))
        return messages

    def _pack_group(self, length: int, loads: list[Load]) -> PackedLoads:
        if len(self._slots) + len(loads) > MAX_SLOTS:
            self._slots.clear()
        names = []
        slotted = []
        for load in loads:
            slot = self._slots.get(load.engine)
            if slot is None:
                slot = self._slots[load.engine] = len(self._slots)
                names.append(SlotName(slot, load.engine))
            slotted.append((slot, load.payload))
        parts = []
        previous = -1
        for slot, payload in sorted(slotted):
            increment = slot - previous
            if 0 < increment <= MAX_INCREMENT:
                parts.append(bytes((increment,)))
            else:
                parts.append(b"\0" + _FULL_SLOT.pack(slot))
            parts.append(payload)
            previous = slot
        return PackedLoads(length, tuple(names), b"".join(parts))


class LoadUnpacker:
    """Unpack the load reports received on one link."""

    def __init__(self) -> None:
        self._names: dict[int, str] = {}

    def unpack(self, packed: PackedLoads) -> list[Load]:
        """Return the reports; raise ``ProtocolError`` if they are malformed."""
        for item in packed.names:
            self._names[_checked_slot(item.slot)] = item.name
        loads, data, length = [], packed.reports, packed.length
        start, slot = 0, -1
        while start < len(data):
            increment = data[start]
            start += 1
            if increment:
                slot += increment
            else:
                if start + _FULL_SLOT.size > len(data):
                    raise ProtocolError("packed loads are cut off")
                (slot,) = _FULL_SLOT.unpack_from(data, start)
                start += _FULL_SLOT.size
            name = self._names.get(slot)
            if name is None or start + length > len(data):
                raise ProtocolError("packed loads are cut off or have an unknown slot")
            loads.append(Load(name, data[start : start + length]))
            start += length
        return loads
