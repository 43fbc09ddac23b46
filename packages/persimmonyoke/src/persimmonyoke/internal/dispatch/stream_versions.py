"""Software versions that began streams, and those at which new streams may begin.

Replicas of several software versions may serve side by side, but a stream can go on
only at the version that wrote its first event. One small record for each service in
the store names the versions at which streams that may still be resumed have begun.
While it names one version alone, all streams belong to it; otherwise each stream is
recorded.
"""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from persimmonyoke.internal.fleet.model import (
    Configuration,
    RecordedStreams,
    Replica,
    ServiceVersions,
)

KEY_BYTES = 8
"""Size of the digest of a request id; 100,000 streams share one in 1e-9 cases."""

MAX_STREAMS = 65_536
"""Streams whose version is remembered; the largest deployment begins 500 a second."""

TIMEOUT_MULTIPLE = 2.0
LIFE_MARGIN_S = 4.0
"""Stream life: route timeouts until the last resumption, and a margin.

A client resumes a stream within its own deadline, which may exceed the timeout, and a
host may learn of a change of the versions late.
"""


RECORD_INTERVAL_S = 0.1
"""Shortest interval at which a host records its streams."""

WRITE_SHARE = 0.25
"""Share of the store's write calls that the records of all hosts may take."""

RESTART_KNOWN_S = 3.0
"""Time within which hosts know that a replica has started again under its id."""


def stream_key(service: str, request_id: str) -> bytes:
    """Return the key of the stream that a client attempt began."""
    text = f"{service}\n{request_id}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def stream_life_s(configuration: Configuration | None) -> float:
    """Return the longest time from the start of a stream to its last resumption."""
    routes = configuration.routes if configuration else ()
    longest_s = max((r.timeout_s for r in routes if r.resumable), default=0.0)
    return TIMEOUT_MULTIPLE * longest_s + LIFE_MARGIN_S


@dataclass(frozen=True)
class _FormerLife:
    """Hold a life of streams of which the last one ends at a time."""

    life_s: float
    until_s: float


class StreamLife:
    """Tell the longest life of the streams that may be left.

    Streams that began before a change of the timeouts last as long as before it.
    """

    def __init__(self) -> None:
        self._life_s = 0.0
        self._former: list[_FormerLife] = []

    def note(self, life_s: float, *, now_s: float) -> float:
        """Note the life of streams that begin now; return the longest life."""
        if life_s != self._life_s:
            self._former.append(_FormerLife(self._life_s, now_s + self._life_s))
            self._life_s = life_s
        self._former = [life for life in self._former if now_s < life.until_s]
        return max([life_s, *(life.life_s for life in self._former)])


def record_interval_s(*, hosts: int, writes_per_s: float) -> float:
    """Return the interval of a host's records within the store's rate of writes.

    A host that began no stream writes nothing, so short intervals cost little more.
    """
    return max(RECORD_INTERVAL_S, hosts / (WRITE_SHARE * max(1.0, writes_per_s)))


@dataclass(frozen=True)
class StreamVersion:
    """Hold the version of a stream; ``None`` if two versions may have written it."""

    version: str | None
    source: str
    noted_s: float


@dataclass(frozen=True)
class VersionFinding:
    """Hold the version at which a stream is resumed, or why it is not known.

    ``may_change`` says that a newer record may show the version.
    """

    version: str | None
    source: str
    age_s: float = 0.0
    may_change: bool = False


def find_version(
    known: StreamVersion | None,
    record: ServiceVersions | None,
    *,
    record_is_current: bool,
    now_s: float,
) -> VersionFinding:
    """Decide which version began a resumed stream; never guess."""
    if known is not None and known.version is None:
        return VersionFinding(None, "two versions may have written the stream")
    if known is not None:
        return VersionFinding(known.version, known.source, now_s - known.noted_s)
    if record is None:
        return VersionFinding(None, "no version is recorded", may_change=True)
    if record.earlier:
        return VersionFinding(None, "the stream is not recorded", may_change=True)
    if not record_is_current:
        return VersionFinding(None, "the record may be out of date", may_change=True)
    return VersionFinding(record.active, "only version")


@dataclass(frozen=True)
class BegunStream:
    """Describe a stream that began at this host."""

    key: bytes
    service: str
    version: str
    replica_id: str
    begun_s: float


class StreamVersions:
    """Remember the versions of streams and the records of the services."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._streams: OrderedDict[bytes, StreamVersion] = OrderedDict()
        self._own: deque[BegunStream] = deque(maxlen=MAX_STREAMS)
        self._services: dict[str, ServiceVersions] = {}
        self.own_count = 0
        """Streams that have begun at this host."""

        self.read_boot_s = float("-inf")
        """Boot time of the last read of all records."""

    def note_begun(
        self, request_id: str, replica: Replica, *, version: str, now_s: float
    ) -> None:
        """Record the first event of a stream, or of its resumption, at this host.

        ``version`` is that of the replica's incarnation which wrote the event.
        """
        key = stream_key(replica.service, request_id)
        self._note(key, replica, version, now_s)

    def note_restarted(self, replica: Replica, *, now_s: float) -> None:
        """Mark streams that the former or the new incarnation of a replica wrote.

        A replica that starts again under its id is known here a little later.
        """
        after_s = now_s - RESTART_KNOWN_S
        suspects = [
            stream
            for stream in self._own
            if stream.replica_id == replica.replica_id and stream.begun_s > after_s
        ]
        for stream in suspects:
            if stream.version != replica.software_version:
                self._note(stream.key, replica, replica.software_version, now_s)

    def _note(self, key: bytes, replica: Replica, version: str, now_s: float) -> None:
        self._put(key, StreamVersion(version, self._own_name, now_s))
        self._own.append(
            BegunStream(key, replica.service, version, replica.replica_id, now_s)
        )
        self.own_count += 1

    def note_recorded(
        self, streams: RecordedStreams, *, source: str, now_s: float
    ) -> None:
        """Apply streams that a host recorded in the store."""
        for key in streams.keys:
            self._put(key, StreamVersion(streams.version, source, now_s))

    def find(self, service: str, request_id: str) -> StreamVersion | None:
        """Return the version of the stream that an attempt began, if it is known."""
        return self._streams.get(stream_key(service, request_id))

    def own_since(self, count: int, *, not_before_s: float) -> list[BegunStream]:
        """Return the streams begun here after the first ``count`` of them."""
        wanted = min(len(self._own), self.own_count - count)
        newest = islice(reversed(self._own), max(0, wanted))
        return [stream for stream in newest if stream.begun_s >= not_before_s][::-1]

    def own_versions(self, service: str, *, not_before_s: float) -> set[str]:
        """Return the versions of the streams of a service that began here."""
        return {
            stream.version
            for stream in self._own
            if stream.service == service and stream.begun_s >= not_before_s
        }

    def forget_before(self, before_s: float) -> None:
        """Forget streams that cannot be resumed any more."""
        while self._own and self._own[0].begun_s < before_s:
            self._own.popleft()
        while self._streams:
            key, stream = next(iter(self._streams.items()))
            if stream.noted_s >= before_s:
                return
            del self._streams[key]

    def service(self, name: str) -> ServiceVersions | None:
        """Return the recorded versions of a service, if there is a record."""
        return self._services.get(name)

    def put_service(self, record: ServiceVersions) -> bool:
        """Apply the record of a service; return whether it is a newer one."""
        known = self._services.get(record.service)
        if known is not None and record.revision <= known.revision:
            return False
        self._services[record.service] = record
        return True

    def keep_services(self, names: Iterable[str]) -> None:
        """Forget the records that are not among those of a full read."""
        kept = set(names)
        self._services = {k: v for k, v in self._services.items() if k in kept}

    @property
    def any_mixed(self) -> bool:
        """Return whether streams of several versions of a service may exist."""
        return any(record.earlier for record in self._services.values())

    def _put(self, key: bytes, stream: StreamVersion) -> None:
        known = self._streams.pop(key, None)
        if known is not None and known.version != stream.version:
            # One id names two streams, or the stream was written by two versions.
            stream = StreamVersion(None, stream.source, stream.noted_s)
        self._streams[key] = stream
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
