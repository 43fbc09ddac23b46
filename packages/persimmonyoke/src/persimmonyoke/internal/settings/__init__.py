"""Settings of one process, and strict parsing of TOML tables."""

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
from persimmonyoke.internal.settings.parser import load_settings, parse_settings

__all__ = [
    "ControllerSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "ProcessSettings",
    "Settings",
    "SettingsRole",
    "ShutdownSettings",
    "StreamSettings",
    "load_settings",
    "parse_settings",
]
