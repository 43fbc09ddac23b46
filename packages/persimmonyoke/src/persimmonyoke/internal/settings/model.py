"""Data classes for the settings of one process."""

from dataclasses import dataclass, field
from enum import StrEnum

from persimmonyoke.internal.observability.logs import LogFormat


class SettingsRole(StrEnum):
    """List the kinds of process; the kind determines which tables are required."""

    ENTRY = "entry"
    CONTROLLER = "controller"


@dataclass(frozen=True)
class ProcessSettings:
    """Identify the process and its location."""

    name: str
    firm: str
    region: str
    availability_zone: str


@dataclass(frozen=True)
class ListenSettings:
    """Hold the addresses (``ip:port``) to listen on; port 0 takes any free port."""

    callers: str | None = None
    operators: str | None = None
    peers: str | None = None


@dataclass(frozen=True)
class PlatformSettings:
    """Hold the base URLs of the platform services and this process's call rate."""

    key_value: str
    host_list: str
    weight_store: str | None = None
    key_value_calls_per_s: float = 200.0


@dataclass(frozen=True)
class PeerSettings:
    """Hold the shared key of the peers and how their addresses are derived.

    The host list has only the address for callers. Each entry host listens for peers on
    the same IP address, ``port_offset`` above its port for callers. ``addresses`` are
    tried in addition to the host list.
    """

    shared_key: str = field(repr=False)
    addresses: tuple[str, ...] = ()
    port_offset: int = 100


@dataclass(frozen=True)
class OperatorSettings:
    """Hold the sha256 digest of the operator token."""

    token_digest: str


@dataclass(frozen=True)
class LimitSettings:
    """Limit what a caller may send before it is authenticated."""

    body_bytes: int = 4 * 1024 * 1024
    all_bodies_bytes: int = 128 * 1024 * 1024
    header_bytes: int = 16 * 1024
    receive_s: float = 10.0


@dataclass(frozen=True)
class ShutdownSettings:
    """Hold the times of a graceful shutdown."""

    max_age_s: float = 5.0
    margin_s: float = 2.0
    hard_limit_s: float = 600.0


@dataclass(frozen=True)
class LogSettings:
    """Hold the level and format of the logs."""

    level: str = "INFO"
    format: LogFormat = LogFormat.AUTO


@dataclass(frozen=True)
class StreamSettings:
    """Hold the key that signs the resume tokens of streams."""

    signing_key: str = field(repr=False)


@dataclass(frozen=True)
class ControllerSettings:
    """Hold the times of the leases and orders by which engines are controlled."""

    lease_s: float = 10.0
    order_deadline_s: float = 5.0
    kernel_timer: bool = True


@dataclass(frozen=True)
class Settings:
    """Hold the settings of one process.

    ``peers``, ``operators`` and ``streams`` are ``None`` only if the role does not
    require them and the file leaves them out.
    """

    process: ProcessSettings
    platform: PlatformSettings
    listen: ListenSettings = ListenSettings()
    peers: PeerSettings | None = None
    operators: OperatorSettings | None = None
    streams: StreamSettings | None = None
    limits: LimitSettings = LimitSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    log: LogSettings = LogSettings()
    controller: ControllerSettings = ControllerSettings()
