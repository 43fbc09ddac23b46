"""Application of the records of versions and streams in the store to this host."""

import time
from collections.abc import Iterable

import gevent
from gevent.event import AsyncResult

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.fleet.interfaces import (
    FleetStore,
    StoreEvent,
    StreamsRecorded,
    VersionsRecorded,
)
from persimmonyoke.internal.fleet.model import ServiceVersions
from persimmonyoke.internal.gateway.clocks import boot_time_s
from persimmonyoke.internal.gateway.state import GatewayState


class StreamRecordReader:
    """Read the records for resumed streams of which this host does not know."""

    def __init__(self, state: GatewayState, store: FleetStore) -> None:
        self._state = state
        self._store = store
        self._reading: AsyncResult | None = None
        state.read_stream_records = self.read

    def read(self) -> bool:
        """Read all records for a resumed stream; return whether the store answered.

        Requests that wait at the same time share one read that began after them.
        """
        if not self._state.store_connected:
            return False
        reading = self._reading
        if reading is not None:
            reading.get()
        if self._reading is None or self._reading is reading:
            self._reading = AsyncResult()
            gevent.spawn(self._read_into, self._reading)
        return self._reading.get()

    def _read_into(self, result: AsyncResult) -> None:
        answered, asked_boot_s = False, boot_time_s()
        try:
            events = self._store.stream_records()
            apply_stream_records(self._state, events, now_s=time.monotonic())
            self._state.stream_versions.read_boot_s = asked_boot_s
            answered = True
        except StoreUnavailable as error:
            self._state.journal.failure("stream_records_not_read", error)
        finally:
            if self._reading is result:
                self._reading = None
            result.set(answered)


def apply_stream_records(
    state: GatewayState, events: Iterable[StoreEvent], *, now_s: float
) -> None:
    """Apply the records of versions and of streams among some events."""
    for event in events:
        if isinstance(event, VersionsRecorded):
            note_versions(state, event.versions, source="store")
        elif isinstance(event, StreamsRecorded):
            for streams in event.streams:
                state.stream_versions.note_recorded(
                    streams, source=event.host, now_s=now_s
                )


def note_versions(state: GatewayState, record: ServiceVersions, *, source: str) -> None:
    """Apply the record of a service and log a change of it."""
    former = state.stream_versions.service(record.service)
    if not state.stream_versions.put_service(record):
        return
    state.journal.event(
        "stream_versions",
        service=record.service,
        active=record.active,
        earlier=list(record.earlier),
        former_active=former.active if former else None,
        former_earlier=list(former.earlier) if former else None,
        revision=record.revision,
        source=source,
        view_age_ms=int(state.view.age_s(time.monotonic()) * 1_000),
    )
