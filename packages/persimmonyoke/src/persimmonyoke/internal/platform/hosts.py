"""Host list: which entry hosts, engines and services are live or leaving."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from persimmonyoke.errors import PlatformUnavailable, ProtocolError
from persimmonyoke.internal.platform.http_json import (
    NOT_MODIFIED,
    Connections,
    HttpFailure,
    parse_object,
    send,
)

CALL_TIMEOUT_S = 2.0


class HostRole(StrEnum):
    """Say what a host does."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class HostState(StrEnum):
    """Say whether a host stays in the fleet."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class HostEntry:
    """Describe one host of the list; ``pool`` is empty for entry hosts."""

    name: str
    role: HostRole
    pool: str
    address: str
    availability_zone: str
    region: str
    state: HostState = HostState.LIVE


class HostList(ABC):
    """Read the list of hosts, which may be out of date."""

    @abstractmethod
    def list_hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts; raise ``PlatformUnavailable``."""


class HttpHostList(HostList):
    """Read the host list over HTTP (``GET /hosts``)."""

    def __init__(self, base_url: str, *, timeout_s: float = CALL_TIMEOUT_S) -> None:
        if timeout_s <= 0:
            raise ValueError(f"timeout_s is {timeout_s}; accepted: above 0")
        self._connections = Connections(base_url)
        self._timeout_s = timeout_s
        self._etag = ""
        self._cached_hosts: tuple[HostEntry, ...] = ()

    def list_hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts; raise ``PlatformUnavailable``.

        One invalid entry makes the whole list invalid, since skipping it would make
        that host look as if it had left. Each process polls once per second, so a
        service with entity tags sends the list only if it has changed.
        """
        try:
            response = send(
                self._connections,
                "GET",
                "/hosts",
                timeout_s=self._timeout_s,
                etag=self._etag,
            )
            if response.status == NOT_MODIFIED:
                return self._cached_hosts
            answer = parse_object(response.data)
        except HttpFailure as failure:
            raise PlatformUnavailable(f"host list: {failure.reason}") from failure
        except ProtocolError as error:
            raise PlatformUnavailable(f"host list: {error}") from error
        raw = answer.get("hosts")
        if not isinstance(raw, list):
            raise PlatformUnavailable("host list: answer has no list of hosts")
        entries = tuple(_host_entry(fields) for fields in raw)
        self._etag, self._cached_hosts = response.headers.get("ETag", ""), entries
        return entries


def _host_entry(fields: Any) -> HostEntry:
    if not isinstance(fields, Mapping):
        raise PlatformUnavailable(f"host list: entry is not an object: {fields!r:.100}")
    names = ("name", "role", "pool", "address", "availability_zone", "region", "state")
    values = {name: fields.get(name) for name in names}
    if not all(isinstance(value, str) for value in values.values()):
        raise PlatformUnavailable(f"host list: invalid entry {values!r:.300}")
    try:
        role, state = HostRole(values["role"]), HostState(values["state"])
    except ValueError as error:
        raise PlatformUnavailable(f"host list: {error}") from error
    return HostEntry(**{**values, "role": role, "state": state})
