"""Parser of the settings file of one process."""

import ipaddress
import re
from pathlib import Path

from persimmonyoke.errors import Fault, SettingsError
from persimmonyoke.internal.observability.logs import LogFormat
from persimmonyoke.internal.settings.model import (
    ControllerSettings,
    LimitSettings,
    ListenSettings,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    ProcessSettings,
    Settings,
    SettingsRole,
    ShutdownSettings,
    StreamSettings,
)
from persimmonyoke.internal.settings.tables import (
    DOCUMENT_KEY,
    NAME_ACCEPTED,
    NAME_PATTERN,
    REQUIRED,
    SHA256_ACCEPTED,
    SHA256_PATTERN,
    Table,
    read_document,
)

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")
MIN_KEY_CHARACTERS = 32
MAX_SETTINGS_BYTES = 256 * 1024
ADDRESS_ACCEPTED = "an IP address and a port, such as 127.0.0.1:8100"
URL_ACCEPTED = "an http:// URL of an IP address and a port, without a path"
KEY_ACCEPTED = f"at least {MIN_KEY_CHARACTERS} characters without spaces"

_KEY_PATTERN = re.compile(rf"\S{{{MIN_KEY_CHARACTERS},}}")
_URL_PATTERN = re.compile(r"http://([^/\s]+)/?")


def load_settings(path: Path, role: SettingsRole) -> Settings:
    """Read a settings file; paths of key files are relative to its folder.

    Raises ``SettingsError`` with every fault, also if the file can't be read.
    """
    text = _read_file(path)
    return parse_settings(text, role, source=str(path), folder=path.parent)


def parse_settings(
    text: str,
    role: SettingsRole,
    *,
    source: str = "settings",
    folder: Path | None = None,
) -> Settings:
    """Parse settings; raise ``SettingsError`` with every fault."""

    def read(root: Table) -> Settings:
        return _read_settings(root, role, folder or Path())

    return read_document(text, source=source, error_class=SettingsError, read=read)


def _read_file(path: Path) -> str:
    try:
        size = path.stat().st_size
        if size > MAX_SETTINGS_BYTES:
            problem = f"has {size} bytes"
            raise _unreadable(path, problem, f"at most {MAX_SETTINGS_BYTES} bytes")
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = f"can't be read: {error}"
        raise _unreadable(path, problem, "a readable UTF-8 file") from error


def _unreadable(path: Path, problem: str, accepted: str) -> SettingsError:
    return SettingsError(str(path), (Fault(DOCUMENT_KEY, problem, accepted),))


def _read_settings(root: Table, role: SettingsRole, folder: Path) -> Settings:
    entry = role is SettingsRole.ENTRY
    return Settings(
        process=_read_process(root.table("process", required=True)),
        listen=_read_listen(root.table("listen", required=entry), required=entry),
        platform=_read_platform(root.table("platform", required=True)),
        peers=_read_peers(root.table("peers", required=True), folder),
        operators=_read_operators(root, required=entry),
        streams=_read_streams(root, required=entry),
        limits=_read_limits(root.table("limits")),
        shutdown=_read_shutdown(root.table("shutdown")),
        log=_read_log(root.table("log")),
        controller=_read_controller(root.table("controller", required=not entry)),
    )


def _read_process(table: Table) -> ProcessSettings:
    def name(key: str) -> str:
        return table.string(key, pattern=NAME_PATTERN, accepted=NAME_ACCEPTED)

    return ProcessSettings(
        name=name("name"),
        firm=name("firm"),
        region=name("region"),
        availability_zone=name("availability_zone"),
    )


def _read_listen(table: Table, *, required: bool) -> ListenSettings:
    def address(key: str) -> str | None:
        default = REQUIRED if required else None
        value = table.string(key, default=default, accepted=ADDRESS_ACCEPTED)
        if value and not is_address(value):
            table.fault(key, f"invalid address {value!r}", ADDRESS_ACCEPTED)
        return value

    return ListenSettings(
        callers=address("callers"),
        operators=address("operators"),
        peers=address("peers"),
    )


def _read_platform(table: Table) -> PlatformSettings:
    def url(key: str, *, required: bool = True) -> str | None:
        default = REQUIRED if required else None
        value = table.string(key, default=default, accepted=URL_ACCEPTED)
        match = _URL_PATTERN.fullmatch(value) if value else None
        if value and not (match and is_address(match[1])):
            table.fault(key, f"invalid URL {value!r}", URL_ACCEPTED)
        return value.rstrip("/") if value else value

    return PlatformSettings(
        key_value=url("key_value") or "",
        host_list=url("host_list") or "",
        weight_store=url("weight_store", required=False),
        key_value_calls_per_s=table.number(
            "key_value_calls_per_s",
            default=PlatformSettings.key_value_calls_per_s,
            minimum=0,
            above_minimum=True,
        ),
    )


def _read_peers(table: Table, folder: Path) -> PeerSettings:
    addresses = table.strings("addresses", default=(), accepted=ADDRESS_ACCEPTED)
    for address in addresses:
        if not is_address(address):
            table.fault("addresses", f"invalid address {address!r}", ADDRESS_ACCEPTED)
    return PeerSettings(
        shared_key=_read_shared_key(table, folder),
        addresses=addresses,
        port_offset=table.integer(
            "port_offset", default=100, minimum=1, maximum=65_535
        ),
    )


def _read_shared_key(table: Table, folder: Path) -> str:
    key = table.string("shared_key", default=None, secret=True)
    file_name = table.string("shared_key_file", default=None, accepted="a file name")
    if (key is None) == (file_name is None):
        accepted = "exactly one of shared_key and shared_key_file"
        table.fault("shared_key", "both or neither is set", accepted)
        return ""
    if file_name is not None:
        try:
            key = (folder / file_name).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            problem = f"can't be read: {error}"
            table.fault("shared_key_file", problem, "a readable UTF-8 file")
            return ""
    # The error must not contain the key.
    if not _KEY_PATTERN.fullmatch(key):
        table.fault("shared_key", f"has {len(key)} characters", KEY_ACCEPTED)
    return key


def _read_operators(root: Table, *, required: bool) -> OperatorSettings | None:
    if "operators" not in root and not required:
        root.table("operators")
        return None
    table = root.table("operators", required=required)
    digest = table.string(
        "token_digest", pattern=SHA256_PATTERN, accepted=SHA256_ACCEPTED
    )
    return OperatorSettings(token_digest=digest)


def _read_streams(root: Table, *, required: bool) -> StreamSettings | None:
    if "streams" not in root and not required:
        root.table("streams")
        return None
    table = root.table("streams", required=required)
    key = table.string(
        "signing_key", pattern=_KEY_PATTERN, accepted=KEY_ACCEPTED, secret=True
    )
    return StreamSettings(signing_key=key)


def _read_limits(table: Table) -> LimitSettings:
    default = LimitSettings()
    limits = LimitSettings(
        body_bytes=table.integer("body_bytes", default=default.body_bytes, minimum=1),
        all_bodies_bytes=table.integer(
            "all_bodies_bytes", default=default.all_bodies_bytes, minimum=1
        ),
        header_bytes=table.integer(
            "header_bytes", default=default.header_bytes, minimum=256
        ),
        receive_s=_duration(table, "receive_s", default.receive_s),
    )
    if limits.all_bodies_bytes <= limits.body_bytes:
        table.fault(
            "all_bodies_bytes",
            f"is {limits.all_bodies_bytes}",
            f"more than body_bytes, which is {limits.body_bytes}",
        )
    return limits


def _read_shutdown(table: Table) -> ShutdownSettings:
    default = ShutdownSettings()
    shutdown = ShutdownSettings(
        max_age_s=_duration(table, "max_age_s", default.max_age_s),
        margin_s=_duration(table, "margin_s", default.margin_s),
        hard_limit_s=_duration(table, "hard_limit_s", default.hard_limit_s),
    )
    soft_limit_s = shutdown.max_age_s + shutdown.margin_s
    if shutdown.hard_limit_s <= soft_limit_s:
        table.fault(
            "hard_limit_s",
            f"is {shutdown.hard_limit_s:g}",
            f"more than max_age_s + margin_s, which is {soft_limit_s:g}",
        )
    return shutdown


def _read_log(table: Table) -> LogSettings:
    level = table.string("level", default="INFO", choices=LOG_LEVELS)
    form = table.string("format", default=LogFormat.AUTO, choices=tuple(LogFormat))
    return LogSettings(level=level, format=LogFormat(form))


def _read_controller(table: Table) -> ControllerSettings:
    default = ControllerSettings()
    return ControllerSettings(
        lease_s=_duration(table, "lease_s", default.lease_s),
        order_deadline_s=_duration(table, "order_deadline_s", default.order_deadline_s),
        kernel_timer=table.boolean("kernel_timer", default=default.kernel_timer),
    )


def _duration(table: Table, key: str, default_s: float) -> float:
    return table.number(key, default=default_s, above_minimum=True, maximum=86_400)


def is_address(text: str) -> bool:
    """Say whether the text is an IP address with a port."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        return False
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return int(port) <= 65_535
